/**
One endpoint for relayed requests as it is known to this instance: requests in flight from this instance and, as
reported, from others; its latency; whether it can be reached; and the prompt parts that it has probably cached.
*/
import {type Random} from '../contracts/clock.js';
import {
	as, type Milliseconds, type PromptPartId, type Tokens,
} from '../contracts/id.js';
import {type ListedEndpoint} from '../contracts/relay.js';
import {
	isSameRateLimit, noRateLimit, type RateLimitStatement,
} from '../contracts/rate-limit.js';
import {type PromptPart} from '../contracts/relay-request.js';
import {createEndpointAvailability, type EndpointAvailability, type Monitoring} from './endpoint-availability.js';

/** Weight of a new observation in the smoothed latency. */
const latencyWeight = 0.3;

/** Half-life with which an observed latency decays. */
const latencyHalfLifeMs = 4000;

/** Maximum number of prompt parts tracked for one endpoint. */
const maximumTrackedParts = 2048;

/** Age above which a report of other instances' requests is discarded. */
const reportLifetimeMs = 1500;

/** Source of a load report: an instance of this data centre, or another data centre as a whole. */
export type LoadSource = {readonly kind: 'instance' | 'data-centre'; readonly name: string};

export type RelayEndpoint = {
	readonly listed: () => ListedEndpoint;
	readonly update: (listed: ListedEndpoint) => void;
	/** Counts a request as in flight until the returned function is called, which must be done once. */
	readonly trackRequest: () => () => void;
	readonly inFlight: () => number;
	/** Requests of this instance and, according to their recent reports, of others. */
	readonly load: (now: Milliseconds) => number;
	/** Requests of this instance and of others in its data centre. */
	readonly dataCentreLoad: (now: Milliseconds) => number;
	/** Records a peer's report of its requests at the endpoint, and of the latency that it observes (`pace`), in ms. */
	readonly recordPeerLoad: (source: LoadSource, report: {readonly inFlight: number; readonly pace: number | undefined}, now: Milliseconds) => void;
	/** Smoothed latency of a request on the endpoint without other requests, in ms, decaying towards `typical` with age. */
	readonly pace: (typical: number, now: Milliseconds) => number;
	/** Last smoothed latency, in ms, or undefined if nothing was observed recently. */
	readonly recentLatency: (now: Milliseconds) => number | undefined;
	readonly recordLatency: (ms: number, now: Milliseconds) => void;
	readonly availability: EndpointAvailability;
	/** Whether the list or a response said that this incarnation of the endpoint leaves. */
	readonly isLeaving: () => boolean;
	/** Whether a response said so. */
	readonly hasSaidLeaving: () => boolean;
	/** Records that a response said so; returns whether that is new. */
	readonly recordLeaving: () => boolean;
	/** The latest rate limit that the endpoint stated in a response, as far as this instance knows. */
	readonly rateLimit: () => RateLimitStatement;
	/** When a rate limit was last replaced by none; undefined if never. */
	readonly rateLimitEndedAt: () => Milliseconds | undefined;
	/** Records a rate limit that the endpoint stated; returns whether it changes the limit. */
	readonly recordRateLimit: (statement: RateLimitStatement) => boolean;
	/** Tokens at the start of the prompt that the endpoint has probably cached. */
	readonly cached: (prompt: readonly PromptPart[]) => Tokens;
	readonly markCached: (prompt: readonly PromptPart[]) => void;
	/** Clears what is known of an earlier incarnation. */
	readonly reset: () => void;
};

/** Creates the state of an endpoint, with nothing in flight. */
export function createRelayEndpoint(initial: ListedEndpoint, monitoring: Monitoring, random: Random): RelayEndpoint {
	let current = initial;
	let inFlight = 0;
	let pace = {ms: 0, at: as<Milliseconds>(0)};
	const availability = createEndpointAvailability(monitoring, random);
	let rateLimit: RateLimitStatement = {limit: noRateLimit, at: as<Milliseconds>(0)};
	let hasSaidLeaving = false;
	let rateLimitEndedAt: Milliseconds | undefined;
	const parts = new Set<PromptPartId>();
	const peerReports = new Map<string, {readonly kind: LoadSource['kind']; readonly inFlight: number; readonly at: Milliseconds}>();

	function reportedLoad(now: Milliseconds, kinds: ReadonlyArray<LoadSource['kind']>): number {
		let sum = 0;
		for (const [source, report] of peerReports) {
			const age = now - report.at;
			if (age > reportLifetimeMs) {
				peerReports.delete(source);
			} else if (kinds.includes(report.kind)) {
				sum += report.inFlight;
			}
		}

		return sum;
	}

	return {
		listed: () => current,
		update(listed) {
			current = listed;
		},
		trackRequest() {
			inFlight++;
			return () => {
				inFlight--;
			};
		},
		inFlight: () => inFlight,
		load: now => inFlight + reportedLoad(now, ['instance', 'data-centre']),
		dataCentreLoad: now => inFlight + reportedLoad(now, ['instance']),
		recordPeerLoad(source, report, now) {
			peerReports.set(source.name, {kind: source.kind, inFlight: report.inFlight, at: now});
			// A peer's latency counts only if this instance has not observed any itself recently.
			if (report.pace !== undefined && (pace.ms === 0 || now - pace.at > latencyHalfLifeMs)) {
				pace = {ms: report.pace, at: now};
			}
		},
		pace(typical, now) {
			if (pace.ms === 0) {
				return typical;
			}

			return typical + ((pace.ms - typical) * (0.5 ** ((now - pace.at) / latencyHalfLifeMs)));
		},
		recentLatency: now => pace.ms > 0 && now - pace.at < latencyHalfLifeMs ? pace.ms : undefined,
		recordLatency(ms, now) {
			const isStale = pace.ms === 0 || now - pace.at > latencyHalfLifeMs;
			pace = {ms: isStale ? ms : (pace.ms * (1 - latencyWeight)) + (ms * latencyWeight), at: now};
		},
		availability,
		isLeaving: () => hasSaidLeaving || current.isLeaving,
		hasSaidLeaving: () => hasSaidLeaving,
		recordLeaving() {
			const isNew = !hasSaidLeaving;
			hasSaidLeaving = true;
			return isNew;
		},
		rateLimit: () => rateLimit,
		rateLimitEndedAt: () => rateLimitEndedAt,
		recordRateLimit(statement) {
			if (statement.at < rateLimit.at) {
				return false;
			}

			const isChange = !isSameRateLimit(statement.limit, rateLimit.limit);
			if (isChange && statement.limit.kind === 'none') {
				rateLimitEndedAt = statement.at;
			}

			rateLimit = statement;
			return isChange;
		},
		cached(prompt) {
			let tokens = 0;
			for (const part of prompt) {
				if (!parts.has(part.id)) {
					break;
				}

				tokens += part.tokens;
			}

			return as<Tokens>(tokens);
		},
		markCached(prompt) {
			for (const part of prompt) {
				parts.delete(part.id);
				parts.add(part.id);
			}

			for (const id of parts) {
				if (parts.size <= maximumTrackedParts) {
					break;
				}

				parts.delete(id);
			}
		},
		reset() {
			parts.clear();
			availability.reset();
			rateLimit = {limit: noRateLimit, at: as<Milliseconds>(0)};
			hasSaidLeaving = false;
		},
	};
}
