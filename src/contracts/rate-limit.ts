/**
Rate limits that endpoints state in their responses: the number of requests per second that an endpoint accepts from
all instances together, until it sends a response that states no limit.
*/
import {type Brand, type Milliseconds} from './id.js';

export type RequestsPerSecond = Brand<number, 'RequestsPerSecond'>;

export type RateLimit
	= | {readonly kind: 'none'}
		| {readonly kind: 'limited'; readonly rate: RequestsPerSecond};

export const noRateLimit: RateLimit = {kind: 'none'};

/** A rate limit with the time of the response that stated it. */
export type RateLimitStatement = {readonly limit: RateLimit; readonly at: Milliseconds};

/** Whether two limits are the same. */
export function isSameRateLimit(left: RateLimit, right: RateLimit): boolean {
	switch (left.kind) {
		case 'none': {
			return right.kind === 'none';
		}

		case 'limited': {
			return right.kind === 'limited' && right.rate === left.rate;
		}
	}
}
