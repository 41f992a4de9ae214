/**
Segments: the files in which the store appends records. A segment is dropped as a whole once its newest record has expired.
The first record of each tells how much of the earlier ones had been synced, so that a start can tell a loss from the
remains of an interrupted write.
*/
import {Buffer} from 'node:buffer';
import {crc32} from 'node:zlib';
import {type DiskFile} from '../../contracts/disk.js';
import {type AttemptId, type Milliseconds} from '../../contracts/id.js';
import {maximumTurnBytes} from './turn-encoding.js';

/** Size after which a new segment is begun: some seconds of turns, so that expired ones are dropped soon. */
export const defaultSegmentBytes = 4 * 1024 * 1024;

/** No segment is larger: one batch may go beyond the size, and a record of maximum size has a segment of its own. */
export const maximumSegmentBytes = defaultSegmentBytes + maximumTurnBytes;

export type Segment = {
	readonly number: number;
	readonly name: string;
	readonly file: DiskFile;
	/** Number of bytes that are synced; the next batch is written there. */
	length: number;
	/** Number of bytes that the file takes on the disk, with those of failed writes. */
	bytes: number;
	/** When the newest record of the segment expires. */
	expiresAt: Milliseconds;
	/** Turns of the records, with repetitions. */
	readonly turns: AttemptId[];
};

const namePattern = /^(\d{10})-[a-z\d]+\.turns$/v;

/** Name of the file of a segment. `unique` cannot be guessed by callers. */
export function segmentName(number: number, unique: string): string {
	return `${String(number).padStart(10, '0')}-${unique}.turns`;
}

/** Number of the segment that a file holds; undefined if it is no segment. */
export function segmentNumberOf(name: string): number | undefined {
	const digits = namePattern.exec(name)?.[1];
	return digits === undefined ? undefined : Number(digits);
}

/** Salt of the checksums in a segment. */
export function saltOf(name: string): number {
	return crc32(name);
}

/** First record of a segment. */
export type SegmentStart = {
	/** Whether turns that were acknowledged earlier may have been lost when the segment was begun. */
	readonly isIncomplete: boolean;
	/** The same for records of used tokens, whose retention is longer. */
	readonly isUsedIncomplete: boolean;
	/** Earlier segments by number, with the number of bytes that had been synced. */
	readonly lengths: ReadonlyMap<number, number>;
};

const incompleteFlag = 1;
const usedIncompleteFlag = 2;

export function encodeSegmentStart({isIncomplete, isUsedIncomplete, lengths}: SegmentStart): Uint8Array {
	const bytes = Buffer.alloc(1 + (lengths.size * 8));
	let at = bytes.writeUInt8((isIncomplete ? incompleteFlag : 0) + (isUsedIncomplete ? usedIncompleteFlag : 0), 0);
	for (const [number, length] of lengths) {
		at = bytes.writeUInt32LE(number, at);
		at = bytes.writeUInt32LE(length, at);
	}

	return bytes;
}

/** Decodes a segment's first record; undefined if the bytes are none. */
export function decodeSegmentStart(content: Uint8Array): SegmentStart | undefined {
	if (content.length % 8 !== 1) {
		return undefined;
	}

	const bytes = Buffer.from(content.buffer, content.byteOffset, content.length);
	const lengths = new Map<number, number>();
	for (let at = 1; at < bytes.length; at += 8) {
		lengths.set(bytes.readUInt32LE(at), bytes.readUInt32LE(at + 4));
	}

	const flags = bytes.readUInt8(0);
	// eslint-disable-next-line no-bitwise -- Flags.
	return {isIncomplete: (flags & incompleteFlag) !== 0, isUsedIncomplete: (flags & usedIncompleteFlag) !== 0, lengths};
}
