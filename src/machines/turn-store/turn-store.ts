/**
Store of turns on the disk of a machine. Turns are appended to segment files and acknowledged once they are synced; an
index and a cache in memory serve the reads. Nothing is rewritten: segments are dropped when all of their turns have
expired. No fault of the disk and no content of its files makes a function of the store reject.
*/
import {type InventoryPage, type TurnCopies} from '../../contracts/archive.js';
import {type Clock, type Random} from '../../contracts/clock.js';
import {type Disk} from '../../contracts/disk.js';
import {as, type AttemptId, type Milliseconds} from '../../contracts/id.js';
import {
	type ChainReply, type Extent, type KeepResult, type TurnRecord, type UsedRecord, type UsedReply,
} from '../../contracts/turn.js';
import {withTimeout} from '../../zones/with-timeout.js';
import {
	createRecord, framedBytes, type FrameRecord, isIntact, recordType,
} from './frame.js';
import {createCompleteness} from './completeness.js';
import {createGroupCommit} from './group-commit.js';
import {createInventory} from './inventory.js';
import {createRecordCache} from './record-cache.js';
import {recoverSegments} from './recovery.js';
import {defaultSegmentBytes, type Segment} from './segment.js';
import {createSegmentLog} from './segment-log.js';
import {contentBytes, decodeTurn, encodeTurn} from './turn-encoding.js';
import {
	createTurnIndex, extentOf, type IndexEntry, isWhole, usedPartOf,
} from './turn-index.js';
import {type TurnStoreEvent} from './turn-store-event.js';
import {createUsedReply} from './used-reply.js';

/** Part of the disk that the store uses; the rest is for logs and the file system. */
const usableShare = 0.85;

/**
Time for which turns are kept beyond their retention, which begins at the end of the response: an entry may be paused
between the acknowledgement of the copies and the end.
*/
const retentionMarginMs = 30_000;

/** Retention for which an absent turn may be one that was lost, unless a longer one is known. */
const assumedRetentionMs = 60_000;

/** The same for records of used tokens, which are kept for twice the retention of a program, of 60 s. */
const assumedUsedRetentionMs = 120_000;

/** Limits of one reply: the rest of a longer chain is asked for by its own turn. */
const maximumChainRecords = 64;
const maximumChainBytes = 1024 * 1024;

/** Time limit for reading a chain. */
const readLimitMs = 1000;

/** Size at which a reply with copies ends. */
const maximumCopiesBytes = 1024 * 1024;

const expiryIntervalMs = 2000;

/** A turn with the size of its record. */
export type ListedTurn = {readonly turn: AttemptId; readonly isWhole: boolean; readonly bytes: number};

export type TurnStore = {
	/** Resolves once the record is synced, or refused: disk full, hanging, closing. */
	readonly keep: (record: TurnRecord) => Promise<KeepResult>;
	readonly chain: (turn: AttemptId) => Promise<ChainReply>;
	/** Reads all records of used tokens. */
	readonly used: () => UsedReply;
	/** Whether a whole record of the turn is synced and has not expired. */
	readonly holds: (turn: AttemptId) => boolean;
	/** Turns that have not expired, for emptying the machine. */
	readonly turns: () => readonly ListedTurn[];
	/** Reads one record; undefined if it is gone or cannot be read. */
	readonly read: (turn: AttemptId) => Promise<TurnRecord | undefined>;
	/** Begins the first segment if there is none, as a further start would take the empty disk for one that was lost. */
	readonly begin: () => void;
	/** Whether the store counts as complete, for turns and for records of used tokens. */
	readonly isComplete: () => boolean;
	/** What is held, from after a turn on, or from the start. */
	readonly inventory: (after: AttemptId | undefined) => InventoryPage;
	/** Reads records, with the retention that they have left, up to the size of a reply. */
	readonly copies: (turns: readonly AttemptId[]) => Promise<TurnCopies>;
	/** Extent of the record of a turn that is synced; undefined if there is none. */
	readonly syncedExtent: (turn: AttemptId) => Extent | undefined;
	/** Makes the store complete, as its machine is new or was repaired. Resolves to whether a further start will know of it. */
	readonly complete: (by: 'repair' | 'first-registration') => Promise<boolean>;
	readonly gauges: () => Readonly<Record<string, number>>;
	readonly close: () => Promise<void>;
};

