/**
Promises that something else resolves: a function, or the end of a signal.
*/

export type Deferred<Value> = {
	readonly promise: Promise<Value>;
	readonly resolve: (value: Value) => void;
};

/** Creates a promise that stays pending until `resolve` is called. */
export function createDeferred<Value>(): Deferred<Value> {
	let resolve: (value: Value) => void = () => undefined;
	const promise = new Promise<Value>(settle => {
		resolve = settle;
	});
	return {promise, resolve};
}

/** Resolves once the signal aborts. */
export async function abortOf(signal: AbortSignal): Promise<true> {
	const {promise, resolve} = createDeferred<true>();
	const onAbort = () => {
		resolve(true);
	};

	signal.addEventListener('abort', onAbort, {once: true});
	if (signal.aborted) {
		onAbort();
	}

	return promise;
}
