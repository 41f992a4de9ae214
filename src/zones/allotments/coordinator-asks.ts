/**
Asks for permits at the coordinator of a workspace, and at the next instance in order if it does not answer. A coordinator that is late,
but replies to something, is asked again with the same number.
*/
import {type AllotmentBounds, maximumPermitAge} from '../../contracts/allotment.js';
import {type Clock} from '../../contracts/clock.js';
import {
	as, type DataCentreId, type Incarnation, type Milliseconds,
} from '../../contracts/id.js';
import {type WorkspaceName} from '../../contracts/workspace.js';
import {type Member} from '../membership.js';
import {createUnresponsivePeers} from '../unresponsive-peers.js';
import {type AllotmentEvent} from './allotment-event.js';
import {type CoordinatorOrder} from './coordinator-order.js';
import {type AllotmentPeers, type AllotmentReply, type PermitAsk} from './messages.js';
import {createPermitAges} from './permit-ages.js';
import {type PermitGrants} from './permit-grants.js';
import {
	messageMarginMs, patienceOf, type Queue, type Waiting,
} from './permit-queue.js';
import {type SlackAsks} from './slack-asks.js';

/** Timeout of one of two attempts, as a fraction of the shortest patience, so that time is left for other instances. */
const timeoutFraction = 0.3;
const minimumTimeoutMs = 30;
const maximumTimeoutMs = 150;

/** Number of instances that are asked in one go: the coordinator and the next one. */
const maximumAsked = 2;
const attempts = 2;

/** Maximum time for which an ask waits for an instance that is late, and a request beyond its patience. */
export const longestWaitMs = 400;

/** Time after which a caller without a coordinator retries, and maximum time for which an instance looks for none. */
export const unavailableRetryMs = 300;

type CandidateAsk = {readonly candidate: Member; readonly isFirst: boolean};

export type CoordinatorAsks = {
	/**
	Asks for permits once: the coordinator, and the next instance if it does not answer. The slack goes before an instance that
	has yet to become the coordinator. Resolves to the requests that still need a permit.
	*/
	readonly ask: (queue: Queue, batch: readonly Waiting[]) => Promise<readonly Waiting[]>;
};

export type CoordinatorAsksOptions = {
	readonly self: () => Member;
	readonly startedAt: Incarnation;
	readonly order: CoordinatorOrder;
	readonly peers: AllotmentPeers;
	readonly bounds: AllotmentBounds;
	readonly grants: Pick<PermitGrants, 'apply'>;
	readonly slack: SlackAsks;
	readonly clock: Clock;
	readonly onEvent: (event: AllotmentEvent) => void;
};

/** Creates the asks of an instance. */
export function createCoordinatorAsks(options: CoordinatorAsksOptions): CoordinatorAsks {
	const {self, order, peers, clock, slack} = options;
	const unreachable = createUnresponsivePeers<DataCentreId>(clock);
	const ages = createPermitAges(clock);
	let lastNumber = 0;

	function createAsk(queue: Queue, batch: readonly Waiting[]): PermitAsk {
		const {workspace, known, returned} = queue;
		// If the ask is lost, so are these permits: whether they have arrived is not known.
		queue.returned = undefined;
		return {
			workspace,
			known,
			asker: {id: self().id, startedAt: options.startedAt},
			number: ++lastNumber,
			patience: patienceOf(batch, clock),
			...(returned && {returned}),
		};
	}

	/** Records that an instance did not answer, and passes its data centre over if two of its instances reply to nothing. */
	function recordUnanswered(workspace: WorkspaceName, {id, dataCentre}: Member): void {
		const silent = order.candidates(workspace).filter(other => other.dataCentre === dataCentre && peers.isPassedOver(other));
		if (dataCentre !== self().dataCentre && silent.length > 1) {
			unreachable.add(dataCentre);
		}

		options.onEvent({kind: 'allotment-unanswered', workspace, instance: id});
	}

	function isAsked(candidate: Member): boolean {
		return !peers.isPassedOver(candidate) && (!peers.isSilent(candidate) || !unreachable.has(candidate.dataCentre));
	}

	/** Asks an instance, and while it is late again with the same number, which counts once. */
	async function askCandidate(queue: Queue, ask: PermitAsk, {candidate, isFirst}: CandidateAsk): Promise<AllotmentReply | undefined> {
		const minimum = as<Milliseconds>(Math.min(maximumTimeoutMs, Math.max(minimumTimeoutMs, Math.min(...ask.patience) * timeoutFraction)));
		const {allotment} = queue.known;
		const maximumAge = allotment.kind === 'limited' ? Math.max(minimum * attempts, maximumPermitAge(allotment, options.bounds)) : Infinity;
		const maximum = Math.max(minimum * attempts, longestWaitMs);
		const askedAt = clock.now();
		const send = async () => peers.request(candidate, {
			kind: 'ask', ask, isFirstUnreachable: !isFirst, isForwarded: false,
		}, {
			minimum, maximum: as<Milliseconds>(Math.max(minimum, maximum - (clock.now() - askedAt))), attempts, lateAttempts: 1,
		});
		queue.isAwaiting = !peers.isSilent(candidate);
		if (!queue.isAwaiting) {
			void slack.followArrivals(queue);
		}

		let reply = await send();
		while (!reply && !peers.isSilent(candidate) && clock.now() - askedAt < maximum) {
			queue.isAwaiting = true;
			void slack.followArrivals(queue);
			reply = await send();
		}

		queue.isAwaiting = false;
		if (reply?.kind === 'decided') {
			queue.isUnanswered = false;
		}

		if (!reply) {
			recordUnanswered(ask.workspace, candidate);
		}

		// Older permits waited for this process, which was late or stood still: they count for an earlier time.
		const isTooOld = reply?.kind === 'decided' && ages.record({tenure: reply.tenure, at: reply.at, askedAt}) > maximumAge + messageMarginMs;
		return isTooOld ? undefined : reply;
	}

	async function ask(queue: Queue, batch: readonly Waiting[]): Promise<readonly Waiting[]> {
		const candidates = order.candidates(queue.workspace);
		const isSearching = clock.now() >= queue.noCoordinatorUntil;
		const responsive = isSearching ? candidates.filter(candidate => isAsked(candidate)) : [];
		const permitAsk = createAsk(queue, batch);
		for (const candidate of responsive.slice(0, maximumAsked)) {
			const isFirst = candidate === candidates[0];
			if (!isFirst) {
				void slack.followArrivals(queue);
				await (queue.slackAsk ?? slack.ask(queue));
			}

			if (batch.length > 0 && batch.every(request => request.isDecided)) {
				return [];
			}

			const reply = await askCandidate(queue, permitAsk, {candidate, isFirst});
			if (reply?.kind === 'decided') {
				options.grants.apply(queue, batch, reply);
				return [];
			}

			if (!reply && !peers.isSilent(candidate)) {
				break;
			}

			const wait = reply?.kind === 'no-coordinator' ? reply.wait : 0;
			queue.noCoordinatorUntil = Math.max(queue.noCoordinatorUntil, clock.now() + Math.min(wait, unavailableRetryMs));
		}

		void slack.followArrivals(queue);
		return batch.filter(request => !request.isDecided);
	}

	return {ask};
}
