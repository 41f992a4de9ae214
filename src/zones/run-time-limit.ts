/**
Time limit that counts the time for which this process runs. A process that is short of processor time finds its timers due
before it has read the answers that arrived meanwhile, so a limit by the clock alone would end a wait whose result is there.
*/
import {type Clock} from '../contracts/clock.js';
import {type Milliseconds} from '../contracts/id.js';
import {withTimeout} from './with-timeout.js';

/** Time after which the process is seen to have run, in ms. A stall counts as no more than this. */
const tickMs = 50;

/** Shortest wait, in ms; a shorter one may be lost in the rounding of the clock, which would then never get past it. */
const minimumWaitMs = 1;

export type RunTimeLimit = {
	/** Time of the clock at which the limit ends however long the process stood still. */
	readonly deadline: Milliseconds;
	readonly isOver: () => boolean;
	/** Waits for a result; resolves to undefined once the limit is over. The operation itself is not cancelled. */
	readonly wait: <Value>(result: Promise<Value>) => Promise<Value | undefined>;
};

/** Starts a limit of `limitMs`, which passes while something is waited for. It is over soon after the signal aborts. */
export function createRunTimeLimit(clock: Clock, limitMs: number, deadline: Milliseconds, signal?: AbortSignal): RunTimeLimit {
	let remainingMs = limitMs;
	const isOver = () => remainingMs <= 0 || clock.now() >= deadline || (signal?.aborted ?? false);
	return {
		deadline,
		isOver,
		async wait(result) {
			const ended = result.then(value => ({value}));
			while (!isOver()) {
				const startedAt = clock.now();
				const duration = Math.max(minimumWaitMs, Math.min(tickMs, remainingMs, deadline - startedAt));
				const first = await withTimeout(clock, duration, ended);
				remainingMs -= Math.min(duration, clock.now() - startedAt);
				if (first) {
					return first.value;
				}
			}

			return undefined;
		},
	};
}
