/**
Watch of one kind of objects in the store: lists it once, follows its changes, and lists again when the
store no longer has the history.
*/
import {type Clock, type Random} from '../contracts/clock.js';
import {type Failure} from '../contracts/failure.js';
import {as, type Milliseconds, type ObjectVersion} from '../contracts/id.js';
import {type ObjectChange, type ObjectList, type ObjectStore} from '../contracts/object-store.js';

/** Pause after a failed call, in ms; it doubles with each further one. */
const firstPauseMs = 150;
const longestPauseMs = 1000;

/** How often an instance that need not watch asks whether it has to, in ms. */
const idleCheckMs = 500;

export type StoreWatchEvent
	/** This instance watches from now on, or no longer. */
	= | {readonly kind: 'begun'}
		| {readonly kind: 'ended'}
		| {readonly kind: 'listed'; readonly list: ObjectList}
		| {readonly kind: 'changed'; readonly changes: readonly ObjectChange[]; readonly revision: ObjectVersion}
		| {readonly kind: 'lost'; readonly failure: Failure};

export type StoreWatch = {
	readonly run: (signal: AbortSignal) => Promise<void>;
};

export type StoreWatchOptions = {
	readonly store: ObjectStore;
	readonly objects: string;
	/** Longest wait of one watch. A store that falls silent is noticed within it. */
	readonly wait: Milliseconds;
	readonly clock: Clock;
	readonly random: Random;
	/** Whether this instance has to watch now, or is told by others. */
	readonly isNeeded: () => boolean;
	readonly onEvent: (event: StoreWatchEvent) => void;
};

/** Creates a watch that has not begun. */
export function createStoreWatch(options: StoreWatchOptions): StoreWatch {
	const {store, objects, clock} = options;
	let failures = 0;

	async function pause(failure: Failure, signal: AbortSignal): Promise<void> {
		options.onEvent({kind: 'lost', failure});
		const longest = Math.min(firstPauseMs * (2 ** failures), longestPauseMs);
		failures++;
		await clock.sleep(as<Milliseconds>(longest * (0.5 + (options.random.fraction() / 2))), signal);
	}

	/** Lists the objects. Returns the revision to watch from. */
	async function list(signal: AbortSignal): Promise<ObjectVersion | undefined> {
		const result = await store.list(objects);
		if (result.isErr()) {
			await pause(result.error, signal);
			return undefined;
		}

		failures = 0;
		options.onEvent({kind: 'listed', list: result.value});
		return result.value.revision;
	}

	/** Waits for changes. Returns the revision to go on from. */
	async function follow(since: ObjectVersion, signal: AbortSignal): Promise<ObjectVersion | undefined> {
		const result = await store.watch(objects, since, options.wait, signal);
		switch (result.kind) {
			case 'changes': {
				failures = 0;
				options.onEvent({kind: 'changed', changes: result.changes, revision: result.revision});
				return result.revision;
			}

			case 'history-lost': {
				return undefined;
			}

			case 'failed': {
				if (!signal.aborted) {
					await pause(result.failure, signal);
				}

				return since;
			}
		}
	}

	return {
		async run(signal) {
			let revision: ObjectVersion | undefined;
			let isWatching = false;
			while (!signal.aborted) {
				const isNeeded = options.isNeeded();
				if (isNeeded !== isWatching) {
					isWatching = isNeeded;
					options.onEvent({kind: isNeeded ? 'begun' : 'ended'});
				}

				if (isNeeded) {
					revision = revision === undefined ? await list(signal) : await follow(revision, signal);
				} else {
					revision = undefined;
					await clock.sleep(as<Milliseconds>(idleCheckMs), signal);
				}
			}
		},
	};
}
