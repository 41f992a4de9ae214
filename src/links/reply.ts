/**
Replies to callers: JSON bodies, structured errors and server-sent events.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {type Failure, type FailureCode} from '../contracts/failure.js';
import {type Outcome} from '../contracts/outcome.js';

const statuses: Readonly<Record<FailureCode, number>> = {
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

/** Writes a JSON body. */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
	const text = JSON.stringify(body);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	response.end(text);
}

/** The error body that callers see. */
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

/** Writes a failure with the status of its code, and `Retry-After` in seconds where one is known. */
export function sendFailure(response: ServerResponse, failure: Failure): void {
	response.setHeader('hickoryfork-outcome', failure.execution);
	if (failure.retryAfter !== undefined) {
		response.setHeader('retry-after', Math.ceil(failure.retryAfter / 1000));
	}

	sendJson(response, statuses[failure.code], errorBody(failure));
}

/** Writes the outcome of a service call: the service's own answer, or a failure. */
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
	/** Resolves when the caller can take more. */
	readonly send: (event: {readonly id?: string; readonly name?: string; readonly data: string}) => Promise<void>;
	readonly end: () => void;
};

/** Starts a stream of server-sent events. The signal aborts when the caller goes away. */
export function openEventStream(response: ServerResponse, signal: AbortSignal): EventStream {
	response.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store'});
	return {
		async send({id, name, data}) {
			const lines = [...(id === undefined ? [] : [`id: ${id}`]), ...(name === undefined ? [] : [`event: ${name}`]), `data: ${data}`];
			if (!response.write(`${lines.join('\n')}\n\n`) && !signal.aborted) {
				// Waiting here stops the reader of the transcript, not the engine.
				await once(response, 'drain', {signal}).catch(() => undefined);
			}
		},
		end() {
			response.end();
		},
	};
}
