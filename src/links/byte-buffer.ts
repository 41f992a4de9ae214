/**
A buffer that grows by doubling. Bytes that arrive in pieces are copied into it rather than kept as they are: whoever sends them
decides how small the pieces are, and each one that is kept takes far more memory than its bytes.
*/
import {Buffer} from 'node:buffer';

/** Capacity for the first bytes. */
const initialBytes = 4096;

/** Capacity above which an empty buffer is released. */
const retainedBytes = 64 * 1024;

export type ByteBuffer = {
	readonly append: (bytes: Uint8Array) => void;
	/** Removes bytes from the front and returns a copy of them. */
	readonly take: (count: number) => Uint8Array;
	/** Position of a text at or after `from`, or -1. */
	readonly indexOf: (text: string, from: number) => number;
	readonly size: () => number;
	/** View of the bytes, valid until the next change. */
	readonly bytes: () => Uint8Array;
	/** Memory that the buffer takes, in bytes. */
	readonly capacity: () => number;
};

/** Creates an empty buffer. */
export function createByteBuffer(): ByteBuffer {
	let buffer = Buffer.alloc(0);
	let size = 0;
	return {
		append(bytes) {
			const end = size + bytes.length;
			if (end > buffer.length) {
				const grown = Buffer.alloc(Math.max(end, 2 * buffer.length, initialBytes));
				buffer.copy(grown, 0, 0, size);
				buffer = grown;
			}

			buffer.set(bytes, size);
			size = end;
		},
		take(count) {
			const taken = new Uint8Array(buffer.subarray(0, count));
			buffer.copyWithin(0, count, size);
			size -= count;
			if (size === 0 && buffer.length > retainedBytes) {
				buffer = Buffer.alloc(0);
			}

			return taken;
		},
		indexOf: (text, from) => buffer.subarray(0, size).indexOf(text, from),
		size: () => size,
		bytes: () => buffer.subarray(0, size),
		capacity: () => buffer.length,
	};
}
