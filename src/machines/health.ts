/**
Health of an endpoint, based mainly on what this instance has observed itself: its latencies compared with those
of the pool, and its failures. Reports of other instances can mark an endpoint as slow or leaving, and as live
again, but never as down.
*/
import {as, type Milliseconds} from '../contracts/id.js';

export type Health
	= | {readonly kind: 'healthy'}
	/** Much slower than the other endpoints of its pool; gets one trial call at a time. */
		| {readonly kind: 'slow'; readonly retryAt: Milliseconds; readonly strikes: number}
	/** Unreachable or crashed; not used before `retryAt`. */
		| {readonly kind: 'down'; readonly retryAt: Milliseconds; readonly failures: number}
	/** Shutting down; gets no new calls. */
		| {readonly kind: 'leaving'};

export type HealthEvent
	/** `pace` is the observed latency per unit of work, `typical` the median of the pool, both in ms. */
	= | {readonly kind: 'succeeded'; readonly pace: number; readonly typical: number; readonly trialAfter: Milliseconds}
		| {readonly kind: 'failed'}
	/** A call was cancelled at the endpoint because it made no progress. */
		| {readonly kind: 'stalled'; readonly trialAfter: Milliseconds}
	/** Another instance cancelled a stalled call at the endpoint. */
		| {readonly kind: 'reported-slow'; readonly trialAfter: Milliseconds}
		| {readonly kind: 'reported-leaving'}
		| {readonly kind: 'reported-live'};

/** Multiple of the typical latency of the pool above which an endpoint counts as slow. */
const slowFactor = 3;

const maximumSlowDelayMs = 60_000;
const initialDownDelayMs = 500;
const maximumDownDelayMs = 10_000;

/** Each consecutive slow trial doubles the time to the next one. */
function slow(health: Health, trialAfter: Milliseconds, now: Milliseconds): Health {
	const strikes = health.kind === 'slow' ? health.strikes + 1 : 1;
	const delay = Math.min(trialAfter * (2 ** (strikes - 1)), maximumSlowDelayMs);
	return {kind: 'slow', retryAt: as<Milliseconds>(now + delay), strikes};
}

/** Returns the health of an endpoint after an event. */
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
			const delay = Math.min(initialDownDelayMs * (2 ** (failures - 1)), maximumDownDelayMs);
			return {kind: 'down', retryAt: as<Milliseconds>(now + delay), failures};
		}

		case 'stalled': {
			return health.kind === 'leaving' ? health : slow(health, event.trialAfter, now);
		}

		case 'reported-slow': {
			// The report of another instance counts only if this instance considers the endpoint healthy.
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

/** Whether an endpoint may get a call now; `inFlight` is the number of calls that it already has from this instance. */
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
