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
	/**
	Takes a permit, if `reserve` others are left for requests that go before. Returns the time after which it may be used;
	undefined, with nothing taken, if that is longer than `patience`.
	*/
	readonly take: (limit: BucketLimit, patience: number, now: Milliseconds, reserve?: number) => Milliseconds | undefined;
	/** Time until there is a permit that nobody waits for, beside `reserve` others. */
	readonly wait: (limit: BucketLimit, now: Milliseconds, reserve?: number) => Milliseconds;
	/** Returns permits that were not used. */
	readonly giveBack: (count: number) => void;
	/** Lowers the level to a maximum. */
	readonly restrict: (limit: BucketLimit, maximum: number, now: Milliseconds) => void;
};

/** Limit of the bucket that grants a whole allotment. One permit has to fit into it whatever the burst. */
export function bucketLimitOf({rate, burst}: LimitedAllotment): BucketLimit {
	return {rate, capacity: Math.max(1, burst)};
}

/** Share of the bucket that is left for begun programs, and its maximum in seconds of the rate. */
const reservedShare = 0.7;
const maximumReservedSeconds = 1;

/**
Permits that the first request of a program leaves in the bucket. A program is worth something only as a whole, so what goes
beyond an allotment should turn new programs away rather than break off begun ones.
*/
export function reserveForBegun({rate, capacity}: BucketLimit): number {
	return Math.min((capacity - 1) * reservedShare, rate * maximumReservedSeconds);
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

	function wait({rate}: BucketLimit, reserve: number): Milliseconds {
		const needed = 1 + reserve;
		return as<Milliseconds>(level >= needed ? 0 : Math.ceil((needed - level) * 1000 / rate));
	}

	return {
		level(limit, now) {
			refill(limit, now);
			return level;
		},
		take(limit, patience, now, reserve = 0) {
			refill(limit, now);
			const delay = wait(limit, reserve);
			if (delay > patience) {
				return undefined;
			}

			level--;
			return delay;
		},
		wait(limit, now, reserve = 0) {
			refill(limit, now);
			return wait(limit, reserve);
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
