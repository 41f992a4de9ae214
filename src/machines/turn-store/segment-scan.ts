/**
Reading of a segment that an earlier process wrote: which frames are intact, and whether what is missing had been synced. A
batch is written only after everything before it was synced, so damage before the start of an intact batch is a loss of
records that may have been acknowledged. Damage after it is the rest of a batch that a loss of power interrupted.
*/
import {
	findFrame, frameHeadBytes, readFrame, type Frame,
} from './frame.js';

export type SegmentScan = {
	readonly frames: readonly Frame[];
	/** Number of bytes that belong to no intact frame. */
	readonly damagedBytes: number;
	/** End of the frames that are intact without a gap from the start of the segment. */
	readonly intactLength: number;
	/** Number of bytes that had been synced for certain. */
	readonly syncedLength: number;
	/** Whether some of these bytes are missing or damaged. */
	readonly hasLoss: boolean;
};

/** Reads all frames. `sealedLength` is the number of bytes that a later segment recorded as synced. */
export function scanSegment(segment: Uint8Array, salt: number, sealedLength: number): SegmentScan {
	const frames: Frame[] = [];
	let damagedBytes = 0;
	let intactLength: number | undefined;
	let syncedLength = sealedLength;
	let at = 0;
	while (at < segment.length) {
		const frame = readFrame(segment, at, salt);
		if (frame) {
			frames.push(frame);
			syncedLength = Math.max(syncedLength, frame.batchStart);
			at += frameHeadBytes + frame.bytes.length;
			continue;
		}

		intactLength ??= at;
		const next = findFrame(segment, at + 1, salt) ?? segment.length;
		damagedBytes += next - at;
		at = next;
	}

	intactLength ??= segment.length;
	return {
		frames, damagedBytes, intactLength, syncedLength, hasLoss: intactLength < syncedLength,
	};
}
