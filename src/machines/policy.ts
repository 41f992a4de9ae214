/**
Scheduling policies. `naive` is the baseline for measurements: round robin over the endpoints, calls in order
of arrival, regardless of caches, health and deadlines.
*/
import {type EndpointId, type Milliseconds, type Tokens} from '../contracts/id.js';
import {type BackEnd} from './back-end.js';
import {chooseBackEnd, type PlacementQuery} from './placement.js';

export type Policy
	= | {readonly kind: 'adaptive'}
		| {readonly kind: 'naive'};

export type Choice
	= | {readonly kind: 'chosen'; readonly backEnd: BackEnd}
		| {readonly kind: 'none'}
	/** The expected wait, `cost` in ms, exceeds the time left. */
		| {readonly kind: 'too-late'; readonly cost: number};

/** Time by which a call is placed further back in the queue for every token that its program has already used. */
const queueDelayMsPerToken = 2;

export type Scheduler = {
	readonly choose: (backEnds: readonly BackEnd[], query: PlacementQuery, timeLeft: Milliseconds) => Choice;
	/** Sort key of a call in a queue; the smallest goes first. `now` and the result are in ms. */
	readonly sortKey: (now: Milliseconds, attained: Tokens) => number;
};

/** Creates the scheduler of an instance. */
export function createScheduler(policy: Policy): Scheduler {
	let turn = 0;

	function chooseRoundRobin(backEnds: readonly BackEnd[], excluded: ReadonlySet<EndpointId>): Choice {
		const untried = backEnds.filter(backEnd => !excluded.has(backEnd.endpoint.id));
		const backEnd = untried[turn++ % Math.max(1, untried.length)];
		return backEnd ? {kind: 'chosen', backEnd} : {kind: 'none'};
	}

	function chooseCheapest(backEnds: readonly BackEnd[], query: PlacementQuery, timeLeft: Milliseconds): Choice {
		const best = chooseBackEnd(backEnds, query);
		if (!best) {
			return {kind: 'none'};
		}

		return best.cost > timeLeft ? {kind: 'too-late', cost: best.cost} : {kind: 'chosen', backEnd: best.backEnd};
	}

	return {
		choose(backEnds, query, timeLeft) {
			switch (policy.kind) {
				case 'adaptive': {
					return chooseCheapest(backEnds, query, timeLeft);
				}

				case 'naive': {
					return chooseRoundRobin(backEnds, query.excluded);
				}
			}
		},
		sortKey(now, attained) {
			switch (policy.kind) {
				case 'adaptive': {
					// Least attained service with aging: time spent waiting offsets the tokens already used.
					return now + (attained * queueDelayMsPerToken);
				}

				case 'naive': {
					return now;
				}
			}
		},
	};
}
