/**
Buffers request and response bodies up to a maximum size.
*/
import {Buffer} from 'node:buffer';

/** Maximum size of a buffered response body. */
export const maximumBodyBytes = 2 * 1024 * 1024;

/** Size of a buffer for the first chunk of a body; it doubles as the body grows. */
const initialBytes = 4096;

export type BoundedBody = {
	/** Returns whether the body is still within the limit. */
	readonly push: (chunk: Uint8Array) => boolean;
	/** Returns everything that was pushed so far. */
	readonly whole: () => Uint8Array;
	/** Memory that the body takes, in bytes. */
	readonly heldBytes: () => number;
};

/**
Creates an empty body of at most `limit` bytes. It is copied into one buffer: an endpoint decides how small its chunks are,
and each chunk that is kept takes far more memory than its bytes.
*/
export function createBoundedBody(limit: () => number): BoundedBody {
	let buffer = Buffer.alloc(0);
	let size = 0;
	return {
		push(chunk) {
			const end = size + chunk.length;
			if (end > limit()) {
				return false;
			}

			if (end > buffer.length) {
				const grown = Buffer.alloc(Math.max(end, 2 * buffer.length, initialBytes));
				buffer.copy(grown, 0, 0, size);
				buffer = grown;
			}

			buffer.set(chunk, size);
			size = end;
			return true;
		},
		whole: () => buffer.subarray(0, size),
		heldBytes: () => buffer.length,
	};
}

/** Reads a body; undefined if it is longer than the limit, in bytes. Rejects if the connection breaks. */
export async function readBoundedBytes(stream: AsyncIterable<unknown>, limit: () => number): Promise<Uint8Array | undefined> {
	const body = createBoundedBody(limit);
	for await (const chunk of stream) {
		if (!body.push(Buffer.isBuffer(chunk) ? chunk : Buffer.from(String(chunk)))) {
			// Leaving the loop destroys the stream, so that the rest is not read.
			return undefined;
		}
	}

	return body.whole();
}

/** Like `readBoundedBytes`, decoded as UTF-8. */
export async function readBoundedText(stream: AsyncIterable<unknown>, limit: () => number): Promise<string | undefined> {
	const body = await readBoundedBytes(stream, limit);
	return body && Buffer.from(body).toString('utf8');
}
