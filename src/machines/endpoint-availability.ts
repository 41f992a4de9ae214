/**
Whether requests should be sent to an endpoint, by what became of the last ones. An endpoint that cannot be reached is
passed over for a while. Where responses are monitored, so is one that breaks off responses, as a crashed endpoint does
whose address still accepts connections; when its time is over, a single request tries it before others follow. Answers
that report an error make an endpoint dearer than others in proportion to their share.

Load that it answers: endpoints that go down and up every second, and endpoints that fail part of their requests while
their health check passes. An idle endpoint looks cheap, so without this a failing one attracts requests.
*/
import {type Random} from '../contracts/clock.js';
import {as, type Milliseconds} from '../contracts/id.js';

/** Backoff after the first failure; it doubles with each further one. */
const initialBackoffMs = 250;
const maximumBackoffMs = 2000;

/** Backoff after a peer's report of a failure. */
const reportedBackoffMs = 500;

/** Time for which a success of this instance outweighs a peer's report: an endpoint may fail for some callers only. */
const successValidityMs = 500;

/** Time after which another request may try the endpoint although the first has not ended: streams last longer. */
const trialMs = 300;

/** Consecutive broken responses after which peers are told; a single one also happens at a sound endpoint. */
const failuresToReport = 2;

/** Minimum interval between two reports to peers. */
const reportIntervalMs = 200;

/** Weight of a new response in the share of those that report an error, and the half-life with which that share decays. */
const failureWeight = 0.2;
const failureHalfLifeMs = 4000;

/** Age above which a peer's report of that share is ignored. */
const reportedShareLifetimeMs = 1500;

/**
What is monitored:
- `connections`: whether a connection can be opened and reaches the endpoint.
- `responses`: that, and whether responses are complete and successful.
*/
export type Monitoring = 'connections' | 'responses';

export type EndpointAvailability = {
	/** Records that a request was sent. */
	readonly recordSent: (now: Milliseconds) => void;
	/** Records a complete response, to a request sent at `sentAt`; one that reports an error of the endpoint counts as failed in part. */
	readonly recordResponse: (response: {readonly isError: boolean; readonly sentAt: Milliseconds}, now: Milliseconds) => void;
	/** Records that no connection reached the endpoint. */
	readonly recordUnreachable: (now: Milliseconds) => void;
	/** Records a response that broke off. Returns whether peers should be told. */
	readonly recordBroken: (now: Milliseconds) => boolean;
	/** Records that the endpoint has just broken off responses to a peer. */
	readonly recordPeerFailure: (now: Milliseconds) => void;
	readonly isUsable: (now: Milliseconds) => boolean;
	/** Share of responses that reported an error lately, as observed here, between 0 and 1. */
	readonly failureShare: (now: Milliseconds) => number;
	/** The same, or what a peer reported if that is more. */
	readonly expectedFailureShare: (now: Milliseconds) => number;
	readonly recordPeerShare: (share: number, now: Milliseconds) => void;
	readonly reset: () => void;
};

/** Creates the state of an endpoint with which nothing has happened. */
export function createEndpointAvailability(monitoring: Monitoring, random: Random): EndpointAvailability {
	let failures = 0;
	let backoffUntil = -Infinity;
	let lastFailureAt = -Infinity;
	let lastSuccessAt = -Infinity;
	let trialAt = -Infinity;
	let reportedAt = -Infinity;
	let share = {value: 0, at: 0};
	let reportedShare = {value: 0, at: -Infinity};

	function backOff(now: Milliseconds, ms: number): void {
		backoffUntil = Math.max(backoffUntil, now + ms);
		lastFailureAt = now;
	}

	function recordFailure(now: Milliseconds): void {
		backOff(now, Math.min(initialBackoffMs * (2 ** failures), maximumBackoffMs));
		failures++;
	}

	function failureShare(now: Milliseconds): number {
		return share.value * (0.5 ** ((now - share.at) / failureHalfLifeMs));
	}

	function recordShare(isFailure: boolean, now: Milliseconds): void {
		share = {value: (failureShare(now) * (1 - failureWeight)) + (isFailure ? failureWeight : 0), at: now};
	}

	function isTried(now: Milliseconds): boolean {
		return failures > 0 && now - trialAt < trialMs;
	}

	return {
		recordSent(now) {
			trialAt = now;
		},
		recordResponse({isError, sentAt}, now) {
			recordShare(isError, now);
			lastSuccessAt = now;
			// A response to a request that was sent before the last failure doesn't show that the endpoint works again.
			if (monitoring === 'connections' || sentAt >= lastFailureAt) {
				failures = 0;
				backoffUntil = -Infinity;
			}
		},
		recordUnreachable: recordFailure,
		recordBroken(now) {
			switch (monitoring) {
				case 'connections': {
					return false;
				}

				case 'responses': {
					recordFailure(now);
					const isDue = failures >= failuresToReport && now - reportedAt >= reportIntervalMs;
					reportedAt = isDue ? now : reportedAt;
					return isDue;
				}
			}
		},
		recordPeerFailure(now) {
			if (monitoring === 'responses' && now - lastSuccessAt >= successValidityMs) {
				// Instances return at different times, so that the first to return spares the others a failure.
				backOff(now, reportedBackoffMs * (0.5 + random.fraction()));
				failures = Math.max(failures, 1);
			}
		},
		isUsable: now => now >= backoffUntil && (monitoring === 'connections' || !isTried(now)),
		failureShare,
		expectedFailureShare: now => monitoring === 'connections' ? 0 : Math.max(failureShare(now), now - reportedShare.at < reportedShareLifetimeMs ? reportedShare.value : 0),
		recordPeerShare(value, now) {
			reportedShare = {value, at: as<Milliseconds>(now)};
		},
		reset() {
			failures = 0;
			backoffUntil = -Infinity;
			lastFailureAt = -Infinity;
			trialAt = -Infinity;
			share = {value: 0, at: 0};
			reportedShare = {value: 0, at: -Infinity};
		},
	};
}
