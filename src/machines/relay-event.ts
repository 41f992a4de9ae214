/**
Events of a relayed request, for logs and metrics.
*/
import {type EndpointPath} from '../contracts/endpoint-path.js';
import {
	type AttemptId, type ConfigurationGeneration, type EndpointId, type Milliseconds, type SoftwareVersion,
} from '../contracts/id.js';
import {type RateLimit} from '../contracts/rate-limit.js';
import {type RelayResult} from '../contracts/relay-attempt.js';
import {type Refusal, type RelayRequest} from '../contracts/relay-request.js';
import {type WorkspaceName} from '../contracts/workspace.js';
import {type Crash} from './quarantine.js';

/** The result of an attempt, and the data by which its endpoint was chosen. */
export type AttemptOutcome = {
	readonly endpoint: EndpointId;
	readonly path: EndpointPath;
	readonly version: SoftwareVersion;
	/** Id of the event after which the attempt resumed the stream; undefined for a request from its start. */
	readonly resumeAfter: number | undefined;
	readonly result: RelayResult;
	/** Number of requests known to be at the endpoint when it was chosen. */
	readonly load: number;
	/** Expected latency by which the endpoint was chosen; undefined if the request was pinned to it. */
	readonly expected: Milliseconds | undefined;
	/** Rate limit of the endpoint that was known when it was chosen. */
	readonly rateLimit: RateLimit;
	readonly generation: ConfigurationGeneration;
	readonly took: Milliseconds;
};

export type RelayEvent
	= | {readonly kind: 'attempted'; readonly request: RelayRequest; readonly attempt: AttemptOutcome}
		| {readonly kind: 'served'; readonly request: RelayRequest; readonly attempts: number; readonly elapsed: Milliseconds}
		| {
			readonly kind: 'refused'; readonly request: RelayRequest; readonly workspace: WorkspaceName | undefined; readonly refusal: Refusal;
			readonly attempts: number; readonly elapsed: Milliseconds;
		}
		| {readonly kind: 'cancelled'; readonly request: RelayRequest; readonly attempts: number; readonly elapsed: Milliseconds}
	/** Whether a request of a workspace may go to an endpoint. */
		| {readonly kind: 'permitted'; readonly workspace: WorkspaceName; readonly isPermitted: boolean}
	/** An endpoint said in a response that it leaves. */
		| {readonly kind: 'leaving'; readonly request: RelayRequest; readonly endpoint: EndpointId}
		| {readonly kind: 'rate-limit'; readonly request: RelayRequest; readonly endpoint: EndpointId; readonly limit: RateLimit}
		| {readonly kind: 'rate-limit-unreadable'; readonly request: RelayRequest; readonly endpoint: EndpointId; readonly text: string}
	/** The request was not sent to an endpoint, because its rate limit leaves no permit. */
		| {readonly kind: 'no-permit'; readonly request: RelayRequest; readonly endpoint: EndpointId; readonly wait: Milliseconds}
		| {readonly kind: 'crash-suspected'; readonly attempt: AttemptId; readonly crash: Crash};
