/**
Placement: which endpoint of a pool gets a call. The cost of an endpoint is the expected time in ms until its
answer: waiting, sharing the endpoint with other calls, computing the uncached part of the prompt, and distance.
*/
import {
	type DataCentreId, type EndpointId, type Milliseconds, type ProgramId, type Tokens,
} from '../contracts/id.js';
import {type BackEnd} from './back-end.js';

export type Candidate = {
	readonly backEnd: BackEnd;
	/** Expected time until the call could be answered, in ms. */
	readonly cost: number;
};

export type PlacementQuery = {
	readonly program: ProgramId;
	/** Tokens of the complete prompt; zero for services. */
	readonly prompt: Tokens;
	readonly dataCentre: DataCentreId;
	/** Endpoints to which this call has already been sent. */
	readonly excluded: ReadonlySet<EndpointId>;
	readonly now: Milliseconds;
};

/** Time an engine needs to compute one prompt token. */
const prefillMsPerToken = 0.2;

/** Additional latency of a call to another data centre. */
const remoteCostMs = 2;

/** Expected time for which a call occupies a slot, before the first observation. */
const assumedCallMs = 500;

/** Fraction by which a call takes longer on an endpoint whose other slots are all occupied. */
const contentionFraction = 0.15;

/** Expected time until the back end could answer the call, in ms. */
export function costOf(backEnd: BackEnd, query: PlacementQuery): number {
	const places = Math.max(1, backEnd.queue.concurrency);
	const load = backEnd.load() + backEnd.peerLoad(query.now);
	const {call} = backEnd.pace();
	const callMs = call === 0 ? assumedCallMs : call;
	const waiting = Math.max(0, load - places + 1) * (callMs / places);
	const sharing = callMs * contentionFraction * Math.min(1, load / places);
	const uncached = Math.max(0, query.prompt - backEnd.cached(query.program));
	const distance = backEnd.endpoint.dataCentre === query.dataCentre ? 0 : remoteCostMs;
	return waiting + sharing + (uncached * prefillMsPerToken) + distance;
}

/** Endpoints to choose from if none is usable: those to which the call has not been sent yet or, if there are none, any that is not leaving. */
function fallbacks(backEnds: readonly BackEnd[], untried: readonly BackEnd[]): readonly BackEnd[] {
	const notLeaving = untried.filter(backEnd => backEnd.health().kind !== 'leaving');
	return notLeaving.length > 0 ? notLeaving : backEnds.filter(backEnd => backEnd.health().kind !== 'leaving');
}

/** The cheapest usable back end or, if there is none, the cheapest fallback. */
export function chooseBackEnd(backEnds: readonly BackEnd[], query: PlacementQuery): Candidate | undefined {
	const untried = backEnds.filter(backEnd => !query.excluded.has(backEnd.endpoint.id));
	const usable = untried.filter(backEnd => backEnd.isUsable(query.now));
	const remaining = usable.length > 0 ? usable : fallbacks(backEnds, untried);
	let best: Candidate | undefined;
	for (const backEnd of remaining) {
		const cost = costOf(backEnd, query);
		if (!best || cost < best.cost) {
			best = {backEnd, cost};
		}
	}

	return best;
}
