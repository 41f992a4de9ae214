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
	type ChainReply, type Extent, type KeepResult, type TurnRecord, type UsedReply,
} from '../../contracts/turn.js';
import {createCompleteness} from './completeness.js';
import {createInventory} from './inventory.js';
import {createRecordCache} from './record-cache.js';
import {createRecordReading} from './record-reading.js';
import {createRecordWriting} from './record-writing.js';
import {recoverSegments} from './recovery.js';
import {createRetention} from './retention.js';
import {defaultSegmentBytes, type Segment} from './segment.js';
import {createSegmentLog} from './segment-log.js';
import {createTurnIndex, isWhole} from './turn-index.js';
import {type TurnStoreEvent} from './turn-store-event.js';
import {createUsedReply} from './used-reply.js';

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

/** Opens the store. Resolves once the turns on the disk are known. */
export async function openTurnStore(options: TurnStoreOptions): Promise<TurnStore> {
	const {clock, disk, directory, limits, onEvent} = options;
	const startedAt = clock.now();
	const index = createTurnIndex();
	const cache = createRecordCache(limits.cacheBytes);
	const closed = new AbortController();
	const retention = createRetention(clock);
	const recovery = await recoverSegments({
		directory, disk, index, clock, onEvent, expiryOf: retention.expiryOf, isFirstStart: options.isFirstStart, signal: options.signal,
	});
	const turns = createCompleteness({hasLoss: recovery.hasLoss, lifetime: retention.longestTurn, clock});
	const usedTokens = createCompleteness({hasLoss: recovery.hasLossOfUsed, lifetime: retention.longestUsed, clock});
	const isComplete = () => turns.isComplete() && usedTokens.isComplete();

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

	const writing = createRecordWriting({
		index, cache, log, retention, diskBytes: limits.diskBytes, clock, onEvent,
	});
	const reading = createRecordReading({
		index, cache, retention, clock, onEvent,
	});
	const inventory = createInventory({
		entries: index.entries, get: index.get, isComplete, clock,
	});

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

	onEvent({
		kind: 'recovered', segments: recovery.segments.length, turns: index.size(), isComplete: turns.isComplete(), took: as<Milliseconds>(clock.now() - startedAt),
	});
	void expire();
	return {
		keep: writing.keep,
		async chain(turn) {
			const {records, isWhole: isWholeChain} = await reading.chain(turn);
			return {records, isComplete: isWholeChain && turns.isComplete()};
		},
		used: () => createUsedReply(index.used(), clock.now(), usedTokens.isComplete()),
		holds(turn) {
			const entry = index.get(turn);
			return entry !== undefined && entry.isSynced && isWhole(entry) && entry.expiresAt > clock.now();
		},
		turns: () => [...index.entries()]
			.filter(([, entry]) => entry.expiresAt > clock.now())
			.map(([turn, entry]) => ({turn, isWhole: isWhole(entry), bytes: entry.length})),
		read: reading.read,
		begin() {
			if (log.segments().length === 0) {
				void writing.beginSegment();
			}
		},
		isComplete,
		inventory: inventory.page,
		copies: reading.copies,
		syncedExtent(turn) {
			const entry = index.get(turn);
			return entry?.isSynced ? entry.extent : undefined;
		},
		async complete(by) {
			turns.restore();
			usedTokens.restore();
			log.seal();
			onEvent({kind: 'complete', by});
			return writing.beginSegment();
		},
		gauges: () => ({
			turns: index.size(),
			usedRecords: index.used().length,
			segments: log.segments().length,
			diskBytes: log.bytes(),
			cacheBytes: cache.bytes(),
			waitingBytes: writing.waitingBytes(),
			isHanging: Number(writing.isHanging()),
			isComplete: Number(turns.isComplete()),
			isUsedComplete: Number(usedTokens.isComplete()),
			...writing.counts(),
			reads: reading.reads(),
		}),
		async close() {
			closed.abort();
			await writing.close();
			await log.close();
		},
	};
}
