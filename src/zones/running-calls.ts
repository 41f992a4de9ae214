/**
Running and queued calls of a shard. The calls of a program run one at a time, in order of arrival.
*/
import PQueue from 'p-queue';
import {abortReason} from '../contracts/abort-cause.js';
import {describeError, failure} from '../contracts/failure.js';
import {type IdempotencyKey, type ProgramId} from '../contracts/id.js';
import {type Program, type Programs} from '../contracts/program.js';
import {type CloseReason} from '../contracts/record.js';
import {type Execution} from './execution.js';
import {type Journal} from './journal.js';
import {createTranscript, type Transcript} from './transcript.js';

export type RunningCall = {
	readonly transcript: Transcript;
	readonly controller: AbortController;
	readonly digest: string;
};

export type RunningCalls = {
	readonly callOf: (program: ProgramId, key: IdempotencyKey) => RunningCall | undefined;
	/** Number of running and queued calls of the program. */
	readonly count: (program: ProgramId) => number;
	readonly total: () => number;
	/** Queues a call after the earlier calls of its program. */
	readonly start: (program: Program, key: IdempotencyKey, digest: string, execute: (execution: Execution) => Promise<void>) => Transcript;
	readonly abort: (program: ProgramId, closing: CloseReason) => void;
	/** Resolves when all calls that are running or queued now have finished. */
	readonly onIdle: () => Promise<void>;
};

export type RunningCallsOptions = {
	readonly programs: Programs;
	readonly journal: Journal;
	/** Aborts when the shard is lost to another instance. */
	readonly signal: AbortSignal;
};

/** Creates an empty set of calls. */
export function createRunningCalls({programs, journal, signal}: RunningCallsOptions): RunningCalls {
	const running = new Map<ProgramId, Map<IdempotencyKey, RunningCall>>();
	const sequences = new Map<ProgramId, PQueue>();

	function sequenceOf(program: ProgramId): PQueue {
		const existing = sequences.get(program);
		if (existing) {
			return existing;
		}

		const created = new PQueue({concurrency: 1});
		sequences.set(program, created);
		return created;
	}

	function begin(program: Program, key: IdempotencyKey, digest: string): RunningCall {
		const entry = {transcript: createTranscript(), controller: new AbortController(), digest};
		const calls = running.get(program.id) ?? new Map<IdempotencyKey, RunningCall>();
		running.set(program.id, calls);
		calls.set(key, entry);
		return entry;
	}

	function finish(program: ProgramId, key: IdempotencyKey): void {
		const calls = running.get(program);
		calls?.delete(key);
		if (calls?.size === 0) {
			running.delete(program);
			sequences.delete(program);
		}
	}

	function start(program: Program, key: IdempotencyKey, digest: string, execute: (execution: Execution) => Promise<void>): Transcript {
		const entry = begin(program, key, digest);
		const execution: Execution = {
			program, programs, journal, transcript: entry.transcript, lost: signal,
			signal: AbortSignal.any([signal, entry.controller.signal]),
		};
		void sequenceOf(program.id).add(async () => {
			try {
				await execute(execution);
			} catch (error) {
				entry.transcript.end({kind: 'refused', failure: failure('internal', describeError(error), {step: 'admit', peer: 'home', execution: 'unknown'})});
			} finally {
				finish(program.id, key);
			}
		});
		return entry.transcript;
	}

	return {
		callOf: (program, key) => running.get(program)?.get(key),
		count: program => running.get(program)?.size ?? 0,
		total: () => [...running.values()].reduce((sum, calls) => sum + calls.size, 0),
		start,
		abort(program, closing) {
			const cause = closing === 'expired' ? 'deadline-exceeded' : 'cancelled';
			for (const entry of running.get(program)?.values() ?? []) {
				entry.controller.abort(abortReason(cause, `the program is ${closing}`));
			}
		},
		async onIdle() {
			await Promise.all([...sequences.values()].map(async sequence => sequence.onIdle()));
		},
	};
}
