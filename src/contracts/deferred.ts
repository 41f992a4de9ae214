/**
A promise together with the function that resolves it.
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
