/**
Buffers request and response bodies up to a maximum size.
*/
import {Buffer} from 'node:buffer';
import {createByteBuffer} from './byte-buffer.js';

/** Maximum size of a buffered response body. */
export const maximumBodyBytes = 2 * 1024 * 1024;

export type BoundedBody = {
	/** Returns whether the body is still within the limit. */
	readonly push: (chunk: Uint8Array) => boolean;
	/** Returns everything that was pushed so far. */
	readonly whole: () => Uint8Array;
	/** Memory that the body takes, in bytes. */
	readonly heldBytes: () => number;
};

/** Creates an empty body of at most `limit` bytes. */
export function createBoundedBody(limit: () => number): BoundedBody {
	const buffer = createByteBuffer();
	return {
		push(chunk) {
			if (buffer.size() + chunk.length > limit()) {
				return false;
			}

			buffer.append(chunk);
			return true;
		},
		whole: buffer.bytes,
		heldBytes: buffer.capacity,
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
