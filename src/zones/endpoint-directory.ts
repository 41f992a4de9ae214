/**
Directory of endpoints: the list in the store, whether it was read there or received from a peer. Entries contain the
revision of their last change, and the newer one wins, so that lists from the store and from peers merge in any
order.

During a store outage entries of the list expire although their back ends are alive. The removal of an entry that is
missing after an outage is therefore deferred until live back ends have had the time to be listed again. Removals
are not deferred when the outage was too short for an entry to expire, or when only this instance could not reach
the store.
*/
import {
	as, type EndpointId, type Milliseconds, type ObjectVersion,
} from '../contracts/id.js';
import {type ListedEndpoint} from '../contracts/relay.js';

/** Time after a store outage during which removals are deferred, in ms: live back ends are listed again within two seconds. */
export const removalGraceMs = 2200;

/**
Number of heartbeat intervals that an outage has to last for entries to expire: an entry expires when three heartbeats
are missing, the first of which may be due as soon as the outage begins.
*/
const outageHeartbeats = 2;

/** Time for which a removal is remembered, so that older updates do not restore the entry. */
const tombstoneMs = 60_000;

export type DirectoryEntry
	= | {readonly kind: 'listed'; readonly revision: ObjectVersion; readonly endpoint: ListedEndpoint}
		| {readonly kind: 'removed'; readonly revision: ObjectVersion; readonly id: EndpointId};

export type EndpointDirectory = {
	/** Merges entries that are in effect at a peer; their removals are not deferred. Returns those that changed the directory. */
	readonly merge: (entries: readonly DirectoryEntry[], now: Milliseconds) => readonly DirectoryEntry[];
	/**
	Merges all entries of a peer that has read the list at a revision. Entries up to this revision that the peer lacks
	have been removed.
	*/
	readonly mergeSnapshot: (entries: readonly DirectoryEntry[], upTo: ObjectVersion, now: Milliseconds) => readonly DirectoryEntry[];
	/** Revision of the last list that was read from the store. */
	readonly listedAt: () => ObjectVersion;
	/** Records that everything up to this revision has been read. */
	readonly advanceTo: (revision: ObjectVersion) => void;
	/** Applies a change from the store. Returns what changed the directory at once. */
	readonly applyChange: (entry: DirectoryEntry, now: Milliseconds) => readonly DirectoryEntry[];
	/**
	Applies a complete list from the store; entries that it lacks have been removed. Returns what changed the directory
	at once.
	*/
	readonly applyList: (entries: readonly DirectoryEntry[], revision: ObjectVersion, now: Milliseconds) => readonly DirectoryEntry[];
	/** Records that the store was reachable at a time, from here or from a neighbour with which this instance is in sync. */
	readonly recordContact: (at: Milliseconds, now: Milliseconds) => void;
	/** Applies deferred removals once the grace period is over, and returns them. Drops old tombstones. */
	readonly expire: (now: Milliseconds) => readonly DirectoryEntry[];
	readonly entries: () => readonly DirectoryEntry[];
	/** Endpoints whose removal is deferred. */
	readonly deferredRemovals: () => readonly EndpointId[];
	/** Whether entries that are missing from the list may merely have expired during an outage. */
	readonly isDeferringRemovals: (now: Milliseconds) => boolean;
	/** Newest revision known. */
	readonly revision: () => ObjectVersion;
};

function idOf(entry: DirectoryEntry): EndpointId {
	return entry.kind === 'listed' ? entry.endpoint.id : entry.id;
}

/** Whether an entry replaces the current one. The removal of an object carries the revision of its last change. */
function supersedes(entry: DirectoryEntry, current: DirectoryEntry): boolean {
	const isRemovalOfIt = entry.revision === current.revision && entry.kind === 'removed' && current.kind === 'listed';
	return entry.revision > current.revision || isRemovalOfIt;
}

