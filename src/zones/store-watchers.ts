/**
Who watches the store: one member of each data centre, the first by rendezvous hashing among those that the store
answers. It tells the others at short intervals that it still hears the store; one that falls silent is passed
over long before the membership declares it dead.
*/
import {type Clock} from '../contracts/clock.js';
import {type InstanceId, type Milliseconds} from '../contracts/id.js';
import {type Member} from './membership.js';
import {candidatesIn, rankOwners} from './ownership.js';

const key = 'store-watch';

/** Silence after which a watcher is passed over, in ms: it misses one message, and a second one is late. */
const silenceMs = 900;

/** Time for which a watcher that was silent is not chosen again, unless it is heard. */
const distrustMs = 4000;

export type StoreWatchers = {
	/** Whether this instance has to watch the store for its data centre. */
	readonly isWatcher: () => boolean;
	/** A member says that it hears the store. */
	readonly hear: (member: InstanceId) => void;
};

export type StoreWatchersOptions = {
	readonly self: () => Member;
	readonly members: () => readonly Member[];
	readonly isReachableFrom: (member: InstanceId) => boolean;
	readonly clock: Clock;
};

/** Creates the choice of an instance, which at first trusts everyone. */
export function createStoreWatchers({self, members, isReachableFrom, clock}: StoreWatchersOptions): StoreWatchers {
	const heardAt = new Map<InstanceId, Milliseconds>();
	const silentSince = new Map<InstanceId, Milliseconds>();
	let chosen: {readonly id: InstanceId; readonly since: Milliseconds} | undefined;

	function isTrusted(id: InstanceId): boolean {
		const since = silentSince.get(id);
		return since === undefined || clock.now() - since > distrustMs;
	}

	/** The first candidate that is not known to be silent; being chosen starts the time in which it has to be heard. */
	function choose(): InstanceId | undefined {
		const now = clock.now();
		const candidates = rankOwners(key, candidatesIn(self().dataCentre, members()));
		for (const {id} of candidates.filter(member => isReachableFrom(member.id) && isTrusted(member.id))) {
			if (chosen?.id !== id) {
				chosen = {id, since: now};
			}

			const isSilent = id !== self().id && now - Math.max(chosen.since, heardAt.get(id) ?? 0) > silenceMs;
			if (!isSilent) {
				return id;
			}

			silentSince.set(id, now);
		}

		chosen = undefined;
		return undefined;
	}

	return {
		isWatcher: () => choose() === self().id,
		hear(member) {
			heardAt.set(member, clock.now());
			silentSince.delete(member);
		},
	};
}
