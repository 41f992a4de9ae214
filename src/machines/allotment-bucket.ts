/**
Bucket of permits that refills at a rate up to a capacity. A permit may be taken before it is there, to be used after the
time that the bucket needs for it: requests that can wait then queue in the bucket, first come first served, without asking
again. Unlike the rate limiter of an endpoint, its level can be handed to another bucket, and it has no minimum rate.
*/
import {type LimitedAllotment} from '../contracts/allotment.js';
import {as, type Milliseconds} from '../contracts/id.js';
import {type RequestsPerSecond} from '../contracts/rate-limit.js';

export type BucketLimit = {readonly rate: RequestsPerSecond; readonly capacity: number};

export type AllotmentBucket = {
	/** Number of permits now; negative while taken permits may not yet be used. */
	readonly level: (limit: BucketLimit, now: Milliseconds) => number;
	/** Takes a permit. Returns the time after which it may be used; undefined, with nothing taken, if that is longer than `patience`. */
	readonly take: (limit: BucketLimit, patience: number, now: Milliseconds) => Milliseconds | undefined;
	/** Time until there is a permit that nobody waits for. */
	readonly wait: (limit: BucketLimit, now: Milliseconds) => Milliseconds;
	/** Returns permits that were not used. */
	readonly giveBack: (count: number) => void;
	/** Lowers the level to a maximum. */
	readonly restrict: (limit: BucketLimit, maximum: number, now: Milliseconds) => void;
};

/** Limit of the bucket that grants a whole allotment. One permit has to fit into it whatever the burst. */
export function bucketLimitOf({rate, burst}: LimitedAllotment): BucketLimit {
	return {rate, capacity: Math.max(1, burst)};
}

/** Creates a bucket with a level at a time; the limit of its first use bounds it. */
export function createAllotmentBucket(initialLevel: number, createdAt: Milliseconds): AllotmentBucket {
	let level = initialLevel;
	let refilledAt = createdAt;
	let current: BucketLimit | undefined;

	function refill(limit: BucketLimit, now: Milliseconds): void {
		const previous = current ?? limit;
		level = Math.min(limit.capacity, previous.capacity, level + ((now - refilledAt) * previous.rate / 1000));
		refilledAt = now;
		current = limit;
	}

	function wait({rate}: BucketLimit): Milliseconds {
		return as<Milliseconds>(level >= 1 ? 0 : Math.ceil((1 - level) * 1000 / rate));
	}

	return {
		level(limit, now) {
			refill(limit, now);
			return level;
		},
		take(limit, patience, now) {
			refill(limit, now);
			const delay = wait(limit);
			if (delay > patience) {
				return undefined;
			}

			level--;
			return delay;
		},
		wait(limit, now) {
			refill(limit, now);
			return wait(limit);
		},
		giveBack(count) {
			level = Math.min(current?.capacity ?? level, level + count);
		},
		restrict(limit, maximum, now) {
			refill(limit, now);
			level = Math.min(level, maximum);
		},
	};
}