/** Creates an empty directory of endpoints that renew their entries at the interval `heartbeat`. */
export function createEndpointDirectory(heartbeat: Milliseconds): EndpointDirectory {
	const known = new Map<EndpointId, DirectoryEntry>();
	const removedAt = new Map<EndpointId, Milliseconds>();
	const deferred = new Map<EndpointId, DirectoryEntry>();
	let contactAt: Milliseconds | undefined;
	let deferredUntil = as<Milliseconds>(0);
	let newest = as<ObjectVersion>(0);
	/** Everything up to this revision has been read from the store: an older entry that is unknown here has been removed. */
	let listedAt = as<ObjectVersion>(0);

	function advanceTo(revision: ObjectVersion): void {
		newest = as<ObjectVersion>(Math.max(newest, revision));
	}

	function put(entry: DirectoryEntry, now: Milliseconds): DirectoryEntry[] {
		const id = idOf(entry);
		const current = known.get(id);
		advanceTo(entry.revision);
		if (current && !supersedes(entry, current)) {
			return [];
		}

		deferred.delete(id);
		known.set(id, entry);
		if (entry.kind === 'removed') {
			removedAt.set(id, now);
		} else {
			removedAt.delete(id);
		}

		return [entry];
	}

	/** An outdated list of a peer may still contain an endpoint that was removed before this instance read the list. */
	function isOutdated(entry: DirectoryEntry): boolean {
		return entry.kind === 'listed' && !known.has(entry.endpoint.id) && entry.revision <= listedAt;
	}

	/** Whether a removal may only be the effect of a store outage. */
	function isDeferringRemovals(now: Milliseconds): boolean {
		return now < deferredUntil;
	}

	function applyChange(entry: DirectoryEntry, now: Milliseconds): readonly DirectoryEntry[] {
		const isListed = known.get(idOf(entry))?.kind === 'listed';
		if (entry.kind === 'removed' && isListed && isDeferringRemovals(now)) {
			deferred.set(entry.id, entry);
			return [];
		}

		return put(entry, now);
	}

	function merge(entries: readonly DirectoryEntry[], now: Milliseconds): readonly DirectoryEntry[] {
		return entries.flatMap(entry => isOutdated(entry) ? [] : put(entry, now));
	}

	/** Removals of the known entries up to a revision that the given entries lack. */
	function removalsOfMissing(entries: readonly DirectoryEntry[], upTo: ObjectVersion): readonly DirectoryEntry[] {
		const givenIds = new Set(entries.map(entry => idOf(entry)));
		return [...known.values()]
			.filter(entry => entry.kind === 'listed' && !givenIds.has(entry.endpoint.id) && entry.revision <= upTo)
			.map(entry => ({kind: 'removed', revision: entry.revision, id: idOf(entry)}));
	}

	function dropTombstones(now: Milliseconds): void {
		for (const [id, at] of removedAt) {
			if (now - at > tombstoneMs) {
				removedAt.delete(id);
				known.delete(id);
			}
		}
	}

	return {
		merge,
		mergeSnapshot: (entries, upTo, now) => merge([...entries, ...removalsOfMissing(entries, upTo)], now),
		listedAt: () => listedAt,
		advanceTo,
		applyChange,
		applyList(entries, revision, now) {
			const missing = removalsOfMissing(entries, revision);
			advanceTo(revision);
			listedAt = as<ObjectVersion>(Math.max(listedAt, revision));
			return [...entries, ...missing].flatMap(entry => applyChange(entry, now));
		},
		recordContact(at, now) {
			const isAfterOutage = contactAt === undefined || at - contactAt > outageHeartbeats * heartbeat;
			if (isAfterOutage) {
				deferredUntil = as<Milliseconds>(now + removalGraceMs);
			}

			contactAt = as<Milliseconds>(Math.max(contactAt ?? at, at));
		},
		expire(now) {
			dropTombstones(now);
			return deferred.size === 0 || isDeferringRemovals(now) ? [] : [...deferred.values()].flatMap(entry => put(entry, now));
		},
		entries: () => [...known.values()],
		deferredRemovals: () => [...deferred.keys()],
		isDeferringRemovals,
		revision: () => newest,
	};
}
