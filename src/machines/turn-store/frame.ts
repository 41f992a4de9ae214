/**
Frames, in which records lie one after the other in a segment file: a head with type, length and checksums, then the record.
The checksum of a head begins with the salt of its segment, so that no content that callers send can look like a frame.
*/
import {Buffer} from 'node:buffer';
import {crc32} from 'node:zlib';

/** Size of a head: mark, type, record length, start of the batch, checksum of the record, checksum of the head. */
export const frameHeadBytes = 24;

/** First bytes of each frame. */
const mark = Buffer.from('HkTs');
const typeAt = 4;
const lengthAt = 8;
const batchStartAt = 12;
const checksumAt = 16;
const headChecksumAt = 20;

/** Types of records. Readers skip types that they do not know. */
export const recordType = {turn: 1, segmentStart: 2} as const;

export type FrameRecord = {readonly type: number; readonly bytes: Uint8Array; readonly checksum: number};

export type Frame = FrameRecord & {
	/** Position of the record's first byte in the file. */
	readonly position: number;
	/** Position at which the batch of the frame starts; everything before was synced when the batch was written. */
	readonly batchStart: number;
};

/** Creates a record with its checksum. */
export function createRecord(type: number, bytes: Uint8Array): FrameRecord {
	return {type, bytes, checksum: crc32(bytes)};
}

/** Whether the bytes of a record are those that its checksum was made of. */
export function isIntact(bytes: Uint8Array, checksum: number): boolean {
	return crc32(bytes) === checksum;
}

/** Number of bytes that a record of a length takes in a segment. */
export function framedBytes(length: number): number {
	return frameHeadBytes + length;
}

export type Batch = {
	readonly parts: readonly Uint8Array[];
	/** Positions of the records, in their order. */
	readonly positions: readonly number[];
	readonly end: number;
};

/** Lays out records as one batch that is written at a position of a segment. */
export function layOutBatch(records: readonly FrameRecord[], start: number, salt: number): Batch {
	const heads = Buffer.alloc(records.length * frameHeadBytes);
	const parts: Uint8Array[] = [];
	const positions: number[] = [];
	let end = start;
	for (const [index, record] of records.entries()) {
		const head = heads.subarray(index * frameHeadBytes, (index + 1) * frameHeadBytes);
		mark.copy(head);
		head.writeUInt8(record.type, typeAt);
		head.writeUInt32LE(record.bytes.length, lengthAt);
		head.writeUInt32LE(start, batchStartAt);
		head.writeUInt32LE(record.checksum, checksumAt);
		head.writeUInt32LE(crc32(head.subarray(0, headChecksumAt), salt), headChecksumAt);
		parts.push(head, record.bytes);
		positions.push(end + frameHeadBytes);
		end += framedBytes(record.bytes.length);
	}

	return {parts, positions, end};
}

/** Reads the frame at a position; undefined if there is none, or a damaged one. */
export function readFrame(segment: Uint8Array, at: number, salt: number): Frame | undefined {
	const head = segment.subarray(at, at + frameHeadBytes);
	if (head.length < frameHeadBytes || mark.compare(head, 0, mark.length) !== 0) {
		return undefined;
	}

	const view = new DataView(head.buffer, head.byteOffset, head.length);
	if (crc32(head.subarray(0, headChecksumAt), salt) !== view.getUint32(headChecksumAt, true)) {
		return undefined;
	}

	const position = at + frameHeadBytes;
	const length = view.getUint32(lengthAt, true);
	const checksum = view.getUint32(checksumAt, true);
	const bytes = segment.subarray(position, position + length);
	return bytes.length === length && isIntact(bytes, checksum)
		? {
			type: view.getUint8(typeAt), bytes, checksum, position, batchStart: view.getUint32(batchStartAt, true),
		}
		: undefined;
}

/** Position of the next intact frame at or after a position; undefined if there is none. */
export function findFrame(segment: Uint8Array, from: number, salt: number): number | undefined {
	const bytes = Buffer.from(segment.buffer, segment.byteOffset, segment.length);
	for (let at = bytes.indexOf(mark, from); at !== -1; at = bytes.indexOf(mark, at + 1)) {
		if (readFrame(segment, at, salt)) {
			return at;
		}
	}

	return undefined;
}
