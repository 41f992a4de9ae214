/**
Health of an endpoint, judged first by what this instance saw itself: its own timings against those
of the endpoint's peers, and its own failures. Reports by others only ever add reasons to avoid it.
*/
import {as, type Milliseconds} from '../contracts/id.js';

export type Health
	= | {readonly kind: 'healthy'}
	/** Answers much later than its peers; gets one trial call at a time. */
		| {readonly kind: 'slow'; readonly retryAt: Milliseconds; readonly strikes: number}
	/** Cannot be reached or crashed; not used before the time given. */
		| {readonly kind: 'down'; readonly retryAt: Milliseconds; readonly failures: number}
	/** About to stop; gets no new work. */
		| {readonly kind: 'leaving'};

export type HealthEvent
	/** `pace` is the observed time a unit of work, `typical` the median pace of the pool, both in ms. */
	= | {readonly kind: 'succeeded'; readonly pace: number; readonly typical: number; readonly trialAfter: Milliseconds}
		| {readonly kind: 'failed'}
	/** A call was taken away because nothing came of it. */
		| {readonly kind: 'stalled'; readonly trialAfter: Milliseconds}
	/** A peer took a call away from it. */
		| {readonly kind: 'reported-slow'; readonly trialAfter: Milliseconds}
		| {readonly kind: 'reported-leaving'}
		| {readonly kind: 'reported-live'};

/** Times the typical pace of the pool above which an endpoint counts as slow. */
const slowFactor = 3;

const longestSlowMs = 60_000;
const firstDownMs = 500;
const longestDownMs = 10_000;

/** Each slow trial in a row doubles the time to the next. */
function slow(health: Health, trialAfter: Milliseconds, now: Milliseconds): Health {
	const strikes = health.kind === 'slow' ? health.strikes + 1 : 1;
	const delay = Math.min(trialAfter * (2 ** (strikes - 1)), longestSlowMs);
	return {kind: 'slow', retryAt: as<Milliseconds>(now + delay), strikes};
}

/** Decides the next health of an endpoint. */
export function nextHealth(health: Health, event: HealthEvent, now: Milliseconds): Health {
	switch (event.kind) {
		case 'succeeded': {
			if (health.kind === 'leaving') {
				return health;
			}

			const isSlow = event.typical > 0 && event.pace > event.typical * slowFactor;
			return isSlow ? slow(health, event.trialAfter, now) : {kind: 'healthy'};
		}

		case 'failed': {
			if (health.kind === 'leaving') {
				return health;
			}

			const failures = health.kind === 'down' ? health.failures + 1 : 1;
			const delay = Math.min(firstDownMs * (2 ** (failures - 1)), longestDownMs);
			return {kind: 'down', retryAt: as<Milliseconds>(now + delay), failures};
		}

		case 'stalled': {
			return health.kind === 'leaving' ? health : slow(health, event.trialAfter, now);
		}

		case 'reported-slow': {
			// A peer's report counts only for an endpoint that looked healthy from here.
			return health.kind === 'healthy' ? slow(health, event.trialAfter, now) : health;
		}

		case 'reported-leaving': {
			return {kind: 'leaving'};
		}

		case 'reported-live': {
			return health.kind === 'leaving' || health.kind === 'slow' ? {kind: 'healthy'} : health;
		}
	}
}

/** Whether an endpoint may be given work now; `inFlight` counts the calls it already has from this instance. */
export function isUsable(health: Health, inFlight: number, now: Milliseconds): boolean {
	switch (health.kind) {
		case 'healthy': {
			return true;
		}

		case 'slow': {
			return inFlight === 0 && now >= health.retryAt;
		}

		case 'down': {
			return inFlight === 0 && now >= health.retryAt;
		}

		case 'leaving': {
			return false;
		}
	}
}
