/**
Log of a turn store: the segments on the disk, of which the newest one is appended to. Expired segments are dropped, except
the newest one: a directory without the start of a segment tells the next start that the disk was lost.
*/
import path from 'node:path';
import {err, ok, type Result} from 'neverthrow';
import {type Clock, type Random} from '../../contracts/clock.js';
import {type Disk, type DiskFailure} from '../../contracts/disk.js';
import {
	createRecord, framedBytes, type FrameRecord, layOutBatch, recordType,
} from './frame.js';
import {
	encodeSegmentStart, saltOf, type Segment, segmentName, type SegmentStart,
} from './segment.js';
import {type DiskOperation, type TurnStoreEvent} from './turn-store-event.js';

/** Segments of a disk; more than fit into the space of any, unless each operation fails. */
const maximumSegments = 1000;

export type Placement = {readonly segment: Segment; readonly positions: readonly number[]};

export type SegmentLog = {
	/** Writes and syncs records in one batch. Not called again before it has resolved. */
	readonly append: (records: readonly FrameRecord[]) => Promise<Result<Placement, DiskFailure>>;
	/** Makes the next batch begin a new segment. */
	readonly seal: () => void;
	/** Whether a segment was begun since the start; its first record says what was missing then. */
	readonly hasBegun: () => boolean;
	/** Drops the segments whose records have all expired. */
	readonly dropExpired: () => Promise<void>;
	readonly segments: () => readonly Segment[];
	/** Number of bytes that all segments take. */
	readonly bytes: () => number;
	readonly close: () => Promise<void>;
};

export type SegmentLogOptions = {
	readonly directory: string;
	readonly disk: Disk;
	/** Size after which a new segment is begun. */
	readonly segmentBytes: number;
	/** Segments that were there at the start, in the order of their numbers. */
	readonly recovered: readonly Segment[];
	/** What may be missing when a segment is begun. */
	readonly completeness: () => Pick<SegmentStart, 'isIncomplete' | 'isUsedIncomplete'>;
	/** Called before the file of a segment is removed. */
	readonly onDrop: (segment: Segment) => void;
	readonly clock: Clock;
	readonly random: Random;
	readonly onEvent: (event: TurnStoreEvent) => void;
};

/** Creates the log of a store. No file is written before the first record. */
export function createSegmentLog(options: SegmentLogOptions): SegmentLog {
	const {directory, disk, clock, segmentBytes} = options;
	let segments = [...options.recovered];
	/** Segments that are no longer used, but whose files could not be removed yet. */
	let removable: readonly Segment[] = [];
	let current: Segment | undefined;
	let isDropping = false;
	let hasBegun = false;

	function fail(operation: DiskOperation, failure: DiskFailure): void {
		options.onEvent({kind: 'disk-failed', operation, failure});
	}

	async function open(): Promise<Result<Segment, DiskFailure>> {
		if (segments.length + removable.length >= maximumSegments) {
			return err({kind: 'failed', reason: `there are ${maximumSegments} segments`});
		}

		const number = Math.max(0, ...[...segments, ...removable].map(segment => segment.number)) + 1;
		const name = segmentName(number, options.random.unique());
		const file = await disk.create(path.join(directory, name));
		return file.map(created => {
			current = {
				number, name, file: created, length: 0, bytes: 0, expiresAt: clock.now(), turns: [],
			};
			segments.push(current);
			hasBegun = true;
			options.onEvent({kind: 'segment-opened', segment: name});
			return current;
		});
	}

	/** First record of a segment. */
	function startOf(segment: Segment): FrameRecord {
		const earlier = segments.filter(other => other !== segment);
		return createRecord(recordType.segmentStart, encodeSegmentStart({
			...options.completeness(),
			lengths: new Map(earlier.map(({number, length}) => [number, length])),
		}));
	}

	async function remove(segment: Segment): Promise<boolean> {
		await segment.file.close();
		const removed = await disk.remove(path.join(directory, segment.name));
		if (removed.isErr()) {
			fail('remove', removed.error);
		}

		return removed.isOk();
	}

	/** Ends the use of a segment after a failure that leaves unknown which of its last bytes are on the disk. */
	function abandon(segment: Segment): void {
		current = undefined;
		if (segment.length === 0) {
			segments = segments.filter(other => other !== segment);
			removable = [...removable, segment];
		}
	}

	async function syncBatch(segment: Segment): Promise<Result<true, DiskFailure>> {
		const synced = await segment.file.sync();
		// The name of a new segment has to outlast a loss of power as well.
		return synced.isOk() && segment.length === 0 ? disk.syncDirectory(directory) : synced;
	}

	async function append(records: readonly FrameRecord[]): Promise<Result<Placement, DiskFailure>> {
		const size = records.reduce((sum, record) => sum + framedBytes(record.bytes.length), 0);
		if (current && current.length > 0 && current.length + size > segmentBytes) {
			current = undefined;
		}

		const opened = current ? ok(current) : await open();
		if (opened.isErr()) {
			return err(opened.error);
		}

		const segment = opened.value;
		const isNew = segment.length === 0;
		const batch = layOutBatch(isNew ? [startOf(segment), ...records] : records, segment.length, saltOf(segment.name));
		segment.bytes = Math.max(segment.bytes, batch.end);
		const written = await segment.file.write(segment.length, batch.parts);
		if (written.isErr()) {
			// On a full disk the next batch takes the place of this one, as a new file would need space, too.
			if (written.error.kind === 'failed') {
				abandon(segment);
			}

			return err(written.error);
		}

		const synced = await syncBatch(segment);
		if (synced.isErr()) {
			// After a failed sync, the system may take bytes for written that are not.
			abandon(segment);
			return err(synced.error);
		}

		segment.length = batch.end;
		return ok({segment, positions: isNew ? batch.positions.slice(1) : batch.positions});
	}

	async function dropExpired(): Promise<void> {
		const now = clock.now();
		const newest = segments.at(-1);
		const expired = segments.filter(segment => segment !== newest && segment !== current && segment.expiresAt <= now);
		segments = segments.filter(segment => !expired.includes(segment));
		removable = [...removable, ...expired];
		for (const segment of expired) {
			options.onEvent({kind: 'segment-dropped', segment: segment.name, turns: segment.turns.length});
			options.onDrop(segment);
		}

		if (isDropping) {
			return;
		}

		isDropping = true;
		for (const segment of removable) {
			if (await remove(segment)) {
				removable = removable.filter(other => other !== segment);
			}
		}

		isDropping = false;
	}

	return {
		append,
		seal() {
			current = undefined;
		},
		hasBegun: () => hasBegun,
		dropExpired,
		segments: () => segments,
		bytes: () => [...segments, ...removable].reduce((sum, segment) => sum + segment.bytes, 0),
		async close() {
			await Promise.all(segments.map(async segment => segment.file.close()));
		},
	};
}