export type TurnStoreOptions = {
	readonly directory: string;
	readonly disk: Disk;
	/** `segmentBytes` has a default. */
	readonly limits: {readonly diskBytes: number; readonly cacheBytes: number; readonly segmentBytes?: number};
	/** Whether the whole system starts for the first time, so that an empty disk has lost nothing. */
	readonly isFirstStart: boolean;
	readonly clock: Clock;
	readonly random: Random;
	readonly onEvent: (event: TurnStoreEvent) => void;
	/** Ends the start when the process stops before it is over. */
	readonly signal: AbortSignal;
};

type TurnItem = {
	readonly kind: 'turn'; readonly turn: AttemptId; readonly retention: Milliseconds; readonly extent: Extent; readonly used: UsedRecord | undefined; readonly record: FrameRecord;
};

type Item
	= | TurnItem
	/** Writes nothing but the start of the segment, if the batch begins one. */
		| {readonly kind: 'segment-start'};

function isTurnItem(item: Item): item is TurnItem {
	return item.kind === 'turn';
}

type Reading = {readonly kind: 'read'; readonly bytes: Uint8Array} | {readonly kind: 'absent'} | {readonly kind: 'unreadable'};

/** Opens the store. Resolves once the turns on the disk are known. */
export async function openTurnStore(options: TurnStoreOptions): Promise<TurnStore> {
	const {clock, disk, directory, limits, onEvent} = options;
	const startedAt = clock.now();
	const index = createTurnIndex();
	const cache = createRecordCache(limits.cacheBytes);
	const closed = new AbortController();
	const counts = {kept: 0, refused: 0, reads: 0};
	let longestRetention = as<Milliseconds>(assumedRetentionMs);
	let isSpaceUsedUp = false;

	function expiryOf(retention: Milliseconds): Milliseconds {
		longestRetention = as<Milliseconds>(Math.max(longestRetention, retention));
		return as<Milliseconds>(clock.now() + retention + retentionMarginMs);
	}

	const recovery = await recoverSegments({
		directory, disk, index, clock, onEvent, expiryOf, isFirstStart: options.isFirstStart, signal: options.signal,
	});
	const turns = createCompleteness({hasLoss: recovery.hasLoss, lifetime: () => as<Milliseconds>(longestRetention + retentionMarginMs), clock});
	const usedTokens = createCompleteness({
		hasLoss: recovery.hasLossOfUsed,
		lifetime: () => as<Milliseconds>(Math.max(longestRetention, assumedUsedRetentionMs) + retentionMarginMs),
		clock,
	});

	const log = createSegmentLog({
		directory,
		disk,
		segmentBytes: limits.segmentBytes ?? defaultSegmentBytes,
		recovered: recovery.segments,
		completeness: () => ({isIncomplete: !turns.isComplete(), isUsedIncomplete: !usedTokens.isComplete()}),
		onDrop(segment: Segment) {
			for (const turn of index.removeSegment(segment)) {
				cache.remove(turn);
			}
		},
		clock,
		random: options.random,
		onEvent,
	});

	function enter(item: TurnItem, segment: Segment, position: number): void {
		const {bytes, checksum} = item.record;
		const expiresAt = expiryOf(item.retention);
		segment.expiresAt = as<Milliseconds>(Math.max(segment.expiresAt, expiresAt));
		const isNewest = index.put(item.turn, {
			segment, position, length: bytes.length, checksum, extent: item.extent, expiresAt, isSynced: true, used: item.used,
		});
		if (isNewest) {
			cache.put(item.turn, bytes);
		}
	}

	async function write(items: readonly Item[]) {
		const turnItems = items.filter(item => isTurnItem(item));
		const placed = await log.append(turnItems.map(item => item.record));
		if (placed.isOk()) {
			const {segment, positions} = placed.value;
			for (const [place, item] of turnItems.entries()) {
				enter(item, segment, positions[place] ?? 0);
			}
		}

		return placed;
	}

	const commit = createGroupCommit<Item>({
		write, bytesOf: item => isTurnItem(item) ? framedBytes(item.record.bytes.length) : 0, clock, onEvent,
	});

	function hasSpaceFor(bytes: number): boolean {
		const used = log.bytes() + commit.waitingBytes();
		const hasSpace = used + bytes <= limits.diskBytes * usableShare;
		if (!hasSpace && !isSpaceUsedUp) {
			onEvent({kind: 'space-used-up', bytes: used});
		}

		isSpaceUsedUp = !hasSpace;
		return hasSpace;
	}

	async function keepRecord(record: TurnRecord): Promise<KeepResult> {
		const bytes = encodeTurn(record);
		if (!bytes) {
			return {kind: 'refused', reason: 'the turn is too large'};
		}

		if (index.isFull()) {
			return {kind: 'refused', reason: `the index is full with ${index.size()} turns`};
		}

		if (!hasSpaceFor(framedBytes(bytes.length))) {
			return {kind: 'refused', reason: 'the space for turns is used up'};
		}

		return commit.add({
			kind: 'turn', turn: record.turn, retention: record.retention, extent: extentOf(record.content), used: usedPartOf(record), record: createRecord(recordType.turn, bytes),
		});
	}

	async function readEntry(turn: AttemptId, entry: IndexEntry): Promise<Reading> {
		const cached = cache.get(turn);
		if (cached) {
			return {kind: 'read', bytes: cached};
		}

		counts.reads++;
		const {segment, position, length, checksum} = entry;
		const result = await segment.file.read(position, length);
		if (result.isOk() && result.value.length === length && isIntact(result.value, checksum)) {
			if (index.get(turn) === entry) {
				cache.put(turn, result.value);
			}

			return {kind: 'read', bytes: result.value};
		}

		const current = index.get(turn);
		if (current !== entry) {
			// The segment was dropped meanwhile, or the turn was stored again.
			return current ? readEntry(turn, current) : {kind: 'absent'};
		}

		onEvent({
			kind: 'record-unreadable', turn, segment: segment.name, reason: result.isErr() ? result.error.reason : 'the bytes are damaged',
		});
		return {kind: 'unreadable'};
	}

	async function read(turn: AttemptId): Promise<TurnRecord | 'absent' | 'unreadable'> {
		const entry = index.get(turn);
		const reading: Reading = entry ? await readEntry(turn, entry) : {kind: 'absent'};
		return reading.kind === 'read' ? decodeTurn(reading.bytes) ?? 'unreadable' : reading.kind;
	}

	/** Reads one record with the retention that it has left; undefined if it is gone or cannot be read. */
	async function copyOf(turn: AttemptId): Promise<TurnRecord | undefined> {
		const entry = index.get(turn);
		const record = await read(turn);
		return entry && record !== 'absent' && record !== 'unreadable'
			? {...record, retention: as<Milliseconds>(Math.max(0, entry.expiresAt - clock.now() - retentionMarginMs))}
			: undefined;
	}

	/** Adds the records of a chain to a list. Resolves to whether all of them that are held could be read. */
	async function collectChain(turn: AttemptId, records: TurnRecord[]): Promise<boolean> {
		const seen = new Set<AttemptId>();
		let bytes = 0;
		let next: AttemptId | undefined = turn;
		// Attempt ids are chosen by callers, who can make turns continue each other in a circle.
		while (next !== undefined && !seen.has(next) && records.length < maximumChainRecords && bytes < maximumChainBytes) {
			seen.add(next);
			const record: TurnRecord | 'absent' | 'unreadable' = await read(next);
			if (record === 'absent' || record === 'unreadable') {
				return record === 'absent';
			}

			records.push(record);
			bytes += contentBytes(record.content);
			next = record.previous;
		}

		return true;
	}

	async function dropExpired(): Promise<void> {
		// The first record of the current segment says what is missing.
		if (turns.hasBecomeComplete()) {
			log.seal();
			onEvent({kind: 'complete', by: 'expiry'});
		}

		if (usedTokens.hasBecomeComplete()) {
			log.seal();
		}

		// Until then, a further start has to see in the segments what this one has seen.
		if (turns.isComplete() && (usedTokens.isComplete() || log.hasBegun())) {
			await log.dropExpired();
		}
	}

	async function expire(): Promise<void> {
		while (!closed.signal.aborted) {
			await clock.sleep(as<Milliseconds>(expiryIntervalMs), closed.signal);
			void dropExpired();
		}
	}

	const isComplete = () => turns.isComplete() && usedTokens.isComplete();
	const inventory = createInventory({
		entries: index.entries, get: index.get, isComplete, clock,
	});
	onEvent({
		kind: 'recovered', segments: recovery.segments.length, turns: index.size(), isComplete: turns.isComplete(), took: as<Milliseconds>(clock.now() - startedAt),
	});
	void expire();
	return {
		async keep(record) {
			const result = await keepRecord(record);
			counts[result.kind === 'kept' ? 'kept' : 'refused']++;
			return result;
		},
		async chain(turn) {
			const records: TurnRecord[] = [];
			const isWholeChain = await withTimeout(clock, readLimitMs, collectChain(turn, records));
			return {records: [...records], isComplete: (isWholeChain ?? false) && turns.isComplete()};
		},
		used: () => createUsedReply(index.used(), clock.now(), usedTokens.isComplete()),
		holds(turn) {
			const entry = index.get(turn);
			return entry !== undefined && entry.isSynced && isWhole(entry) && entry.expiresAt > clock.now();
		},
		turns: () => [...index.entries()]
			.filter(([, entry]) => entry.expiresAt > clock.now())
			.map(([turn, entry]) => ({turn, isWhole: isWhole(entry), bytes: entry.length})),
		async read(turn) {
			const record = await read(turn);
			return record === 'absent' || record === 'unreadable' ? undefined : record;
		},
		begin() {
			if (log.segments().length === 0) {
				void commit.add({kind: 'segment-start'});
			}
		},
		isComplete,
		inventory: inventory.page,
		async copies(wanted) {
			const records: TurnRecord[] = [];
			let count = 0;
			let bytes = 0;
			for (const turn of wanted) {
				if (bytes >= maximumCopiesBytes) {
					break;
				}

				const record = await copyOf(turn);
				count++;
				bytes += record ? contentBytes(record.content) : 0;
				records.push(...record ? [record] : []);
			}

			return {read: count, records};
		},
		syncedExtent(turn) {
			const entry = index.get(turn);
			return entry?.isSynced ? entry.extent : undefined;
		},
		async complete(by) {
			turns.restore();
			usedTokens.restore();
			log.seal();
			onEvent({kind: 'complete', by});
			const result = await commit.add({kind: 'segment-start'});
			return result.kind === 'kept';
		},
		gauges: () => ({
			turns: index.size(),
			usedRecords: index.used().length,
			segments: log.segments().length,
			diskBytes: log.bytes(),
			cacheBytes: cache.bytes(),
			waitingBytes: commit.waitingBytes(),
			isHanging: Number(commit.isHanging()),
			isComplete: Number(turns.isComplete()),
			isUsedComplete: Number(usedTokens.isComplete()),
			...counts,
		}),
		async close() {
			closed.abort();
			await commit.close();
			await log.close();
		},
	};
}
