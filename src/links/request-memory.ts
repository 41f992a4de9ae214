/**
Memory that a request takes beside its body, as measured with many requests at once.
*/
import {type IncomingMessage} from 'node:http';

/** Objects of a request and its response, and the connection to an endpoint. */
export const requestOverheadBytes = 40 * 1024;

/** A header beside its name and value. */
const headerOverheadBytes = 96;

/** Memory of a request without its body, in bytes. */
export function memoryWithoutBody({rawHeaders, url}: IncomingMessage): number {
	let bytes = requestOverheadBytes + (url?.length ?? 0) + (rawHeaders.length / 2 * headerOverheadBytes);
	for (const text of rawHeaders) {
		bytes += text.length;
	}

	return bytes;
}
