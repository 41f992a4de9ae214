/**
HTTP responses of the servers for callers and operators: JSON bodies, structured errors and server-sent events.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {type Failure, type FailureCode} from '../contracts/failure.js';
import {type Outcome} from '../contracts/outcome.js';

const httpStatuses: Readonly<Record<FailureCode, number>> = {
	'invalid-request': 400,
	unauthenticated: 401,
	'budget-exhausted': 403,
	'not-found': 404,
	conflict: 409,
	'stream-lost': 409,
	'too-large': 413,
	quarantined: 422,
	'configuration-refused': 422,
	internal: 500,
	'endpoint-failed': 502,
	'outcome-unknown': 502,
	overloaded: 503,
	leaving: 503,
	'not-owner': 503,
	'no-endpoint': 503,
	'peer-unreachable': 503,
	'platform-unavailable': 503,
	'deadline-exceeded': 504,
	cancelled: 409,
};

/** Sends a response with a JSON body. */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
	const text = JSON.stringify(body);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	response.end(text);
}

/** Body of an error response. */
export function errorBody(failure: Failure) {
	return {
		error: {
			code: failure.code,
			message: failure.message,
			step: failure.step,
			peer: failure.peer,
			outcome: failure.execution,
			...(failure.retryAfter !== undefined && {retry_after_ms: failure.retryAfter}),
			log: failure.log,
		},
	};
}

/** Sends an error response with the status of the failure code, and `Retry-After` in seconds if the failure has one. */
export function sendFailure(response: ServerResponse, failure: Failure): void {
	response.setHeader('hickoryfork-outcome', failure.execution);
	if (failure.retryAfter !== undefined) {
		response.setHeader('retry-after', Math.ceil(failure.retryAfter / 1000));
	}

	sendJson(response, httpStatuses[failure.code], errorBody(failure));
}

/** Sends the outcome of a service call: the service's own response, or an error response. */
export function sendOutcome(response: ServerResponse, outcome: Outcome): void {
	if (outcome.kind !== 'completed') {
		sendFailure(response, outcome.failure);
		return;
	}

	response.setHeader('hickoryfork-outcome', 'completed');
	if (outcome.answer.kind === 'response') {
		response.writeHead(outcome.answer.status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(outcome.answer.body)});
		response.end(outcome.answer.body);
		return;
	}

	sendJson(response, 200, outcome.answer);
}

export type EventStream = {
	/** Resolves when the connection can accept more data. */
	readonly send: (event: {readonly id?: string; readonly name?: string; readonly data: string}) => Promise<void>;
	readonly end: () => void;
};

/** Starts a response of server-sent events. The signal aborts when the caller disconnects. */
export function openEventStream(response: ServerResponse, signal: AbortSignal): EventStream {
	response.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store'});
	return {
		async send({id, name, data}) {
			const lines = [...(id === undefined ? [] : [`id: ${id}`]), ...(name === undefined ? [] : [`event: ${name}`]), `data: ${data}`];
			if (!response.write(`${lines.join('\n')}\n\n`) && !signal.aborted) {
				// Backpressure: this pauses only the reader of the transcript; the engine keeps generating.
				await once(response, 'drain', {signal}).catch(() => undefined);
			}
		},
		end() {
			response.end();
		},
	};
}
