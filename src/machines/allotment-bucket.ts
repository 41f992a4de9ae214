/**
Bucket of permits that refills at a rate up to a capacity. A permit may be taken before it is there, to be used after the
time that the bucket needs for it: requests that can wait then queue in the bucket, first come first served, without asking
again. Unlike the rate limiter of an endpoint, its level can be handed to another bucket, and it has no minimum rate.
*/
import {type LimitedAllotment} from '../contracts/allotment.js';
import {as, type Milliseconds} from '../contracts/id.js';
import {type RequestsPerSecond} from '../contracts/rate-limit.js';

export type BucketLimit = {readonly rate: RequestsPerSecond; readonly capacity: number};

/** Whether a request belongs to a program that has begun, or is the first of its program. */
export type ProgramStanding = 'begun' | 'first';

export type AllotmentBucket = {
	/** Number of permits now; negative while taken permits may not yet be used. */
	readonly level: (limit: BucketLimit, now: Milliseconds) => number;
	/** Takes a permit. Returns the time after which it may be used; undefined, with nothing taken, if that is longer than `patience`. */
	readonly take: (limit: BucketLimit, patience: number, now: Milliseconds, standing?: ProgramStanding) => Milliseconds | undefined;
	/** Time until there is a permit that nobody waits for. */
	readonly wait: (limit: BucketLimit, now: Milliseconds, standing?: ProgramStanding) => Milliseconds;
	/** Returns permits that were not used. */
	readonly giveBack: (count: number) => void;
	/** Lowers the level to a maximum. */
	readonly restrict: (limit: BucketLimit, maximum: number, now: Milliseconds) => void;
};

/** Limit of the bucket that grants a whole allotment. One permit has to fit into it whatever the burst. */
export function bucketLimitOf({rate, burst}: LimitedAllotment): BucketLimit {
	return {rate, capacity: Math.max(1, burst)};
}

/** Share of the bucket that is left for begun programs while the allotment is short, and its maximum in seconds of the rate. */
const reservedShare = 0.7;
const maximumReservedSeconds = 1;

/** Time for which the allotment counts as short after a request of a begun program found no permit. */
const shortageMs = 3000;

/**
Permits that the first request of a program leaves in the bucket while the allotment is short. A program is worth something
only as a whole, so what goes beyond an allotment should turn new programs away rather than break off begun ones.
*/
function reserveForBegun({rate, capacity}: BucketLimit): number {
	return Math.min((capacity - 1) * reservedShare, rate * maximumReservedSeconds);
}

/** Creates a bucket with a level at a time; the limit of its first use bounds it. */
export function createAllotmentBucket(initialLevel: number, createdAt: Milliseconds): AllotmentBucket {
	let level = initialLevel;
	let refilledAt = createdAt;
	let current: BucketLimit | undefined;
	let shortAt = -Infinity;

	function refill(limit: BucketLimit, now: Milliseconds): void {
		const previous = current ?? limit;
		level = Math.min(limit.capacity, previous.capacity, level + ((now - refilledAt) * previous.rate / 1000));
		refilledAt = now;
		current = limit;
	}

	function reserveFor(limit: BucketLimit, standing: ProgramStanding, now: Milliseconds): number {
		switch (standing) {
			case 'begun': {
				return 0;
			}

			case 'first': {
				return now - shortAt < shortageMs ? reserveForBegun(limit) : 0;
			}
		}
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
		take(limit, patience, now, standing = 'begun') {
			refill(limit, now);
			const delay = wait(limit, reserveFor(limit, standing, now));
			if (delay > 0 && standing === 'begun') {
				shortAt = now;
			}

			if (delay > patience) {
				return undefined;
			}

			level--;
			return delay;
		},
		wait(limit, now, standing = 'begun') {
			refill(limit, now);
			return wait(limit, reserveFor(limit, standing, now));
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
