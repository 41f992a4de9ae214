/**
Placement: which endpoint of a pool gets a call. Waiting, recomputing a prompt that another endpoint
holds, and distance are priced in one currency, expected milliseconds.
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
	/** Tokens of the whole prompt; zero for services. */
	readonly prompt: Tokens;
	readonly dataCentre: DataCentreId;
	/** Endpoints that this call has already tried. */
	readonly excluded: ReadonlySet<EndpointId>;
	readonly now: Milliseconds;
};

/** Time an engine needs to compute one prompt token. */
const prefillMsPerToken = 0.2;

/** Extra time of a call that leaves the data centre. */
const remoteMs = 2;

/** Expected time that one call occupies a place, before anything was observed. */
const assumedCallMs = 500;

/** Share of a call's time that it loses on an endpoint whose other places are all taken. */
const sharingShare = 0.15;

/** Expected time until the back end could answer the call, in ms. */
export function costOf(backEnd: BackEnd, query: PlacementQuery): number {
	const places = Math.max(1, backEnd.queue.concurrency);
	const load = backEnd.load() + backEnd.peerLoad(query.now);
	const {call} = backEnd.pace();
	const callMs = call === 0 ? assumedCallMs : call;
	const waiting = Math.max(0, load - places + 1) * (callMs / places);
	const sharing = callMs * sharingShare * Math.min(1, load / places);
	const missing = Math.max(0, query.prompt - backEnd.cached(query.program));
	const distance = backEnd.endpoint.dataCentre === query.dataCentre ? 0 : remoteMs;
	return waiting + sharing + (missing * prefillMsPerToken) + distance;
}

/** Endpoints to try when none is known to be healthy: those not tried yet, or else any that stays. */
function lastResorts(backEnds: readonly BackEnd[], untried: readonly BackEnd[]): readonly BackEnd[] {
	const staying = untried.filter(backEnd => backEnd.health().kind !== 'leaving');
	return staying.length > 0 ? staying : backEnds.filter(backEnd => backEnd.health().kind !== 'leaving');
}

/** The cheapest usable back end, or a last resort when there is none. */
export function chooseBackEnd(backEnds: readonly BackEnd[], query: PlacementQuery): Candidate | undefined {
	const untried = backEnds.filter(backEnd => !query.excluded.has(backEnd.endpoint.id));
	const usable = untried.filter(backEnd => backEnd.isUsable(query.now));
	const remaining = usable.length > 0 ? usable : lastResorts(backEnds, untried);
	let best: Candidate | undefined;
	for (const backEnd of remaining) {
		const cost = costOf(backEnd, query);
		if (!best || cost < best.cost) {
			best = {backEnd, cost};
		}
	}

	return best;
}
