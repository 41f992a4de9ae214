/**
Link to services over HTTP. Requests carry the idempotency key of the call. A request that is not repeatable has a
connection of its own: if a service closed a shared connection while it was idle, or repeated a response on it, it
would be unknown whether the request ran.
*/
import {type Agent} from 'undici';
import {type Attempt, type AttemptResult, type DispatchOptions} from '../contracts/attempt.js';
import {type Request} from '../contracts/call.js';
import {failure} from '../contracts/failure.js';
import {type Endpoint} from '../contracts/pool.js';
import {readBoundedText} from './bounded-body.js';
import {
	type ConnectionUse, passNotices, transportErrorResult, unansweredResult,
} from './engine.js';
import {withinTimeLimit} from './time-limit.js';

/** Maximum size of the response body of a service. */
export const maximumServiceBodyBytes = 256 * 1024;

type ServiceRequest = Extract<Request, {kind: 'service'}>;

export type ServiceLink = {
	readonly send: (endpoint: Endpoint, attempt: Attempt, options: DispatchOptions) => Promise<AttemptResult>;
};

/** Agents by the use of their connections. */
export type ServiceAgents = Readonly<Record<ConnectionUse, Agent>>;

/** Creates the service link. */
export function createServiceLink(agents: ServiceAgents): ServiceLink {
	async function exchange(endpoint: Endpoint, attempt: Attempt, request: ServiceRequest, options: DispatchOptions): Promise<AttemptResult> {
		const use: ConnectionUse = attempt.isRepeatable ? 'shared' : 'own';
		const response = await agents[use].request({
			origin: `http://${endpoint.address}`,
			path: request.path,
			method: request.method,
			headers: {
				'content-type': 'application/json', 'idempotency-key': attempt.key, 'x-attempt': attempt.id, 'x-program': attempt.program,
			},
			...(request.method !== 'GET' && {body: request.body}),
			headersTimeout: options.timeout,
			bodyTimeout: options.timeout,
			signal: options.signal,
		});
		const unanswered = await unansweredResult(response, {endpoint, attempt: attempt.id, use});
		if (unanswered) {
			return unanswered;
		}

		passNotices(response, options);

		const body = await readBoundedText(response.body, () => maximumServiceBodyBytes);
		if (body === undefined) {
			return {
				kind: 'rejected',
				failure: failure('too-large', `The response of ${endpoint.id} exceeds ${maximumServiceBodyBytes} bytes`, {step: 'stream', peer: endpoint.id, execution: 'failed'}),
			};
		}

		return {kind: 'answered', answer: {kind: 'response', status: response.statusCode, body}};
	}

	async function send(endpoint: Endpoint, attempt: Attempt, options: DispatchOptions): Promise<AttemptResult> {
		const {request} = attempt;
		if (request.kind !== 'service') {
			throw new TypeError('The service link accepts only service requests');
		}

		try {
			return await withinTimeLimit(options.timeout, options.signal, async signal => exchange(endpoint, attempt, request, {...options, signal}));
		} catch (error) {
			return transportErrorResult(error, endpoint, options);
		}
	}

	return {send};
}
