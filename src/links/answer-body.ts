/**
Bodies that are kept until they are whole, within a bound.
*/
import {Buffer} from 'node:buffer';

/** Largest body that is kept, in bytes; an instance with 186 MB bears some thirty of them at a time. */
export const largestBodyBytes = 2 * 1024 * 1024;

export type AnswerBody = {
	/** Returns whether the body may go on. */
	readonly push: (chunk: Uint8Array) => boolean;
	readonly whole: () => Uint8Array;
};

/** Creates an empty body. */
export function createAnswerBody(limit: number = largestBodyBytes): AnswerBody {
	const chunks: Uint8Array[] = [];
	let size = 0;
	return {
		push(chunk) {
			size += chunk.length;
			if (size > limit) {
				return false;
			}

			chunks.push(Buffer.from(chunk));
			return true;
		},
		whole: () => Buffer.concat(chunks),
	};
}

/** Reads a body as text; undefined when it is longer than the limit, in which case the rest is not read. */
export async function readBounded(stream: AsyncIterable<unknown>, limit: number = largestBodyBytes): Promise<string | undefined> {
	const body = createAnswerBody(limit);
	for await (const chunk of stream) {
		if (!(chunk instanceof Uint8Array) || !body.push(chunk)) {
			// Leaving the loop destroys the stream and with it the connection.
			return undefined;
		}
	}

	return Buffer.from(body.whole()).toString('utf8');
}
