/**
Link to plain services: HTTP with the idempotency key of the call. A request that may not be repeated
goes over a connection of its own, so that a connection closed while idle cannot leave it in doubt.
*/
import {type Agent} from 'undici';
import {type Attempt, type AttemptResult, type DispatchOptions} from '../contracts/attempt.js';
import {failure} from '../contracts/failure.js';
import {type Endpoint} from '../contracts/pool.js';
import {readBoundedText} from './bounded-body.js';
import {
	transportErrorResult, isNotAccepted, attemptSignal, notAcceptedResult,
} from './engine.js';

/** Upper bound of a service's answer. */
export const maximumServiceBodyBytes = 256 * 1024;

export type ServiceLink = {
	readonly send: (endpoint: Endpoint, attempt: Attempt, options: DispatchOptions) => Promise<AttemptResult>;
};

/** Creates the service link over a connection agent. */
export function createServiceLink(agent: Agent): ServiceLink {
	async function send(endpoint: Endpoint, attempt: Attempt, options: DispatchOptions): Promise<AttemptResult> {
		const {request} = attempt;
		if (request.kind !== 'service') {
			throw new TypeError('A service takes service requests only');
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
					failure: failure('too-large', `${endpoint.id} answered with more than ${maximumServiceBodyBytes} bytes`, {step: 'stream', peer: endpoint.id, execution: 'failed'}),
				};
			}

			return {kind: 'answered', answer: {kind: 'response', status: response.statusCode, body}};
		} catch (error) {
			return transportErrorResult(error, endpoint, options);
		}
	}

	return {send};
}
