/**
Helpers shared by the HTTP clients: reading a JSON body, and what the error of a failed request tells about it.
*/
import {type Dispatcher} from 'undici';

const firstStatus = 100;
const lastStatus = 599;

/** Codes of the errors that undici raises before it sends the first byte of a request. */
const notSentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT']);

/** Codes of the errors by which undici reports that the response did not arrive in time. */
const timeoutCodes = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT', 'ETIMEDOUT']);

function codeOf(error: unknown): string | undefined {
	if (typeof error !== 'object' || error === null) {
		return undefined;
	}

	if ('code' in error && typeof error.code === 'string') {
		return error.code;
	}

	return 'cause' in error ? codeOf(error.cause) : undefined;
}

/** Whether HTTP defines the class of a status. A response with any other is malformed. */
export function isStatus(status: number): boolean {
	return status >= firstStatus && status <= lastStatus;
}

/** Whether the error proves that no byte of the request was sent. */
export function isNotSent(error: unknown): boolean {
	const code = codeOf(error);
	return code !== undefined && notSentCodes.has(code);
}

/** Whether a request failed because its timeout elapsed, including that of `AbortSignal.timeout`. */
export function isTimeout(error: unknown): boolean {
	const code = codeOf(error);
	return (code !== undefined && timeoutCodes.has(code)) || (error instanceof Error && error.name === 'TimeoutError');
}

/** Reads a JSON body. Rejects if the body is not valid JSON. */
export async function readJson(response: Dispatcher.ResponseData): Promise<unknown> {
	return response.body.json();
}
