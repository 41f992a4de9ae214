/**
Archives: the processes on machines with a disk that store turns. Each registers itself in the store under its own name.
*/
import {z} from 'zod';
import {
	as, type Address, type AttemptId, type DataCentreId, type InstanceId, type Milliseconds,
} from './id.js';
import {type VersionedObject} from './object-store.js';
import {
	type ChainReply, type Extent, type KeepResult, type TurnRecord, type UsedReply,
} from './turn.js';

/** Kind of the objects under which archives register. */
export const archiveKind = 'hickoryfork-archives';

/**
A leaving archive answers reads until its turns are copied, and takes no new ones. One that has left holds nothing that is not
copied, and may be gone; whether it answers proves nothing about a turn. One that is presumed gone was registered so by another, once
enough others held what it had; should it live, it may hold what was kept there since, until it registers itself again.
*/
export type ArchiveState = 'serving' | 'leaving' | 'left' | 'presumed-gone';

export type ListedArchive = {
	readonly id: InstanceId;
	readonly address: Address;
	readonly dataCentre: DataCentreId;
	readonly state: ArchiveState;
};

/** Result of reading which archives are registered. */
export type ArchiveListing
	/** `isWhole` tells whether all entries could be decoded. */
	= | {readonly kind: 'listed'; readonly archives: readonly ListedArchive[]; readonly isWhole: boolean}
		| {readonly kind: 'failed'; readonly reason: string};

/** Builds that do not know archives which are presumed gone take them for ones that have left. */
const listingBody = z.object({
	address: z.string(), dataCentre: z.string(), state: z.enum(['serving', 'leaving', 'left']), isPresumed: z.boolean().optional(),
});

/** Content of an archive's object in the store. */
export function encodeArchive({address, dataCentre, state}: ListedArchive): z.output<typeof listingBody> {
	return state === 'presumed-gone'
		? {
			address, dataCentre, state: 'left', isPresumed: true,
		}
		: {address, dataCentre, state};
}

/** Decodes an archive's object; undefined if it is invalid. */
export function decodeArchive(object: VersionedObject): ListedArchive | undefined {
	const parsed = listingBody.safeParse(object.spec);
	return parsed.success
		? {
			id: as<InstanceId>(object.name),
			address: as<Address>(parsed.data.address),
			dataCentre: as<DataCentreId>(parsed.data.dataCentre),
			state: parsed.data.state === 'left' && parsed.data.isPresumed ? 'presumed-gone' : parsed.data.state,
		}
		: undefined;
}

/** Requests to archives; implemented by a link. The promises never reject. */
export type ArchiveLink = {
	readonly keep: (archive: Address, record: TurnRecord, timeout: Milliseconds) => Promise<KeepResult>;
	/** Resolves to undefined if the archive did not answer in time or before the signal aborts, or cannot answer yet. */
	readonly chain: (archive: Address, turn: AttemptId, timeout: Milliseconds, signal?: AbortSignal) => Promise<ChainReply | undefined>;
	/** Reads all records of used tokens. Resolves to undefined if the archive did not answer in time, or cannot answer yet. */
	readonly used: (archive: Address, timeout: Milliseconds) => Promise<UsedReply | undefined>;
};

/** Outcome of a request to store several records; a record that is not among the stored ones may have been stored. */
export type CopyResult = {readonly stored: ReadonlySet<AttemptId>; readonly reason: string | undefined};

/** Requests from an archive that is emptied to others. The promises never reject. */
export type ArchiveCopyLink = {
	/** The turns of which the archive holds whole records that have not expired; undefined if it did not answer in time. */
	readonly holds: (archive: Address, turns: readonly AttemptId[], timeout: Milliseconds) => Promise<ReadonlySet<AttemptId> | undefined>;
	/** Stores records as with `keep`, with one request. `reason` tells why some were not stored. */
	readonly copy: (archive: Address, records: readonly TurnRecord[], timeout: Milliseconds) => Promise<CopyResult>;
};

/** What an archive holds of a turn. A record that is not known to be synced may not outlast a loss of power. */
export type HeldTurn = {
	readonly turn: AttemptId;
	readonly extent: Extent;
	readonly isSynced: boolean;
	/** Time for which the archive still holds it. */
	readonly remaining: Milliseconds;
};

/** Part of the turns that an archive holds, in the order of their names. */
export type InventoryPage = {
	readonly turns: readonly HeldTurn[];
	/** Whether no turn comes after these. */
	readonly isLast: boolean;
	/** Whether the archive counts as complete, for turns and for records of used tokens. */
	readonly isComplete: boolean;
};

/** Records of the first `read` of the turns that were asked for, without those that are gone or cannot be read. */
export type TurnCopies = {readonly read: number; readonly records: readonly TurnRecord[]};

/** Requests from an archive that repairs itself to others. The promises never reject; they resolve to undefined without an answer in time. */
export type ArchiveRepairLink = {
	/** The turns whose names come after `after`, all if it is undefined, as many as fit into a page. */
	readonly inventory: (archive: Address, after: AttemptId | undefined, timeout: Milliseconds) => Promise<InventoryPage | undefined>;
	/** Reads records, with the retention that they have left, as many as fit into a reply. */
	readonly copies: (archive: Address, turns: readonly AttemptId[], timeout: Milliseconds) => Promise<TurnCopies | undefined>;
};
