/**
Helpers shared by the HTTP clients: reading a JSON body, and detecting that a failed request was never sent.
*/
import {type Dispatcher} from 'undici';

/** Codes of the errors that undici raises before it sends the first byte of a request. */
const notSentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT']);

function codeOf(error: unknown): string | undefined {
	if (typeof error !== 'object' || error === null) {
		return undefined;
	}

	if ('code' in error && typeof error.code === 'string') {
		return error.code;
	}

	return 'cause' in error ? codeOf(error.cause) : undefined;
}

/** Whether the error proves that no byte of the request was sent. */
export function isNotSent(error: unknown): boolean {
	const code = codeOf(error);
	return code !== undefined && notSentCodes.has(code);
}

/** Reads a JSON body. Rejects if the body is not valid JSON. */
export async function readJson(response: Dispatcher.ResponseData): Promise<unknown> {
	return response.body.json();
}
