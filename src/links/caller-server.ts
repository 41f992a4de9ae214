/**
Server for callers of the product's own interface: bounds what they hold, and keeps the body of each request for its handler.
*/
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type ClientLimits} from '../contracts/client-limits.js';
import {type Failure, failure} from '../contracts/failure.js';
import {as, type Milliseconds} from '../contracts/id.js';
import {type CallerLimits} from '../contracts/relay.js';
import {type ClientProblem} from '../machines/client-problem.js';
import {defaultCallTimeoutMs, headerOf} from './caller-request.js';
import {createGuardedServer, type EarlyRefusal, type GuardedServer} from './guarded-server.js';
import {sendFailure} from './reply.js';
import {maximumRequestBytes} from './request-body.js';

/** Bounds of a request. */
const bounds: CallerLimits = {
	headerBytes: 16_384, bodyBytes: maximumRequestBytes, headerTimeout: as<Milliseconds>(10_000), idleTimeout: as<Milliseconds>(5000),
};

/** Time after which a caller may send a request again that was refused because callers hold too much. */
const overloadRetryAfter = as<Milliseconds>(1000);

export type CallerServerParts = {
	readonly limits: ClientLimits;
	readonly handle: (request: IncomingMessage, response: ServerResponse) => void;
	readonly onProblem: (problem: ClientProblem) => void;
};

export type GuardedCallerServer = GuardedServer & {
	/** Returns the body of a request that is handled. */
	readonly bodyOf: (request: IncomingMessage) => Uint8Array;
};

function failureOf(refusal: EarlyRefusal): Failure {
	switch (refusal) {
		case 'too-large': {
			return failure('too-large', `The request body exceeds ${maximumRequestBytes} bytes`, {step: 'validate', peer: 'caller'});
		}

		case 'overloaded': {
			return failure('overloaded', 'Callers send more than this instance can hold', {step: 'admit', peer: 'caller', retryAfter: overloadRetryAfter});
		}
	}
}

/** Creates the server, which does not listen yet. */
export function createCallerServer({limits, handle, onProblem}: CallerServerParts): GuardedCallerServer {
	const bodies = new WeakMap<IncomingMessage, Uint8Array>();
	const guarded = createGuardedServer({
		limits,
		bounds: () => bounds,
		timeOf(request) {
			const stated = Number(headerOf(request, 'hickoryfork-timeout-ms'));
			return as<Milliseconds>(stated > 0 ? stated : defaultCallTimeoutMs);
		},
		serve(request, response, {body}) {
			bodies.set(request, body);
			handle(request, response);
		},
		refuse(response, refusal) {
			sendFailure(response, failureOf(refusal));
		},
		onProblem,
	});
	return {...guarded, bodyOf: request => bodies.get(request) ?? new Uint8Array()};
}
