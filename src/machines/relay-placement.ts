/**
Placement of relayed requests. The cost of an endpoint is the expected time in ms until its answer begins: waiting,
request latency, computing the uncached part of the prompt, and distance. The first part of a prompt counts as partly
cached at the endpoint that its hash selects, so that instances choose the same endpoint without communicating.
*/
import {
	type DataCentreId, type EndpointId, type Milliseconds,
} from '../contracts/id.js';
import {median} from '../contracts/median.js';
import {type PromptPart} from '../contracts/relay-request.js';
import {ownerByRendezvous} from '../contracts/rendezvous.js';
import {type RelayEndpoint} from './relay-endpoint.js';

/** Time to compute one prompt token on a current accelerator: about 50 tokens per ms. */
const prefillMsPerToken = 0.02;

/** Additional cost of another data centre: bandwidth between data centres is scarce, and a partition loses the request. */
const remoteCostMs = 150;

/**
Fraction of its unloaded latency that each concurrent request adds to a request: engines batch requests, and
compute the prompts of others between a request's tokens.
*/
const contentionFraction = 0.1;

/** Fraction of the prompt's first part that counts as cached at the endpoint that its hash selects. */
const homeCachedFraction = 0.6;

/** Cost of a failed request: it is sent again after a while, or its program ends. */
const failureCostMs = 2000;

/** Latency that is assumed before the first observation. */
const assumedLatencyMs = 200;

export type RelayQuery = {
	readonly prompt: readonly PromptPart[];
	readonly dataCentre: DataCentreId;
	readonly excluded: ReadonlySet<EndpointId>;
	readonly now: Milliseconds;
};

export type Placement = {
	readonly endpoint: RelayEndpoint;
	/** Expected time until an answer begins, in ms. */
	readonly cost: number;
};

/** Estimates the latency that a request would have had on an endpoint without other requests, in ms. */
export function unloadedLatency(tookMs: number, load: number): number {
	return tookMs / (1 + (contentionFraction * load));
}

/** Median of the recently observed latencies, in ms. */
function typicalLatency(endpoints: readonly RelayEndpoint[], now: Milliseconds): number {
	return median(endpoints.flatMap(endpoint => endpoint.recentLatency(now) ?? [])) ?? assumedLatencyMs;
}

/** Endpoint of this data centre that the hash of the prompt's first part selects. */
function homeEndpointOf(endpoints: readonly RelayEndpoint[], query: RelayQuery): RelayEndpoint | undefined {
	const [first] = query.prompt;
	if (!first) {
		return undefined;
	}

	const local = endpoints.filter(endpoint => endpoint.listed().dataCentre === query.dataCentre);
	return ownerByRendezvous(local, endpoint => endpoint.listed().id, first.id);
}

/** Values that are the same for all candidate endpoints of a request. */
type Comparison = {
	readonly query: RelayQuery;
	readonly promptTokens: number;
	/** Median latency of the endpoints, in ms. */
	readonly typical: number;
	readonly home: RelayEndpoint | undefined;
};

function uncachedTokens(endpoint: RelayEndpoint, {query, promptTokens, home}: Comparison): number {
	const assumed = endpoint === home ? (query.prompt[0]?.tokens ?? 0) * homeCachedFraction : 0;
	return promptTokens - Math.max(endpoint.cached(query.prompt), assumed);
}

/** Expected time until the endpoint answers, in ms. */
function costOf(endpoint: RelayEndpoint, comparison: Comparison): number {
	const {query, typical} = comparison;
	const {slots, dataCentre} = endpoint.listed();
	const load = endpoint.load(query.now);
	const distance = dataCentre === query.dataCentre ? 0 : remoteCostMs;
	const pace = endpoint.pace(typical, query.now);
	const running = pace * (1 + (contentionFraction * load));
	const waiting = pace * (Math.max(0, load + 1 - slots) / slots);
	// All requests on the endpoint, including this one, wait while a prompt is computed.
	const computing = uncachedTokens(endpoint, comparison) * prefillMsPerToken * (1 + load);
	const failing = endpoint.availability.expectedFailureShare(query.now) * failureCostMs;
	return running + waiting + computing + distance + failing;
}

/** The cheapest usable endpoint or, if there is none, the cheapest of those that failed recently. */
export function place(endpoints: readonly RelayEndpoint[], query: RelayQuery): Placement | undefined {
	const open = endpoints.filter(endpoint => !query.excluded.has(endpoint.listed().id));
	const usable = open.filter(endpoint => endpoint.availability.isUsable(query.now));
	const candidates = usable.length > 0 ? usable : open;
	const comparison = {
		query,
		promptTokens: query.prompt.reduce((sum, part) => sum + part.tokens, 0),
		typical: typicalLatency(endpoints, query.now),
		home: homeEndpointOf(usable, query),
	};
	let best: Placement | undefined;
	for (const endpoint of candidates) {
		const cost = costOf(endpoint, comparison);
		if (!best || cost < best.cost) {
			best = {endpoint, cost};
		}
	}

	return best;
}
