/**
Placement of relayed requests. Waiting, pace, computing a prompt again and distance are priced in one
currency, expected milliseconds. Part of the price of a prompt depends only on a hash of its first part,
so that instances choose alike without talking.
*/
import {
	type DataCentreId, type EndpointId, type Milliseconds,
} from '../contracts/id.js';
import {median} from '../contracts/median.js';
import {type PromptPart} from '../contracts/relay-request.js';
import {ownerByRendezvous} from '../contracts/rendezvous.js';
import {type RelayEndpoint} from './relay-endpoint.js';

/** Time to compute one prompt token on a current accelerator: about 50 tokens a ms. */
const prefillMsPerToken = 0.02;

/** Extra price of another data centre: bytes between data centres are scarce, and a cut loses the request. */
const remoteMs = 150;

/**
Share of its idle time by which each other request lengthens a request: engines batch, and the prompts of
others are computed between a request's tokens.
*/
const crowdingShare = 0.1;

/** Share of the prompt's first part that counts as cached where its hash points first. */
const homeShare = 0.6;

/** Pace before anything was observed, in ms. */
const assumedPaceMs = 200;

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

/** A request's time as it would have been on an idle endpoint, in ms. */
export function unloadedLatency(tookMs: number, load: number): number {
	return tookMs / (1 + (crowdingShare * load));
}

/** Median of the paces that were observed lately, in ms. */
function typicalPace(endpoints: readonly RelayEndpoint[], now: Milliseconds): number {
	return median(endpoints.flatMap(endpoint => endpoint.recentLatency(now) ?? [])) ?? assumedPaceMs;
}

/** Endpoint of this data centre that the hash of the prompt's first part points to. */
function homeOf(endpoints: readonly RelayEndpoint[], query: RelayQuery): RelayEndpoint | undefined {
	const [first] = query.prompt;
	if (!first) {
		return undefined;
	}

	const local = endpoints.filter(endpoint => endpoint.listed().dataCentre === query.dataCentre);
	return ownerByRendezvous(local, endpoint => endpoint.listed().id, first.id);
}

/** What is the same for all endpoints that a request may go to. */
type Comparison = {
	readonly query: RelayQuery;
	readonly promptTokens: number;
	/** Median pace of the endpoints, in ms. */
	readonly typical: number;
	readonly home: RelayEndpoint | undefined;
};

function missingTokens(endpoint: RelayEndpoint, {query, promptTokens, home}: Comparison): number {
	const assumed = endpoint === home ? (query.prompt[0]?.tokens ?? 0) * homeShare : 0;
	return promptTokens - Math.max(endpoint.cached(query.prompt), assumed);
}

/** Expected time until the endpoint answers, in ms. */
function costOf(endpoint: RelayEndpoint, comparison: Comparison): number {
	const {query, typical} = comparison;
	const {slots, dataCentre} = endpoint.listed();
	const load = endpoint.load(query.now);
	const distance = dataCentre === query.dataCentre ? 0 : remoteMs;
	const pace = endpoint.pace(typical, query.now);
	const running = pace * (1 + (crowdingShare * load));
	const waiting = pace * (Math.max(0, load + 1 - slots) / slots);
	// All requests on the endpoint wait while a prompt is computed, this one among them.
	const computing = missingTokens(endpoint, comparison) * prefillMsPerToken * (1 + load);
	return running + waiting + computing + distance;
}

/** The cheapest endpoint that can be used, or else the cheapest of those that failed lately. */
export function place(endpoints: readonly RelayEndpoint[], query: RelayQuery): Placement | undefined {
	const open = endpoints.filter(endpoint => !query.excluded.has(endpoint.listed().id));
	const usable = open.filter(endpoint => endpoint.isUsable(query.now));
	const candidates = usable.length > 0 ? usable : open;
	const comparison = {
		query,
		promptTokens: query.prompt.reduce((sum, part) => sum + part.tokens, 0),
		typical: typicalPace(endpoints, query.now),
		home: homeOf(usable, query),
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
