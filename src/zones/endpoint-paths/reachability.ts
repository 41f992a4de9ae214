/**
Decides whether an instance is partitioned from all endpoints. A failure of one endpoint says nothing about the others, and all may
be slow at once, so only connections to several of them that fail together show a partition.

Load that it answers: the connections of one instance to endpoints hang, or are refused, while those of other instances work.
*/
import {
	type DataCentreId, type EndpointId, type Milliseconds, type PoolName,
} from '../../contracts/id.js';
import {type ListedEndpoint} from '../../contracts/relay.js';

/** Time without anything from any endpoint after which the requests in flight are suspected to hang, in ms. */
const silenceMs = 400;

/** The same if they are all at one endpoint, which may be slow. */
const singleSilenceMs = 800;

/** Endpoints to which connections are opened to judge the path, in this data centre and elsewhere. */
const samplePerPlace = 2;

export type ReachedPart = 'none' | 'some' | 'all';

type InFlight = {readonly endpoint: EndpointId; readonly sentAt: Milliseconds; readonly onLost: () => void};

export type Reachability = {
	/** Adds an attempt that was sent directly. Returns a function that removes it. */
	readonly add: (attempt: InFlight) => () => void;
	/** Records that an endpoint has sent something over a direct connection. */
	readonly recordHeard: (now: Milliseconds) => void;
	/** Whether attempts have waited for so long that the path should be checked. */
	readonly isSuspicious: (now: Milliseconds) => boolean;
	/** Records to which endpoints of a sample of several a connection could be opened. Returns whether the conclusion has changed. */
	readonly judge: (reached: ReachedPart, now: Milliseconds) => boolean;
	readonly isCutOff: () => boolean;
};

/** The endpoints in an order in which each pool comes once before any comes again. */
function alternatePools(endpoints: readonly ListedEndpoint[]): readonly ListedEndpoint[] {
	const counts = new Map<PoolName, number>();
	const turns = endpoints.map(endpoint => {
		const turn = counts.get(endpoint.pool) ?? 0;
		counts.set(endpoint.pool, turn + 1);
		return {endpoint, turn};
	});
	return turns.toSorted((left, right) => left.turn - right.turn).map(({endpoint}) => endpoint);
}

/**
Chooses endpoints to judge the path by from a shuffled list, so that neither the end of one pool nor the partition of a whole data
centre is taken for a partition of this instance.
*/
export function sampleEndpoints(shuffled: readonly ListedEndpoint[], dataCentre: DataCentreId): readonly ListedEndpoint[] {
	const local = alternatePools(shuffled.filter(endpoint => endpoint.dataCentre === dataCentre));
	const remote = alternatePools(shuffled.filter(endpoint => endpoint.dataCentre !== dataCentre));
	const first = [...local.slice(0, samplePerPlace), ...remote.slice(0, samplePerPlace)];
	const further = [...local, ...remote].filter(endpoint => !first.includes(endpoint));
	return [...first, ...further].slice(0, 2 * samplePerPlace);
}

/** Creates the state of an instance that is taken to reach endpoints. */
export function createReachability(): Reachability {
	const inFlight = new Set<InFlight>();
	let heardAt = -Infinity;
	let isCutOff = false;

	function silenceOf({sentAt}: InFlight, now: Milliseconds): number {
		return now - Math.max(sentAt, heardAt);
	}

	return {
		add(attempt) {
			inFlight.add(attempt);
			return () => {
				inFlight.delete(attempt);
			};
		},
		recordHeard(now) {
			heardAt = now;
		},
		isSuspicious(now) {
			const silent = [...inFlight].filter(attempt => silenceOf(attempt, now) >= silenceMs);
			return new Set(silent.map(({endpoint}) => endpoint)).size > 1 || silent.some(attempt => silenceOf(attempt, now) >= singleSilenceMs);
		},
		judge(reached, now) {
			const wasCutOff = isCutOff;
			// Some endpoints may be reached while a partition comes or goes.
			isCutOff = wasCutOff ? reached !== 'all' : reached === 'none';
			if (isCutOff && !wasCutOff && now - heardAt >= silenceMs) {
				for (const {onLost} of inFlight) {
					onLost();
				}
			}

			return isCutOff !== wasCutOff;
		},
		isCutOff: () => isCutOff,
	};
}
