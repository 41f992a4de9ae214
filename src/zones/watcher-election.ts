/**
Election of the watcher, the instance that watches the store for its data centre: the first member by rendezvous
hashing among those that the store answers. It sends the others heartbeats while the store answers it; a watcher
whose heartbeats stop is replaced long before the membership declares it dead.
*/
import {type Clock} from '../contracts/clock.js';
import {type InstanceId, type Milliseconds} from '../contracts/id.js';
import {type Member} from './membership.js';
import {candidatesIn, rankOwners} from './ownership.js';

/** Key of the rendezvous hashing, the same for every instance. */
const key = 'store-watch';

/** Heartbeat timeout after which a watcher is replaced, in ms: allows for one lost heartbeat and a late next one. */
const heartbeatTimeoutMs = 900;

/** Time for which a replaced watcher is not elected again unless a heartbeat arrives from it, in ms. */
const exclusionMs = 4000;

export type WatcherElection = {
	/** Whether this instance has to watch the store for its data centre. */
	readonly isWatcher: () => boolean;
	/** Records that a heartbeat of the member has arrived. */
	readonly recordHeartbeat: (member: InstanceId) => void;
};

export type WatcherElectionOptions = {
	readonly self: () => Member;
	readonly members: () => readonly Member[];
	/** Whether the store answers the member, as far as this instance knows. */
	readonly isStoreReachableFrom: (member: InstanceId) => boolean;
	readonly clock: Clock;
};

/** Creates the election as seen from one instance, for which no heartbeat is overdue yet. */
export function createWatcherElection({self, members, isStoreReachableFrom, clock}: WatcherElectionOptions): WatcherElection {
	const heartbeatReceivedAt = new Map<InstanceId, Milliseconds>();
	const excludedAt = new Map<InstanceId, Milliseconds>();
	let elected: {readonly id: InstanceId; readonly since: Milliseconds} | undefined;

	function isEligible(id: InstanceId): boolean {
		const since = excludedAt.get(id);
		return since === undefined || clock.now() - since > exclusionMs;
	}

	/**
	Elects the first candidate whose heartbeats have not timed out. The first heartbeat of a newly elected watcher has
	the same timeout.
	*/
	function elect(): InstanceId | undefined {
		const now = clock.now();
		const candidates = rankOwners(key, candidatesIn(self().dataCentre, members()));
		for (const {id} of candidates.filter(member => isStoreReachableFrom(member.id) && isEligible(member.id))) {
			if (elected?.id !== id) {
				elected = {id, since: now};
			}

			const isOverdue = id !== self().id && now - Math.max(elected.since, heartbeatReceivedAt.get(id) ?? 0) > heartbeatTimeoutMs;
			if (!isOverdue) {
				return id;
			}

			excludedAt.set(id, now);
		}

		elected = undefined;
		return undefined;
	}

	return {
		isWatcher: () => elect() === self().id,
		recordHeartbeat(member) {
			heartbeatReceivedAt.set(member, clock.now());
			excludedAt.delete(member);
		},
	};
}
