/**
Permits as used by the relay: before a request is sent to an endpoint with a rate limit, it needs a permit.
*/
import {type EndpointId, type Milliseconds} from '../contracts/id.js';
import {type RateLimitStatement} from '../contracts/rate-limit.js';
import {type ListedEndpoint} from '../contracts/relay.js';

export type Permit
	= | {readonly kind: 'granted'}
		| {readonly kind: 'denied'; readonly wait: Milliseconds};

export type RatePermits = {
	/** Time until a request of this rank may ask for a permit for the endpoint again; zero if it may now. */
	readonly wait: (endpoint: EndpointId, rank: number) => Milliseconds;
	/** Takes a permit for one request to an endpoint, under the rate limit that the endpoint stated last. */
	readonly acquire: (endpoint: ListedEndpoint, statement: RateLimitStatement, rank: number) => Promise<Permit>;
};
