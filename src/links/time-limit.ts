/**
Time limits of requests that are also aborted by a signal. `AbortSignal.any` refers to its sources only weakly on Node.js 20,
so a signal of `AbortSignal.timeout` among them may be collected before it aborts. Here the timer holds what it aborts.
*/
import {type Milliseconds} from '../contracts/id.js';

/** Runs an operation with a signal that aborts with the given one, or with a `TimeoutError` at the limit. */
export async function withinTimeLimit<Value>(limit: Milliseconds, signal: AbortSignal, run: (signal: AbortSignal) => Promise<Value>): Promise<Value> {
	const ending = new AbortController();
	const onAbort = () => {
		ending.abort(signal.reason);
	};

	const timer = setTimeout(() => {
		ending.abort(new DOMException(`no result within ${Math.round(limit)} ms`, 'TimeoutError'));
	}, limit);
	signal.addEventListener('abort', onAbort, {once: true});
	if (signal.aborted) {
		onAbort();
	}

	try {
		return await run(ending.signal);
	} finally {
		clearTimeout(timer);
		signal.removeEventListener('abort', onAbort);
	}
}
