/**
The execution of one call: the state that it reads and changes, the components that it uses, and its
writes to the transcript and the journal.
*/
import {type Dispatch} from '../contracts/attempt.js';
import {type Call} from '../contracts/call.js';
import {type Clock, type Random} from '../contracts/clock.js';
import {type Failure} from '../contracts/failure.js';
import {type EndpointId, type Milliseconds} from '../contracts/id.js';
import {type Urgency} from '../contracts/ledger-event.js';
import {applyRecord, type Program, type Programs} from '../contracts/program.js';
import {type JournalRecord} from '../contracts/record.js';
import {type Fleet} from '../machines/fleet.js';
import {type Scheduler} from '../machines/policy.js';
import {type Quarantine} from '../machines/quarantine.js';
import {type Journal} from './journal.js';
import {type Transcript} from './transcript.js';

/** State that the execution of a call reads and changes. */
export type Execution = {
	readonly program: Program;
	readonly programs: Programs;
	readonly journal: Journal;
	readonly transcript: Transcript;
	/** Aborts when the shard is lost to another instance. */
	readonly lost: AbortSignal;
	/** Aborts when the call should stop for any reason. */
	readonly signal: AbortSignal;
};

/** An event in the execution of a call, for logs, metrics and `explain`. */
export type ExecutionEvent = {
	readonly kind: 'placed' | 'retried' | 'settled' | 'recovered' | 'crashed' | 'stalled' | 'restored';
	readonly call: Call['id'];
	readonly program: Program['id'];
	readonly endpoint?: EndpointId;
	readonly detail: string;
};

export type ExecutorOptions = {
	readonly fleet: Fleet;
	readonly scheduler: Scheduler;
	readonly dispatch: Dispatch;
	readonly quarantine: Quarantine;
	readonly clock: Clock;
	readonly random: Random;
	/** Time until an endpoint that was found slow gets a trial call. */
	readonly trialDelay: (endpoint: EndpointId) => Milliseconds;
	readonly onEvent: (event: ExecutionEvent) => void;
};

/** Ends the call without an outcome. */
export function refuse(execution: Execution, reason: Failure): void {
	execution.transcript.end({kind: 'refused', failure: reason});
}

/** Applies a record to the programs in memory and appends it to the journal. */
export function append(execution: Execution, record: JournalRecord, urgency: Urgency = 'windowed') {
	applyRecord(execution.programs, record);
	return execution.journal.append([record], urgency);
}
