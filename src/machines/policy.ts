/**
Scheduling policies. `naive` is the baseline that measurements compare with: endpoints in turn, calls
in order of arrival, no regard to caches, health or deadlines.
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
	/** The expected wait, in ms, is longer than the caller is willing to wait. */
		| {readonly kind: 'too-late'; readonly cost: number};

/** Delay in the queue that a program accepts for every token it has already used. */
const queueMsPerToken = 2;

export type Scheduler = {
	readonly choose: (backEnds: readonly BackEnd[], query: PlacementQuery, patience: Milliseconds) => Choice;
	/** Place of a call in a queue; smaller goes first. `now` and the result are in ms. */
	readonly sortKey: (now: Milliseconds, attained: Tokens) => number;
};

/** Creates the scheduler of an instance. */
export function createScheduler(policy: Policy): Scheduler {
	let turn = 0;

	function chooseInTurn(backEnds: readonly BackEnd[], excluded: ReadonlySet<EndpointId>): Choice {
		const untried = backEnds.filter(backEnd => !excluded.has(backEnd.endpoint.id));
		const backEnd = untried[turn++ % Math.max(1, untried.length)];
		return backEnd ? {kind: 'chosen', backEnd} : {kind: 'none'};
	}

	function chooseCheapest(backEnds: readonly BackEnd[], query: PlacementQuery, patience: Milliseconds): Choice {
		const best = chooseBackEnd(backEnds, query);
		if (!best) {
			return {kind: 'none'};
		}

		return best.cost > patience ? {kind: 'too-late', cost: best.cost} : {kind: 'chosen', backEnd: best.backEnd};
	}

	return {
		choose(backEnds, query, patience) {
			switch (policy.kind) {
				case 'adaptive': {
					return chooseCheapest(backEnds, query, patience);
				}

				case 'naive': {
					return chooseInTurn(backEnds, query.excluded);
				}
			}
		},
		sortKey(now, attained) {
			switch (policy.kind) {
				case 'adaptive': {
					// Least attained service with aging: waiting counts against what was already used.
					return now + (attained * queueMsPerToken);
				}

				case 'naive': {
					return now;
				}
			}
		},
	};
}
