/**
Allotments of workspaces on one instance. A coordinator, the first of all live instances in the order of a workspace, grants
the whole allotment while delegates of a majority of the data centres vote for it; where it cannot be reached, the delegate of
a data centre grants a share of the slack that the bound leaves. docs/design/workspaces.md explains why that keeps the bound.
*/
import {type AllotmentBounds} from '../../contracts/allotment.js';
import {type Clock} from '../../contracts/clock.js';
import {type DataCentreId, type Incarnation} from '../../contracts/id.js';
import {type WorkspaceName} from '../../contracts/workspace.js';
import {type RequestAllotments} from '../../machines/request-allotments.js';
import {type Member} from '../membership.js';
import {type RelayPeers} from '../relay-peers.js';
import {type AllotmentEvent} from './allotment-event.js';
import {createAllotmentCoordinator} from './coordinator.js';
import {createCoordinatorOrder} from './coordinator-order.js';
import {createDelegate} from './delegate.js';
import {createHeldLeases, type HeldLeases} from './held-leases.js';
import {
	type AllotmentMessage, type AllotmentReply, createAllotmentPeers, type KnownAllotment,
} from './messages.js';
import {createPermitClient} from './permit-client.js';
import {createVoteRounds} from './vote-round.js';

export type AllotmentsOptions = {
	readonly self: () => Member;
	readonly members: () => readonly Member[];
	/** All data centres that have instances, whether or not these can be reached. */
	readonly dataCentres: () => readonly DataCentreId[];
	/** Distinguishes this life of the instance from earlier ones. */
	readonly startedAt: Incarnation;
	/** Whether the whole system starts for the first time. */
	readonly isFirstStart: boolean;
	readonly bounds: AllotmentBounds;
	readonly peers: Pick<RelayPeers, 'request' | 'post' | 'repliedAt'>;
	/** A workspace's allotment in the configuration; undefined if it has no such workspace. */
	readonly allotmentOf: (workspace: WorkspaceName) => KnownAllotment | undefined;
	readonly clock: Clock;
	readonly onEvent: (event: AllotmentEvent) => void;
};

export type Allotments = RequestAllotments & {
	readonly answer: (message: AllotmentMessage) => Promise<AllotmentReply>;
	/** Called when the membership has changed. */
	readonly observeMembers: () => void;
	/** Called when the configuration has changed. */
	readonly prune: () => void;
	/** Hands over what this instance coordinates. */
	readonly leave: () => Promise<void>;
	/** The workspaces that this instance coordinates now, with the levels of their buckets. */
	readonly coordinated: HeldLeases['held'];
};

/** Creates the allotments of an instance. */
export function createAllotments(options: AllotmentsOptions): Allotments {
	/** Statements of askers that are newer than the own configuration. */
	const newer = new Map<WorkspaceName, KnownAllotment>();

	/** The statement of the newest configuration counts, whoever has it: a limit is never taken back to an older one. */
	function newest(workspace: WorkspaceName, known: KnownAllotment): KnownAllotment {
		let best = known;
		for (const other of [options.allotmentOf(workspace), newer.get(workspace)]) {
			best = other && other.generation > best.generation ? other : best;
		}

		newer.set(workspace, best);
		return best;
	}

	const peers = createAllotmentPeers({...options, answer});
	const order = createCoordinatorOrder(options);
	const delegate = createDelegate({...options, order, peers});
	const leases = createHeldLeases({
		...options, order, peers, holdRound: createVoteRounds({order, peers, clock: options.clock}),
	});
	const coordinator = createAllotmentCoordinator({
		...options, order, leases, peers, newest,
	});
	const client = createPermitClient({...options, order, peers});

	function answerSlack({workspace, known, patience}: Extract<AllotmentMessage, {kind: 'ask-slack'}>): AllotmentReply {
		const {allotment} = newest(workspace, known);
		return delegate.grantSlack(workspace, allotment, patience);
	}

	async function answer(message: AllotmentMessage): Promise<AllotmentReply> {
		switch (message.kind) {
			case 'ask': {
				return coordinator.answer(message);
			}

			case 'ask-slack': {
				return answerSlack(message);
			}

			case 'vote': {
				return delegate.vote(message.workspace, message.vote);
			}

			case 'withdraw': {
				delegate.withdraw(message.workspace, message.tenure, message.round);
				return {kind: 'done'};
			}

			case 'inherit': {
				return delegate.passOn(message.workspace, message.to, message.age);
			}

			case 'witness': {
				return delegate.witness(message.workspace, message.record, message.predecessor);
			}

			case 'yield': {
				return leases.yieldTo(message.workspace, message.to);
			}

			case 'hand-over': {
				leases.receive(message.workspace, message.handed);
				return {kind: 'done'};
			}
		}
	}

	return {
		acquire: client.acquire,
		answer,
		observeMembers() {
			order.observe();
			peers.retain(options.members());
		},
		prune() {
			const isKnown = (workspace: WorkspaceName) => options.allotmentOf(workspace) !== undefined;
			for (const workspace of newer.keys()) {
				if (!isKnown(workspace)) {
					newer.delete(workspace);
				}
			}

			client.prune(isKnown);
			delegate.prune(isKnown);
			leases.prune(isKnown);
		},
		leave: leases.handOverAll,
		coordinated: leases.held,
	};
}
