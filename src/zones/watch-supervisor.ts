/**
Starts and stops the watches of the store. An instance watches for its data centre while it is elected, and for
itself when no heartbeat of the watcher has arrived for a while.
*/
import {type Clock} from '../contracts/clock.js';
import {as, type Milliseconds} from '../contracts/id.js';
import {type StoreProbe} from './store-probe.js';
import {type StoreWatch} from './store-watch.js';

/** Interval at which the need to watch is checked, in ms. */
const checkIntervalMs = 200;

/** Interval of a watcher's heartbeats, in ms. */
const heartbeatMs = 400;

/**
Staleness above which an instance watches the store itself, in ms. The rest of the two seconds, within which a
change has to be in effect everywhere, is left for its own requests to the store.
*/
const staleMs = 1000;

export type WatchSupervisor = {
	/** Starts or stops probe and watches as the state requires, without waiting for the next periodic check. */
	readonly check: () => void;
	/**
	Time up to which this instance itself has read everything from the store; undefined while it does not watch the
	store or gets no answer.
	*/
	readonly storeSyncedAt: () => Milliseconds | undefined;
	/** Whether the tables of this instance may be older than allowed. */
	readonly isStale: () => boolean;
	readonly run: (signal: AbortSignal) => Promise<void>;
};

export type WatchSupervisorOptions = {
	readonly probe: StoreProbe;
	readonly watches: readonly StoreWatch[];
	/** Whether every table has been read once. */
	readonly isComplete: () => boolean;
	readonly isWatcher: () => boolean;
	/** Time up to which the digest of a neighbour proves that this instance has received everything that the store had. */
	readonly peerSyncedAt: () => Milliseconds;
	readonly clock: Clock;
	/** Called when a heartbeat is due. */
	readonly onHeartbeat: () => void;
	readonly onWatching: (isWatching: boolean) => void;
};

/** Creates the supervisor of an instance that does not watch yet. */
export function createWatchSupervisor(options: WatchSupervisorOptions): WatchSupervisor {
	const {probe, clock} = options;
	let probing: AbortController | undefined;
	let watching: AbortController | undefined;
	let heartbeatSentAt = as<Milliseconds>(-heartbeatMs);

	/** A probe that succeeds shows nothing about tables that have not been listed since the watches started. */
	function storeSyncedAt(): Milliseconds | undefined {
		return watching && options.watches.every(watch => watch.isFollowing()) ? probe.confirmedAt() : undefined;
	}

	const isStale = () => storeSyncedAt() === undefined && clock.now() - options.peerSyncedAt() > staleMs;

	/** An instance that has lost contact with the store keeps probing, so that it can report when the store is reachable again. */
	function isNeeded(): boolean {
		return !options.isComplete() || options.isWatcher() || probe.isLost() || clock.now() - options.peerSyncedAt() > staleMs;
	}

	function end(): void {
		watching?.abort();
		watching = undefined;
	}

	/** Restarts the watches whenever the store is reachable again: a request that waits on an old connection may never be answered. */
	function updateWatches(): void {
		const isInContact = probe.confirmedAt() !== undefined;
		if (!isInContact) {
			end();
		} else if (!watching) {
			watching = new AbortController();
			for (const {run} of options.watches) {
				void run(watching.signal);
			}
		}
	}

	function sendHeartbeat(): void {
		const now = clock.now();
		if (storeSyncedAt() !== undefined && options.isWatcher() && now - heartbeatSentAt >= heartbeatMs) {
			heartbeatSentAt = now;
			options.onHeartbeat();
		}
	}

	function check(): void {
		if (!isNeeded()) {
			if (probing) {
				probing.abort();
				probing = undefined;
				end();
				options.onWatching(false);
			}

			return;
		}

		if (!probing) {
			probing = new AbortController();
			options.onWatching(true);
			void probe.run(probing.signal);
		}

		updateWatches();
		sendHeartbeat();
	}

	return {
		check,
		storeSyncedAt,
		isStale,
		async run(signal) {
			while (!signal.aborted) {
				check();
				await clock.sleep(as<Milliseconds>(checkIntervalMs), signal);
			}

			probing?.abort();
			end();
		},
	};
}
