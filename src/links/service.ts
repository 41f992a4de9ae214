/**
Link to services over HTTP. Requests carry the idempotency key of the call. A request that is not
repeatable should not share a connection: if a service closed a reused connection while it was idle, it
would be unknown whether the request ran. `reset` only ensures that no later request uses the connection
of such a request, which may itself be sent over an idle one.
*/
import {type Agent} from 'undici';
import {type Attempt, type AttemptResult, type DispatchOptions} from '../contracts/attempt.js';
import {failure} from '../contracts/failure.js';
import {type Endpoint} from '../contracts/pool.js';
import {readBoundedText} from './bounded-body.js';
import {
	transportErrorResult, isNotAccepted, attemptSignal, notAcceptedResult,
} from './engine.js';

/** Maximum size of the response body of a service. */
export const maximumServiceBodyBytes = 256 * 1024;

export type ServiceLink = {
	readonly send: (endpoint: Endpoint, attempt: Attempt, options: DispatchOptions) => Promise<AttemptResult>;
};

/** Creates the service link over a connection agent. */
export function createServiceLink(agent: Agent): ServiceLink {
	async function send(endpoint: Endpoint, attempt: Attempt, options: DispatchOptions): Promise<AttemptResult> {
		const {request} = attempt;
		if (request.kind !== 'service') {
			throw new TypeError('The service link accepts only service requests');
		}

		try {
			const response = await agent.request({
				origin: `http://${endpoint.address}`,
				path: request.path,
				method: request.method,
				headers: {
					'content-type': 'application/json', 'idempotency-key': attempt.key, 'x-attempt': attempt.id, 'x-program': attempt.program,
				},
				...(request.method !== 'GET' && {body: request.body}),
				headersTimeout: options.timeout,
				bodyTimeout: options.timeout,
				signal: attemptSignal(options),
				reset: !attempt.isRepeatable,
			});
			if (isNotAccepted(response)) {
				return await notAcceptedResult(response, endpoint);
			}

			const body = await readBoundedText(response.body, () => maximumServiceBodyBytes);
			if (body === undefined) {
				return {
					kind: 'rejected',
					failure: failure('too-large', `The response of ${endpoint.id} exceeds ${maximumServiceBodyBytes} bytes`, {step: 'stream', peer: endpoint.id, execution: 'failed'}),
				};
			}

			return {kind: 'answered', answer: {kind: 'response', status: response.statusCode, body}};
		} catch (error) {
			return transportErrorResult(error, endpoint, options);
		}
	}

	return {send};
}
