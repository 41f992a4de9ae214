/**
Watch of one kind of objects in the store: lists them once, follows their changes, and lists again when the store no
longer has the history.
*/
import {type Clock, type Random} from '../contracts/clock.js';
import {type Failure} from '../contracts/failure.js';
import {as, type Milliseconds, type ObjectVersion} from '../contracts/id.js';
import {type ObjectChange, type ObjectList, type ObjectStore} from '../contracts/object-store.js';

/** Initial and maximum delay after a failed request, in ms; the delay doubles with each further failure. */
const initialBackoffMs = 150;
const maximumBackoffMs = 1000;

export type StoreWatchEvent
	= | {readonly kind: 'listed'; readonly list: ObjectList}
		| {readonly kind: 'changed'; readonly changes: readonly ObjectChange[]; readonly revision: ObjectVersion}
		/** A request failed after `took`. */
		| {readonly kind: 'lost'; readonly failure: Failure; readonly took: Milliseconds};

export type StoreWatch = {
	/** Whether the reported objects are complete: they have been listed, and no request has failed since. */
	readonly isFollowing: () => boolean;
	/** Time for which the current request has waited for its answer; zero if there is none. */
	readonly requestAge: () => Milliseconds;
	/** Lists the objects and follows their changes until the signal aborts. */
	readonly run: (signal: AbortSignal) => Promise<void>;
};

export type StoreWatchOptions = {
	readonly store: ObjectStore;
	readonly objects: string;
	/** Maximum duration of one watch request. A store that stops responding is detected within this time. */
	readonly wait: Milliseconds;
	readonly clock: Clock;
	readonly random: Random;
	readonly onEvent: (event: StoreWatchEvent) => void;
};

/** Creates a watch that has not started. */
export function createStoreWatch(options: StoreWatchOptions): StoreWatch {
	const {store, objects, clock} = options;
	let failures = 0;
	let isFollowing = false;
	let requestedAt: Milliseconds | undefined;
	let lastTook = as<Milliseconds>(0);

	function requestAge(): Milliseconds {
		return as<Milliseconds>(requestedAt === undefined ? 0 : clock.now() - requestedAt);
	}

	async function request<Value>(send: () => Promise<Value>): Promise<Value> {
		requestedAt = clock.now();
		const answer = await send();
		lastTook = requestAge();
		requestedAt = undefined;
		return answer;
	}

	async function backOff(failure: Failure, signal: AbortSignal): Promise<void> {
		isFollowing = false;
		options.onEvent({kind: 'lost', failure, took: lastTook});
		const delay = Math.min(initialBackoffMs * (2 ** failures), maximumBackoffMs);
		failures++;
		await clock.sleep(as<Milliseconds>(delay * (0.5 + (options.random.fraction() / 2))), signal);
	}

	/** Lists the objects. Returns the revision to watch from, or undefined after a failure. */
	async function list(signal: AbortSignal): Promise<ObjectVersion | undefined> {
		const result = await request(async () => store.list(objects));
		if (signal.aborted) {
			return undefined;
		}

		if (result.isErr()) {
			await backOff(result.error, signal);
			return undefined;
		}

		failures = 0;
		isFollowing = true;
		options.onEvent({kind: 'listed', list: result.value});
		return result.value.revision;
	}

	/** Waits for changes. Returns the revision to continue from, or undefined when the objects have to be listed again. */
	async function follow(since: ObjectVersion, signal: AbortSignal): Promise<ObjectVersion | undefined> {
		const result = await request(async () => store.watch(objects, since, options.wait, signal));
		if (signal.aborted) {
			return undefined;
		}

		switch (result.kind) {
			case 'changes': {
				failures = 0;
				options.onEvent({kind: 'changed', changes: result.changes, revision: result.revision});
				return result.revision;
			}

			case 'history-lost': {
				isFollowing = false;
				return undefined;
			}

			case 'failed': {
				await backOff(result.failure, signal);
				return undefined;
			}
		}
	}

	return {
		isFollowing: () => isFollowing,
		requestAge,
		async run(signal) {
			let revision: ObjectVersion | undefined;
			isFollowing = false;
			while (!signal.aborted) {
				revision = revision === undefined ? await list(signal) : await follow(revision, signal);
			}
		},
	};
}
