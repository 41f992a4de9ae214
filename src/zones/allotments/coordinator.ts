/**
Coordinator of workspaces' allotments on one instance: grants permits while it holds the lease, and otherwise tries to
acquire it, or passes the ask on to the instance that holds it.
*/
import {type Clock} from '../../contracts/clock.js';
import {as, type Milliseconds} from '../../contracts/id.js';
import {type WorkspaceName} from '../../contracts/workspace.js';
import {bucketLimitOf} from '../../machines/allotment-bucket.js';
import {type Member} from '../membership.js';
import {type ReplyBounds} from '../reply-times.js';
import {type AllotmentEvent} from './allotment-event.js';
import {type CoordinatorOrder} from './coordinator-order.js';
import {type HeldLease, type HeldLeases} from './held-leases.js';
import {
	type AllotmentMessage, type AllotmentPeers, type AllotmentReply, type InstanceAddress, type KnownAllotment, type PermitAsk,
} from './messages.js';

/** Limits of an ask that is passed on; the asker waits meanwhile. */
const forwardBounds: ReplyBounds = {
	minimum: as<Milliseconds>(25), maximum: as<Milliseconds>(200), attempts: 1, lateAttempts: 1,
};

/** Time after which an asker that got no decision asks again, if nothing better is known. */
const defaultWait = as<Milliseconds>(100);

/** Maximum number of answers that are kept for asks that arrive again. */
const maximumAnswers = 2000;

export type AllotmentCoordinatorOptions = {
	readonly self: () => Member;
	readonly order: CoordinatorOrder;
	readonly leases: HeldLeases;
	readonly peers: AllotmentPeers;
	/** The newest statement of a workspace's allotment, given that of an asker. */
	readonly newest: (workspace: WorkspaceName, known: KnownAllotment) => KnownAllotment;
	readonly clock: Clock;
	readonly onEvent: (event: AllotmentEvent) => void;
};

export type AllotmentCoordinator = {
	readonly answer: (message: Extract<AllotmentMessage, {kind: 'ask'}>) => Promise<AllotmentReply>;
};

/** Creates the part of an instance as a coordinator. */
export function createAllotmentCoordinator(options: AllotmentCoordinatorOptions): AllotmentCoordinator {
	const {self, order, leases, peers, clock} = options;
	/** The last answer to each asker, with the number of the ask. */
	const answers = new Map<string, {readonly number: number; readonly reply: Promise<AllotmentReply>}>();

	function grant({workspace, patience, returned, known}: PermitAsk, lease: HeldLease | undefined): AllotmentReply {
		const {allotment} = options.newest(workspace, known);
		const now = clock.now();
		if (allotment.kind === 'unlimited' || !lease) {
			return {
				kind: 'decided', tenure: undefined, delays: patience.map(() => as<Milliseconds>(0)), wait: as<Milliseconds>(0),
			};
		}

		const {bucket, tenure, validUntil} = lease;
		const limit = bucketLimitOf(allotment);
		if (returned?.tenure === tenure) {
			bucket.giveBack(returned.count);
		}

		return {
			kind: 'decided',
			tenure,
			delays: patience.map(time => bucket.take(limit, Math.min(time, validUntil - now), now) ?? 'none'),
			wait: bucket.wait(limit, now),
			at: now,
		};
	}

	async function forward(ask: PermitAsk, to: InstanceAddress | undefined, wait: Milliseconds): Promise<AllotmentReply> {
		if (to === undefined || to.id === self().id || peers.isPassedOver(to)) {
			return {kind: 'no-coordinator', wait};
		}

		const reply = await peers.request(to, {
			kind: 'ask', ask, isFirstUnreachable: false, isForwarded: true,
		}, forwardBounds);
		if (!reply) {
			options.onEvent({kind: 'allotment-unanswered', workspace: ask.workspace, instance: to.id});
		}

		return reply ?? {kind: 'no-coordinator', wait};
	}

	async function decide({ask, isFirstUnreachable, isForwarded}: Extract<AllotmentMessage, {kind: 'ask'}>): Promise<AllotmentReply> {
		const {workspace} = ask;
		const {allotment} = options.newest(workspace, ask.known);
		if (allotment.kind === 'unlimited') {
			return grant(ask, undefined);
		}

		const limit = bucketLimitOf(allotment);
		const lease = leases.current(workspace, limit);
		if (lease) {
			return grant(ask, lease);
		}

		const [first] = order.candidates(workspace);
		const isNext = first?.id === self().id || (isFirstUnreachable && !isForwarded) || leases.hasBucket(workspace);
		const isCandidate = isNext && self().status !== 'leaving';
		if (!isCandidate) {
			return isForwarded ? {kind: 'no-coordinator', wait: defaultWait} : forward(ask, first, defaultWait);
		}

		const outcome = await leases.acquire(workspace, limit);
		switch (outcome.kind) {
			case 'held': {
				return grant(ask, outcome.lease);
			}

			case 'held-elsewhere': {
				return isForwarded ? {kind: 'no-coordinator', wait: outcome.remaining} : forward(ask, outcome.holder, outcome.remaining);
			}

			case 'unavailable': {
				return {kind: 'no-coordinator', wait: outcome.wait};
			}
		}
	}

	return {
		async answer(message) {
			const {workspace, asker: {id, startedAt}, number} = message.ask;
			const key = `${id}@${startedAt}|${workspace}`;
			const last = answers.get(key);
			if (last && last.number >= number) {
				return last.number === number ? last.reply : {kind: 'no-coordinator', wait: defaultWait};
			}

			const reply = decide(message);
			answers.delete(key);
			answers.set(key, {number, reply});
			const [oldest] = answers.keys();
			if (answers.size > maximumAnswers && oldest !== undefined) {
				answers.delete(oldest);
			}

			return reply;
		},
	};
}
