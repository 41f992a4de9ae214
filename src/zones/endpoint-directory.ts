/**
Directory of endpoints: what the list in the store says, however an instance learned it. Entries carry
the revision of their last change, and the newer one wins, so that lists from the store and from peers
merge in any order.

While the store is away the list lapses although back ends live, so an entry that is missing after an absence of
the store is kept until living back ends have had the time to return. An absence that is too short for an entry to
lapse says nothing, and neither does the trouble of a single instance with the store.
*/
import {
	as, type EndpointId, type Milliseconds, type ObjectVersion,
} from '../contracts/id.js';
import {type ListedEndpoint} from '../contracts/relay.js';

/** Time after an absence of the store during which a removal is doubted, in ms: living back ends are listed again within two seconds. */
export const removalGraceMs = 2200;

/** Heartbeats that an absence has to last for entries to lapse: one lapses when three are missing, the first of which may have been due at once. */
const lapsingHeartbeats = 2;

/** Time for which a removal is remembered against older news. */
const tombstoneMs = 60_000;

export type DirectoryEntry
	= | {readonly kind: 'listed'; readonly revision: ObjectVersion; readonly endpoint: ListedEndpoint}
		| {readonly kind: 'removed'; readonly revision: ObjectVersion; readonly id: EndpointId};

export type EndpointDirectory = {
	/** Takes entries that a peer has decided on. Returns those that were news. */
	readonly merge: (entries: readonly DirectoryEntry[], now: Milliseconds) => readonly DirectoryEntry[];
	/** Takes all entries of a peer that has read the list at a revision; it lacks what had been removed before. */
	readonly mergeSnapshot: (entries: readonly DirectoryEntry[], upTo: ObjectVersion, now: Milliseconds) => readonly DirectoryEntry[];
	/** Revision of the last list that was read from the store. */
	readonly listedAt: () => ObjectVersion;
	/** Everything up to this revision has been read. */
	readonly advanceTo: (revision: ObjectVersion) => void;
	/** Takes a change from the store. Returns what follows at once. */
	readonly applyChange: (entry: DirectoryEntry, now: Milliseconds) => readonly DirectoryEntry[];
	/** Takes a whole list from the store; what it lacks has been removed. */
	readonly applyList: (entries: readonly DirectoryEntry[], revision: ObjectVersion, now: Milliseconds) => readonly DirectoryEntry[];
	/** The store was there at the time given, as seen from here or from a neighbour that told this instance everything. */
	readonly recordContact: (at: Milliseconds, now: Milliseconds) => void;
	/** Removals that have waited long enough. */
	readonly expire: (now: Milliseconds) => readonly DirectoryEntry[];
	readonly entries: () => readonly DirectoryEntry[];
	/** Endpoints whose removal has not been believed yet. */
	readonly deferredRemovals: () => readonly EndpointId[];
	/** Whether what the list lacks now may only have lapsed. */
	readonly isDeferringRemovals: (now: Milliseconds) => boolean;
	/** Newest revision known. */
	readonly revision: () => ObjectVersion;
};

function idOf(entry: DirectoryEntry): EndpointId {
	return entry.kind === 'listed' ? entry.endpoint.id : entry.id;
}

/** Whether a change replaces what is known. A removed object bears the revision of its last change. */
function supersedes(entry: DirectoryEntry, current: DirectoryEntry): boolean {
	const isRemovalOfIt = entry.revision === current.revision && entry.kind === 'removed' && current.kind === 'listed';
	return entry.revision > current.revision || isRemovalOfIt;
}

/** Creates an empty directory of endpoints that renew their entries in the interval given. */
export function createEndpointDirectory(heartbeat: Milliseconds): EndpointDirectory {
	const known = new Map<EndpointId, DirectoryEntry>();
	const removedAt = new Map<EndpointId, Milliseconds>();
	const doubted = new Map<EndpointId, DirectoryEntry>();
	let contactAt: Milliseconds | undefined;
	let doubtedUntil = as<Milliseconds>(0);
	let newest = as<ObjectVersion>(0);
	/** Everything up to this revision has been read from the store: what is not known of before has been removed. */
	let listedAt = as<ObjectVersion>(0);

	function reach(revision: ObjectVersion): void {
		newest = as<ObjectVersion>(Math.max(newest, revision));
	}

	function put(entry: DirectoryEntry, now: Milliseconds): DirectoryEntry[] {
		const id = idOf(entry);
		const current = known.get(id);
		reach(entry.revision);
		if (current && !supersedes(entry, current)) {
			return [];
		}

		doubted.delete(id);
		known.set(id, entry);
		if (entry.kind === 'removed') {
			removedAt.set(id, now);
		} else {
			removedAt.delete(id);
		}

		return [entry];
	}

	/** A peer that is behind may still list what was removed before this instance read the list. */
	function isOutdated(entry: DirectoryEntry): boolean {
		return entry.kind === 'listed' && !known.has(entry.endpoint.id) && entry.revision <= listedAt;
	}

	/** Whether a removal may only mean that the store was away. */
	function isDoubtful(now: Milliseconds): boolean {
		return now < doubtedUntil;
	}

	function learn(entry: DirectoryEntry, now: Milliseconds): readonly DirectoryEntry[] {
		const isListed = known.get(idOf(entry))?.kind === 'listed';
		if (entry.kind === 'removed' && isListed && isDoubtful(now)) {
			doubted.set(entry.id, entry);
			return [];
		}

		return put(entry, now);
	}

	function merge(entries: readonly DirectoryEntry[], now: Milliseconds): readonly DirectoryEntry[] {
		return entries.flatMap(entry => isOutdated(entry) ? [] : put(entry, now));
	}

	/** Removals of entries that are not among those given, although they are no newer than a revision. */
	function removalsBeside(entries: readonly DirectoryEntry[], upTo: ObjectVersion): readonly DirectoryEntry[] {
		const named = new Set(entries.map(entry => idOf(entry)));
		return [...known.values()]
			.filter(entry => entry.kind === 'listed' && !named.has(entry.endpoint.id) && entry.revision <= upTo)
			.map(entry => ({kind: 'removed', revision: entry.revision, id: idOf(entry)}));
	}

	function forgetTombstones(now: Milliseconds): void {
		for (const [id, at] of removedAt) {
			if (now - at > tombstoneMs) {
				removedAt.delete(id);
				known.delete(id);
			}
		}
	}

	return {
		merge,
		mergeSnapshot: (entries, upTo, now) => merge([...entries, ...removalsBeside(entries, upTo)], now),
		listedAt: () => listedAt,
		advanceTo: reach,
		applyChange: learn,
		applyList(entries, revision, now) {
			const missing = removalsBeside(entries, revision);
			reach(revision);
			listedAt = as<ObjectVersion>(Math.max(listedAt, revision));
			return [...entries, ...missing].flatMap(entry => learn(entry, now));
		},
		recordContact(at, now) {
			const isAbsence = contactAt === undefined || at - contactAt > lapsingHeartbeats * heartbeat;
			if (isAbsence) {
				doubtedUntil = as<Milliseconds>(now + removalGraceMs);
			}

			contactAt = as<Milliseconds>(Math.max(contactAt ?? at, at));
		},
		expire(now) {
			forgetTombstones(now);
			return doubted.size === 0 || isDoubtful(now) ? [] : [...doubted.values()].flatMap(entry => put(entry, now));
		},
		entries: () => [...known.values()],
		deferredRemovals: () => [...doubted.keys()],
		isDeferringRemovals: isDoubtful,
		revision: () => newest,
	};
}
