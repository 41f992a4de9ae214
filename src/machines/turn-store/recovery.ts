/**
Start of a turn store: reads the segments that earlier processes wrote, the newest first, and reports what was dropped of
each and why. Their turns count as kept at this moment, since the clocks may have jumped meanwhile.
*/
import path from 'node:path';
import {err} from 'neverthrow';
import {type Clock} from '../../contracts/clock.js';
import {
	type Disk, type DiskFailure, type DiskFile, type ListedFile,
} from '../../contracts/disk.js';
import {as, type Milliseconds} from '../../contracts/id.js';
import {recordType, type Frame} from './frame.js';
import {
	decodeSegmentStart, maximumSegmentBytes, saltOf, type Segment, segmentNumberOf, type SegmentStart,
} from './segment.js';
import {scanSegment, type SegmentScan} from './segment-scan.js';
import {decodeTurn} from './turn-encoding.js';
import {extentOf, type TurnIndex, usedPartOf} from './turn-index.js';
import {type TurnStoreEvent} from './turn-store-event.js';

/** Delay before the directory is listed again after a failure. */
const listRetryMs = 500;

export type Recovery = {
	/** In the order of their numbers. */
	readonly segments: readonly Segment[];
	/** Whether turns that were acknowledged may be lost. */
	readonly hasLoss: boolean;
	/** Whether acknowledged records of used tokens may be lost. */
	readonly hasLossOfUsed: boolean;
};

export type RecoveryOptions = {
	readonly directory: string;
	readonly disk: Disk;
	readonly isFirstStart: boolean;
	readonly index: TurnIndex;
	/** Time at which a turn with a retention expires, if it is kept now. */
	readonly expiryOf: (retention: Milliseconds) => Milliseconds;
	readonly clock: Clock;
	readonly onEvent: (event: TurnStoreEvent) => void;
	readonly signal: AbortSignal;
};

type Content = {readonly bytes: Uint8Array; readonly failure: DiskFailure | undefined};

/** Stands for the file of a segment that cannot be opened. */
function unreadableFile(failure: DiskFailure): DiskFile {
	return {
		read: async () => err(failure), write: async () => err(failure), sync: async () => err(failure), close: async () => undefined,
	};
}

/** Reads all segments into the index. Resolves once the directory could be listed. */
export async function recoverSegments(options: RecoveryOptions): Promise<Recovery> {
	const {directory, disk, index, clock, onEvent} = options;
	const segments: Segment[] = [];
	/** Synced lengths of segments as the newer ones recorded them, by number. */
	const sealedLengths = new Map<number, number>();
	let hasLoss = false;
	/** First record of the newest segment that has one; without any, the disk may be a new one. What an older one says was settled before it was written. */
	let newestStart: SegmentStart | undefined;
	/** Shared by all segments, as a small machine has no memory for several at once. */
	let buffer = new Uint8Array();

	async function listFiles(): Promise<readonly ListedFile[]> {
		while (!options.signal.aborted) {
			const listed = await disk.list(directory);
			if (listed.isOk()) {
				return listed.value;
			}

			onEvent({kind: 'disk-failed', operation: 'list', failure: listed.error});
			await clock.sleep(as<Milliseconds>(listRetryMs), options.signal);
		}

		return [];
	}

	async function readContent(file: DiskFile, bytes: number): Promise<Content> {
		const length = Math.min(bytes, maximumSegmentBytes);
		if (buffer.length < length) {
			buffer = new Uint8Array(length);
		}

		const content = await file.read(0, length, buffer);
		return content.match<Content>(value => ({bytes: value, failure: undefined}), failure => ({bytes: new Uint8Array(), failure}));
	}

	/** Returns whether the record was understood and its turn taken. */
	function takeFrame(frame: Frame, segment: Segment, scan: SegmentScan): boolean {
		switch (frame.type) {
			case recordType.turn: {
				const record = decodeTurn(frame.bytes);
				if (!record || index.isFull()) {
					return false;
				}

				const expiresAt = options.expiryOf(record.retention);
				segment.expiresAt = as<Milliseconds>(Math.max(segment.expiresAt, expiresAt));
				index.put(record.turn, {
					segment,
					position: frame.position,
					length: frame.bytes.length,
					checksum: frame.checksum,
					extent: extentOf(record.content),
					expiresAt,
					isSynced: frame.position + frame.bytes.length <= scan.syncedLength,
					used: usedPartOf(record),
				});
				return true;
			}

			case recordType.segmentStart: {
				const start = decodeSegmentStart(frame.bytes);
				for (const [number, length] of start?.lengths ?? []) {
					sealedLengths.set(number, Math.max(length, sealedLengths.get(number) ?? 0));
				}

				newestStart ??= start;
				return start !== undefined;
			}

			default: {
				// Written by a later version; it holds no turn.
				return true;
			}
		}
	}

	function reasonOf({failure}: Content, scan: SegmentScan, droppedRecords: number): string | undefined {
		if (failure) {
			return `the file could not be read: ${failure.reason}`;
		}

		if (scan.hasLoss) {
			return `records are damaged or missing from byte ${scan.intactLength} on`;
		}

		if (scan.damagedBytes > 0) {
			return `a write was interrupted at byte ${scan.intactLength}`;
		}

		return droppedRecords > 0 ? 'the records cannot be decoded, or the index is full' : undefined;
	}

	async function recoverSegment({name, bytes}: ListedFile, number: number): Promise<Segment> {
		const opened = await disk.open(path.join(directory, name));
		const file = opened.match(value => value, failure => unreadableFile(failure));
		const content = await readContent(file, bytes);
		const scan = scanSegment(content.bytes, saltOf(name), sealedLengths.get(number) ?? 0);
		const segment: Segment = {
			number, name, file, length: scan.syncedLength, bytes, expiresAt: options.expiryOf(as<Milliseconds>(0)), turns: [],
		};
		const droppedRecords = scan.frames.filter(frame => !takeFrame(frame, segment, scan)).length;
		const hasLossHere = content.failure !== undefined || scan.hasLoss || droppedRecords > 0;
		hasLoss ||= hasLossHere;
		onEvent({
			kind: 'segment-recovered', segment: name, bytes, turns: segment.turns.length, droppedBytes: content.failure ? bytes : scan.damagedBytes, droppedRecords,
			reason: reasonOf(content, scan, droppedRecords), hasLoss: hasLossHere,
		});
		return segment;
	}

	const files = await listFiles();
	const numbered = files.flatMap(file => {
		const number = segmentNumberOf(file.name);
		return number === undefined ? [] : [{file, number}];
	}).toSorted((left, right) => right.number - left.number);
	for (const {file, number} of numbered) {
		segments.unshift(await recoverSegment(file, number));
	}

	const isNewDisk = newestStart === undefined && !options.isFirstStart;
	const hasLossOfTurns = hasLoss || isNewDisk || (newestStart?.isIncomplete ?? false);
	return {segments, hasLoss: hasLossOfTurns, hasLossOfUsed: hasLossOfTurns || (newestStart?.isUsedIncomplete ?? false)};
}
