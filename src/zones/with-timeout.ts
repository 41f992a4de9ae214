/**
Waiting for a result with a timeout.
*/
import {type Clock} from '../contracts/clock.js';
import {as, type Milliseconds} from '../contracts/id.js';

/** Reason of ended timers; the default one is an error, and its stack trace costs more than the timer. */
const settledReason = 'settled';

/** Resolves to undefined when the result takes longer than `limitMs`. The operation itself is not cancelled. */
export async function withTimeout<Value>(clock: Clock, limitMs: number, result: Promise<Value>): Promise<Value | undefined> {
	const timer = new AbortController();
	const late = clock.sleep(as<Milliseconds>(limitMs), timer.signal).then(() => undefined);
	const first = await Promise.race([result, late]);
	timer.abort(settledReason);
	return first;
}
