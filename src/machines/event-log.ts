/**
Event log: keeps the most recent decisions of an instance in memory, by program, so that operators can find out
where a call was sent and why.
*/
import {type Clock} from '../contracts/clock.js';
import {type Milliseconds, type ProgramId} from '../contracts/id.js';
import {type ExecutionEvent} from '../zones/execution.js';

/** Maximum number of events in the log. */
const capacity = 20_000;

export type LoggedEvent = ExecutionEvent & {
	/** Wall-clock time since the epoch. */
	readonly at: Milliseconds;
};

export type EventLog = {
	readonly add: (event: ExecutionEvent) => void;
	readonly eventsOf: (program: ProgramId) => readonly LoggedEvent[];
};

/** Creates an empty log that overwrites its oldest events. */
export function createEventLog(clock: Clock): EventLog {
	const events: LoggedEvent[] = [];
	let next = 0;
	return {
		add(event) {
			events[next % capacity] = {...event, at: clock.wall()};
			next++;
		},
		eventsOf: program => events.filter(event => event.program === program).toSorted((left, right) => left.at - right.at),
	};
}
