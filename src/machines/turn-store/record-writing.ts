/**
Writing of records: those that the store has room for are committed in groups, and entered into the index and the cache once they are
synced.
*/
import {type Clock} from '../../contracts/clock.js';
import {as, type AttemptId, type Milliseconds} from '../../contracts/id.js';
import {
	type Extent, type KeepResult, type TurnRecord, type UsedRecord,
} from '../../contracts/turn.js';
import {
	createRecord, framedBytes, type FrameRecord, recordType,
} from './frame.js';
import {createGroupCommit} from './group-commit.js';
import {type RecordCache} from './record-cache.js';
import {type Retention} from './retention.js';
import {type Segment} from './segment.js';
import {type SegmentLog} from './segment-log.js';
import {encodeTurn} from './turn-encoding.js';
import {extentOf, type TurnIndex, usedPartOf} from './turn-index.js';
import {type TurnStoreEvent} from './turn-store-event.js';

/** Part of the disk that the store uses; the rest is for logs and the file system. */
const usableShare = 0.85;

export type RecordWriting = {
	/** Resolves once the record is synced, or refused: disk full, hanging, closing. */
	readonly keep: (record: TurnRecord) => Promise<KeepResult>;
	/** Writes the start of the next segment without a record. Resolves to whether it is synced. */
	readonly beginSegment: () => Promise<boolean>;
	readonly counts: () => {readonly kept: number; readonly refused: number};
	readonly waitingBytes: () => number;
	readonly isHanging: () => boolean;
	readonly close: () => Promise<void>;
};

export type RecordWritingOptions = {
	readonly index: TurnIndex;
	readonly cache: RecordCache;
	readonly log: SegmentLog;
	readonly retention: Pick<Retention, 'expiryOf'>;
	readonly diskBytes: number;
	readonly clock: Clock;
	readonly onEvent: (event: TurnStoreEvent) => void;
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

/** Creates the writing of a store. */
export function createRecordWriting(options: RecordWritingOptions): RecordWriting {
	const {
		index, cache, log, retention, clock, onEvent,
	} = options;
	const counts = {kept: 0, refused: 0};
	let isSpaceUsedUp = false;

	function enter(item: TurnItem, segment: Segment, position: number): void {
		const {bytes, checksum} = item.record;
		const expiresAt = retention.expiryOf(item.retention);
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
		const hasSpace = used + bytes <= options.diskBytes * usableShare;
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

	return {
		async keep(record) {
			const result = await keepRecord(record);
			counts[result.kind === 'kept' ? 'kept' : 'refused']++;
			return result;
		},
		async beginSegment() {
			const result = await commit.add({kind: 'segment-start'});
			return result.kind === 'kept';
		},
		counts: () => counts,
		waitingBytes: commit.waitingBytes,
		isHanging: commit.isHanging,
		close: commit.close,
	};
}
