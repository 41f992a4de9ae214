/**
Planned stop of a relaying instance: callers are sent elsewhere, new connections are refused once the load balancer knows,
and the requests under way end before the process does. A request that arrives on an open connection and may not
end in time is refused, and so is what has not ended at the end of the grace period, as otherwise it would be cut off with no answer.
*/
import {type Clock} from '../contracts/clock.js';
import {as, type Milliseconds} from '../contracts/id.js';
import {type Relay} from './relay.js';

/** How long the load balancer takes to notice that this instance is not ready: two checks, one second apart. */
const balancerNoticeMs = 2500;

/** Interval between checks for active requests; short compared with the grace period. */
const pollIntervalMs = 50;

/** Part of the grace period that is reserved for the last responses and for ending the process. */
const exitMarginMs = 400;

/** Delays of the event loop that are added to it: of the signal, and of the end of the last requests. */
const delaysInMargin = 2;

/** Largest part of the grace period that is reserved: callers count on the rest. */
const largestMarginShare = 1 / 6;

/** Part of the margin in which callers take the last responses. */
const lastResponsesMs = 250;

export type PlannedStopOptions = {
	readonly relay: Pick<Relay, 'endBy'>;
	readonly server: {
		/** Asks callers to close their connections. */
		readonly drain: () => void;
		/** Refuses new connections. */
		readonly close: () => void;
		/** Number of requests whose callers have not got their whole response. */
		readonly requests: () => number;
		/** Ends all requests that have not ended, each with a response. */
		readonly endRequests: () => void;
	};
	/** Tells peers that this instance leaves. */
	readonly leave: () => Promise<void>;
	/** How late the event loop has been at most of late. */
	readonly longestDelay: () => Milliseconds;
	readonly clock: Clock;
	/** Time from now after which the process ends by force. */
	readonly gracePeriod: Milliseconds;
};

/** Stops an instance. Resolves when no request remains, or just before the end of the grace period. */
export async function stopAsPlanned({relay, server, leave, longestDelay, clock, gracePeriod}: PlannedStopOptions): Promise<void> {
	const startedAt = clock.now();
	const margin = Math.min(exitMarginMs + (delaysInMargin * longestDelay()), Math.max(exitMarginMs, gracePeriod * largestMarginShare));
	const endsAt = as<Milliseconds>(startedAt + gracePeriod - margin);

	async function untilNoRequests(end: number): Promise<void> {
		while (server.requests() > 0 && clock.now() < end) {
			await clock.sleep(as<Milliseconds>(pollIntervalMs));
		}
	}

	const noticed = clock.sleep(as<Milliseconds>(balancerNoticeMs));
	// The relay compares times of its own, since timers of a late event loop fire late.
	relay.endBy({end: endsAt, from: as<Milliseconds>(startedAt + balancerNoticeMs)});
	await Promise.race([leave(), noticed]);
	server.drain();
	await noticed;
	server.close();
	await untilNoRequests(endsAt);
	server.endRequests();
	await untilNoRequests(clock.now() + lastResponsesMs);
}
