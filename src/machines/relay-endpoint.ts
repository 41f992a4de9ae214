/**
One endpoint of relayed work as this instance knows it: requests in flight from here and, by report,
from others; its pace; whether it can be reached; and the prompt parts that it probably has in memory.
*/
import {
	as, type Milliseconds, type PromptPartId, type Tokens,
} from '../contracts/id.js';
import {type ListedEndpoint} from '../contracts/relay.js';
import {type PromptPart} from '../contracts/relay-request.js';

/** Weight of a new observation in the smoothed pace. */
const paceWeight = 0.3;

/** Time in which half of what was observed about an endpoint's pace is forgotten. */
const paceHalfLifeMs = 4000;

/** Pause after the first failure to connect; it doubles with each further one. */
const firstPauseMs = 250;
const longestPauseMs = 2000;

/** Prompt parts remembered for one endpoint. */
const rememberedParts = 2048;

/** Age at which a report of other instances' requests counts for nothing. */
const reportLifeMs = 1500;

/** Who reports load: an instance of the own data centre, or another data centre as a whole. */
export type LoadSource = {readonly kind: 'instance' | 'data-centre'; readonly name: string};

export type RelayEndpoint = {
	readonly listed: () => ListedEndpoint;
	readonly update: (listed: ListedEndpoint) => void;
	/** Counts a request in flight until the returned function is called, once. */
	readonly trackRequest: () => () => void;
	readonly inFlight: () => number;
	/** Requests of this instance, and of others by their fading reports. */
	readonly load: (now: Milliseconds) => number;
	/** Requests of this instance and of others in its data centre. */
	readonly dataCentreLoad: (now: Milliseconds) => number;
	/** Takes a peer's report of its requests here and of the pace that it sees, in ms. */
	readonly recordPeerLoad: (source: LoadSource, report: {readonly inFlight: number; readonly pace: number | undefined}, now: Milliseconds) => void;
	/** Smoothed time of a request on the idle endpoint, in ms, drawn towards `typical` as it ages. */
	readonly pace: (typical: number, now: Milliseconds) => number;
	/** Last smoothed pace, in ms, or undefined when nothing was observed lately. */
	readonly recentLatency: (now: Milliseconds) => number | undefined;
	readonly recordLatency: (ms: number, now: Milliseconds) => void;
	readonly recordFailure: (now: Milliseconds) => void;
	readonly recordSuccess: () => void;
	readonly isUsable: (now: Milliseconds) => boolean;
	/** Tokens at the start of the prompt that are probably in memory. */
	readonly cached: (prompt: readonly PromptPart[]) => Tokens;
	readonly markCached: (prompt: readonly PromptPart[]) => void;
	/** The back end started anew: it knows nothing of before. */
	readonly reset: () => void;
};

/** Creates the view of an endpoint with nothing in flight. */
export function createRelayEndpoint(initial: ListedEndpoint): RelayEndpoint {
	let current = initial;
	let inFlight = 0;
	let pace = {ms: 0, at: as<Milliseconds>(0)};
	let failures = 0;
	let pausedUntil = as<Milliseconds>(0);
	const parts = new Set<PromptPartId>();
	const foreign = new Map<string, {readonly kind: LoadSource['kind']; readonly inFlight: number; readonly at: Milliseconds}>();

	function foreignLoad(now: Milliseconds, kinds: ReadonlyArray<LoadSource['kind']>): number {
		let sum = 0;
		for (const [source, report] of foreign) {
			const age = now - report.at;
			if (age > reportLifeMs) {
				foreign.delete(source);
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
		load: now => inFlight + foreignLoad(now, ['instance', 'data-centre']),
		dataCentreLoad: now => inFlight + foreignLoad(now, ['instance']),
		recordPeerLoad(source, report, now) {
			foreign.set(source.name, {kind: source.kind, inFlight: report.inFlight, at: now});
			// A peer's pace counts only where this instance has seen nothing itself.
			if (report.pace !== undefined && (pace.ms === 0 || now - pace.at > paceHalfLifeMs)) {
				pace = {ms: report.pace, at: now};
			}
		},
		pace(typical, now) {
			if (pace.ms === 0) {
				return typical;
			}

			return typical + ((pace.ms - typical) * (0.5 ** ((now - pace.at) / paceHalfLifeMs)));
		},
		recentLatency: now => pace.ms > 0 && now - pace.at < paceHalfLifeMs ? pace.ms : undefined,
		recordLatency(ms, now) {
			const isStale = pace.ms === 0 || now - pace.at > paceHalfLifeMs;
			pace = {ms: isStale ? ms : (pace.ms * (1 - paceWeight)) + (ms * paceWeight), at: now};
		},
		recordFailure(now) {
			const pauseMs = Math.min(firstPauseMs * (2 ** failures), longestPauseMs);
			failures++;
			pausedUntil = as<Milliseconds>(now + pauseMs);
		},
		recordSuccess() {
			failures = 0;
			pausedUntil = as<Milliseconds>(0);
		},
		isUsable: now => now >= pausedUntil,
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
				if (parts.size <= rememberedParts) {
					break;
				}

				parts.delete(id);
			}
		},
		reset() {
			parts.clear();
			failures = 0;
			pausedUntil = as<Milliseconds>(0);
		},
	};
}
