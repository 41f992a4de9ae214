/**
Who watches the store: one member of each data centre, the first by rendezvous hashing among those that the store
answers. It sends the others heartbeats while the store answers it; one whose heartbeats stop is replaced long
before the membership declares it dead.
*/
import {type Clock} from '../contracts/clock.js';
import {type InstanceId, type Milliseconds} from '../contracts/id.js';
import {type Member} from './membership.js';
import {candidatesIn, rankOwners} from './ownership.js';

const key = 'store-watch';

/** Time without a heartbeat after which a watcher is replaced, in ms: one heartbeat is lost, and the next one late. */
const silenceMs = 900;

/** Time for which a watcher that was replaced is not chosen again, unless a heartbeat comes, in ms. */
const distrustMs = 4000;

export type WatcherElection = {
	/** Whether this instance has to watch the store for its data centre. */
	readonly isWatcher: () => boolean;
	/** A heartbeat of the member has come. */
	readonly recordHeartbeat: (member: InstanceId) => void;
};

export type WatcherElectionOptions = {
	readonly self: () => Member;
	readonly members: () => readonly Member[];
	readonly isReachableFrom: (member: InstanceId) => boolean;
	readonly clock: Clock;
};

/** Creates the choice of an instance, for which no heartbeat is overdue yet. */
export function createWatcherElection({self, members, isReachableFrom, clock}: WatcherElectionOptions): WatcherElection {
	const heardAt = new Map<InstanceId, Milliseconds>();
	const silentSince = new Map<InstanceId, Milliseconds>();
	let chosen: {readonly id: InstanceId; readonly since: Milliseconds} | undefined;

	function isTrusted(id: InstanceId): boolean {
		const since = silentSince.get(id);
		return since === undefined || clock.now() - since > distrustMs;
	}

	/** The first candidate whose heartbeats have not stopped; its first one is due within the same time after it is chosen. */
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
		recordHeartbeat(member) {
			heardAt.set(member, clock.now());
			silentSince.delete(member);
		},
	};
}
