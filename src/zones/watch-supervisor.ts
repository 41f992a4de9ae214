/**
Whether this instance watches the store now, and the watches while it does. It watches for its data centre when it
is chosen, and for itself when no heartbeat of a watcher has come for a while.
*/
import {type Clock} from '../contracts/clock.js';
import {as, type Milliseconds} from '../contracts/id.js';
import {type StoreProbe} from './store-probe.js';
import {type StoreWatch} from './store-watch.js';

/** How often the duty is looked at, in ms. */
const checkMs = 200;

/** Time between two heartbeats of a watcher, in ms. */
const heartbeatMs = 400;

/**
Age of the last news of the store above which an instance asks it itself, in ms. What is left of two seconds is for
its own calls.
*/
const staleMs = 1000;

export type WatchSupervisor = {
	/** Begins or ends what the state calls for, without waiting for the next look. */
	readonly check: () => void;
	/** Time up to which this instance itself has read everything from the store; undefined while it does not. */
	readonly storeSyncedAt: () => Milliseconds | undefined;
	/** Whether what this instance knows may be older than it should be. */
	readonly isStale: () => boolean;
	readonly run: (signal: AbortSignal) => Promise<void>;
};

export type WatchSupervisorOptions = {
	readonly probe: StoreProbe;
	readonly watches: readonly StoreWatch[];
	/** Whether every table has been read once. */
	readonly isComplete: () => boolean;
	readonly isWatcher: () => boolean;
	/** Time up to which others are known to have told this instance everything. */
	readonly peerSyncedAt: () => Milliseconds;
	readonly clock: Clock;
	/** A heartbeat is due. */
	readonly onHeartbeat: () => void;
	readonly onWatching: (isWatching: boolean) => void;
};

/** Creates the duty of an instance that does not watch yet. */
export function createWatchSupervisor(options: WatchSupervisorOptions): WatchSupervisor {
	const {probe: contact, clock} = options;
	let asking: AbortController | undefined;
	let watching: AbortController | undefined;
	let beatAt = as<Milliseconds>(-heartbeatMs);

	/** The store's answer to a small read says nothing about tables that have not been listed since. */
	function freshAt(): Milliseconds | undefined {
		return watching && options.watches.every(watch => watch.isFollowing()) ? contact.confirmedAt() : undefined;
	}

	const isStale = () => freshAt() === undefined && clock.now() - options.peerSyncedAt() > staleMs;

	/** An instance that lost the store goes on asking, so that it can say when the store is back. */
	function isNeeded(): boolean {
		return !options.isComplete() || options.isWatcher() || contact.isLost() || clock.now() - options.peerSyncedAt() > staleMs;
	}

	function end(): void {
		watching?.abort();
		watching = undefined;
	}

	/** Watches begin anew whenever the store is back: a call that waits on an old connection may never be answered. */
	function watch(): void {
		const isInContact = contact.confirmedAt() !== undefined;
		if (!isInContact) {
			end();
		} else if (!watching) {
			watching = new AbortController();
			for (const {run} of options.watches) {
				void run(watching.signal);
			}
		}
	}

	function beat(): void {
		const now = clock.now();
		if (freshAt() !== undefined && options.isWatcher() && now - beatAt >= heartbeatMs) {
			beatAt = now;
			options.onHeartbeat();
		}
	}

	function check(): void {
		if (!isNeeded()) {
			if (asking) {
				asking.abort();
				asking = undefined;
				end();
				options.onWatching(false);
			}

			return;
		}

		if (!asking) {
			asking = new AbortController();
			options.onWatching(true);
			void contact.run(asking.signal);
		}

		watch();
		beat();
	}

	return {
		check,
		storeSyncedAt: freshAt,
		isStale,
		async run(signal) {
			while (!signal.aborted) {
				check();
				await clock.sleep(as<Milliseconds>(checkMs), signal);
			}

			asking?.abort();
			end();
		},
	};
}
