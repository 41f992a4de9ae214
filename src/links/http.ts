/**
Shared parts of the HTTP clients: what a transport error says about whether a request was sent.
*/
import {type Dispatcher} from 'undici';

/** Errors that undici raises before the first byte of a request has left. */
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

/** Whether it is certain that no byte of the request left this process. */
export function isNotSent(error: unknown): boolean {
	const code = codeOf(error);
	return code !== undefined && notSentCodes.has(code);
}

/** Reads a whole JSON body. Rejects when it is not JSON. */
export async function readJson(response: Dispatcher.ResponseData): Promise<unknown> {
	return response.body.json();
}
