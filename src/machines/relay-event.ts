/**
Decisions of the relay about one request, for logs and metrics.
*/
import {type EndpointId, type Milliseconds} from '../contracts/id.js';
import {type RelayResult} from '../contracts/relay-attempt.js';
import {type Refusal, type RelayRequest} from '../contracts/relay-request.js';

export type RelayEvent
	/** An attempt ended; `load` counts the requests that were known at the endpoint. */
	= | {readonly kind: 'attempted'; readonly request: RelayRequest; readonly endpoint: EndpointId; readonly result: RelayResult; readonly load: number; readonly took: Milliseconds}
		| {readonly kind: 'served'; readonly request: RelayRequest; readonly attempts: number; readonly elapsed: Milliseconds}
		| {readonly kind: 'refused'; readonly request: RelayRequest; readonly refusal: Refusal; readonly attempts: number; readonly elapsed: Milliseconds}
		| {readonly kind: 'cancelled'; readonly request: RelayRequest; readonly attempts: number; readonly elapsed: Milliseconds}
		| {readonly kind: 'crash-suspected'; readonly request: RelayRequest; readonly endpoint: EndpointId; readonly fingerprint: string};
