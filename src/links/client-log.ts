/**
Log lines about what clients did that a listener refused or gave up: one line a second for each kind and listener, with the number
of such problems and the last one, however many there are.
*/
import {type ClientEvent, type ClientProblem} from '../machines/client-problem.js';
import {type Log} from './log.js';

const intervalMs = 1000;

export type ClientLog = (event: ClientEvent) => void;

function describe(problem: ClientProblem): string {
	switch (problem.kind) {
		case 'malformed': {
			return `request is not valid: ${problem.reason}`;
		}

		case 'aborted': {
			return `client left before its request was complete: ${problem.reason}`;
		}

		case 'too-large': {
			return `body is longer than ${problem.limit} bytes`;
		}

		case 'memory': {
			return `request of ${problem.bytes} bytes given up, as all together exceed ${problem.limit} bytes`;
		}

		case 'requests': {
			return `request given up, as there are more than ${problem.limit}`;
		}

		case 'body-time': {
			return `body was not complete after ${Math.round(problem.limit)} ms`;
		}

		case 'connections': {
			return `connection closed, as there are more than ${problem.limit}`;
		}

		case 'incomplete-heads': {
			return `connection closed, as more than ${problem.limit} have an incomplete head`;
		}

		case 'pipelined': {
			return `connection closed, as it has more than ${problem.limit} requests at once`;
		}
	}
}

/** Creates the writer of these lines. */
export function createClientLog(log: Log): ClientLog {
	const counts = new Map<string, {count: number; last: ClientEvent}>();

	function write(key: string): void {
		const entry = counts.get(key);
		counts.delete(key);
		if (entry) {
			const {listener, problem} = entry.last;
			log.warn({
				event: 'client', listener, ...problem, count: entry.count,
			}, describe(problem));
		}
	}

	return event => {
		const key = `${event.listener} ${event.problem.kind}`;
		const entry = counts.get(key);
		if (entry) {
			entry.count++;
			entry.last = event;
			return;
		}

		counts.set(key, {count: 1, last: event});
		setTimeout(write, intervalMs, key);
	};
}
