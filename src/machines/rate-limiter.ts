/**
Rate limiter of one endpoint: a bucket of permits that refills at the endpoint's rate. Less urgent requests leave a
reserve in it, so that under overload the permits go to the most urgent requests. It starts empty, because
the permits that a predecessor has granted are not known.
*/
import {as, type Milliseconds} from '../contracts/id.js';
import {type RequestsPerSecond} from '../contracts/rate-limit.js';

/** Lower bound of the refill rate: only a response tells that a limit of zero has ended. */
const minimumRate = 0.2;

export type PermitQuery = {
	readonly rate: RequestsPerSecond;
	/** Maximum number of permits that accumulate while none are taken. */
	readonly capacity: number;
	/** Number of permits that have to remain in the bucket. */
	readonly reserve: number;
	readonly now: Milliseconds;
};

export type RateLimiter = {
	/** Takes a permit. Returns zero if there was one, otherwise the time until there will be one if none is taken meanwhile. */
	readonly take: (query: PermitQuery) => Milliseconds;
};

/** Creates an empty bucket. */
export function createRateLimiter(createdAt: Milliseconds): RateLimiter {
	let permits = 0;
	let refilledAt = createdAt;

	return {
		take({rate, capacity, reserve, now}) {
			const perMs = Math.max(rate, minimumRate) / 1000;
			permits = Math.min(capacity, permits + ((now - refilledAt) * perMs));
			refilledAt = now;
			const missing = Math.min(capacity, 1 + reserve) - permits;
			if (missing > 0) {
				return as<Milliseconds>(Math.ceil(missing / perMs));
			}

			permits--;
			return as<Milliseconds>(0);
		},
	};
}
