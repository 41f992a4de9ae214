/**
Order in which the live members would coordinate a workspace's allotment, and the delegate of each data centre, as one
instance sees them: both by rendezvous hashing over the name of the workspace.
*/
import {type Clock} from '../../contracts/clock.js';
import {
	as, type DataCentreId, type InstanceId, type Milliseconds,
} from '../../contracts/id.js';
import {rankByRendezvous} from '../../contracts/rendezvous.js';
import {type WorkspaceName} from '../../contracts/workspace.js';
import {leaseMs, voteWeights} from '../../machines/allotment-lease.js';
import {type Member} from '../membership.js';
import {candidatesIn} from '../ownership.js';

/** Maximum number of comparisons of instances that are remembered. */
const maximumComparisons = 10_000;

/** Maximum number of earlier views of the own data centre that are kept. */
const maximumViews = 64;

export type CoordinatorOrderOptions = {
	readonly self: () => Member;
	readonly members: () => readonly Member[];
	/** All data centres that have instances, whether or not these can be reached. */
	readonly dataCentres: () => readonly DataCentreId[];
	/** Whether the whole system starts for the first time, so that nobody can have voted before. */
	readonly isFirstStart: boolean;
	readonly clock: Clock;
};

/** Whether the first of two instances comes before the second in the order of a workspace. */
export function isBefore(first: InstanceId, second: InstanceId, workspace: WorkspaceName): boolean {
	return first !== second && rankByRendezvous([first, second], id => id, key(workspace))[0] === first;
}

function key(workspace: WorkspaceName): string {
	return `allotments/${workspace}`;
}

function areSame<Item>(left: readonly Item[], right: readonly Item[]): boolean {
	return left.length === right.length && left.every((item, index) => item === right[index]);
}

export type CoordinatorOrder = ReturnType<typeof createCoordinatorOrder>;

/** Creates the order as seen by an instance that has just started. */
export function createCoordinatorOrder({self, members, dataCentres, isFirstStart, clock}: CoordinatorOrderOptions) {
	let ownIncarnation = self().incarnation;
	let known: readonly Member[] = [];
	const ranked = new Map<WorkspaceName, readonly Member[]>();
	const isBeforeSelf = new Map<string, boolean>();
	/** Candidates of the own data centre in the past, oldest first; this instance counts as one even when it leaves. */
	const views: Array<{readonly at: Milliseconds; readonly candidates: readonly InstanceId[]}> = [];

	function comesBeforeSelf(id: InstanceId, workspace: WorkspaceName): boolean {
		const comparison = `${id}|${workspace}`;
		const result = isBeforeSelf.get(comparison) ?? isBefore(id, self().id, workspace);
		if (isBeforeSelf.size > maximumComparisons) {
			isBeforeSelf.clear();
		}

		isBeforeSelf.set(comparison, result);
		return result;
	}

	/** Records the present view of the own data centre. `isTrusted` tells that no earlier vote can be in force. */
	function observe(isTrusted = false): void {
		const {incarnation, status} = self();
		if (incarnation !== ownIncarnation && status === 'alive') {
			// Others took this instance for dead, or it stood still: another may have been the delegate meanwhile.
			views.length = 0;
		}

		ownIncarnation = incarnation;
		const local = [...new Set([self().id, ...candidatesIn(self().dataCentre, members()).map(({id}) => id)])].toSorted();
		const last = views.at(-1);
		if (!last || !areSame(last.candidates, local)) {
			views.push({at: as<Milliseconds>(clock.now() - (isTrusted ? leaseMs : 0)), candidates: local});
			views.splice(0, views.length - maximumViews);
		}
	}

	/** All live members in the order in which they would coordinate the workspace. */
	function candidates(workspace: WorkspaceName): readonly Member[] {
		const current = members();
		if (!areSame(known, current)) {
			known = current;
			ranked.clear();
		}

		const found = ranked.get(workspace);
		if (found) {
			return found;
		}

		const live = current.filter(({status}) => status === 'alive' || status === 'suspect');
		const order = rankByRendezvous(live, ({id}) => id, key(workspace));
		ranked.set(workspace, order);
		return order;
	}

	observe(isFirstStart);
	return {
		observe,
		candidates,
		/** The instance that votes for a data centre. */
		delegateOf: (dataCentre: DataCentreId, workspace: WorkspaceName) => candidates(workspace).find(member => member.dataCentre === dataCentre),
		/** Votes of each data centre. */
		weights: (workspace: WorkspaceName) => voteWeights(dataCentres(), key(workspace)),
		/** Live neighbours in the order of the workspace, and whether any are known, live or not. */
		neighbours(workspace: WorkspaceName) {
			const {id, dataCentre} = self();
			const known = members().some(member => member.dataCentre === dataCentre && member.id !== id && member.status !== 'leaving');
			return {isKnown: known, live: candidates(workspace).filter(member => member.dataCentre === dataCentre && member.id !== id)};
		},
		/** Neighbour that was or would be the delegate if this instance were not one. */
		precedingDelegate(workspace: WorkspaceName) {
			const others = members().filter(member => member.dataCentre === self().dataCentre && member.id !== self().id && member.status !== 'dead');
			return rankByRendezvous(others, ({id}) => id, key(workspace))[0];
		},
		/** Time since which this instance has been the delegate, but for an instance that came `successor.at`; undefined if it is not. */
		delegateSince(workspace: WorkspaceName, successor?: {readonly id: InstanceId; readonly at: Milliseconds}): Milliseconds | undefined {
			observe();
			let since: Milliseconds | undefined;
			for (const view of views.toReversed()) {
				const isEarlier = successor !== undefined && view.at > successor.at;
				if (view.candidates.some(id => !(isEarlier && id === successor.id) && comesBeforeSelf(id, workspace))) {
					return since;
				}

				since = view.at;
			}

			return since;
		},
		/** Fraction of the known instances of the own data centre that are live. */
		liveFraction() {
			const local = members().filter(member => member.dataCentre === self().dataCentre && member.status !== 'leaving');
			return Math.max(1, local.filter(({status}) => status === 'alive').length) / Math.max(1, local.length);
		},
	};
}
