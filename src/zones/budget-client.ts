/**
Client side of token budgets: finds the coordinator of a program, wherever its home is, and asks it.
*/
import {type Clock} from '../contracts/clock.js';
import {
	as, type AttemptId, type DataCentreId, type InstanceId, type Milliseconds, type ProgramId, type Tokens,
} from '../contracts/id.js';
import {type ReservationRequest} from '../contracts/reservation.js';
import {type PromptLocation, type PromptLocations} from '../machines/prompt-locations.js';
import {createAskedCoordinators} from './asked-coordinators.js';
import {type BudgetCoordinator} from './budget-coordinator.js';
import {type BudgetEvent} from './budget-event.js';
import {type Member} from './membership.js';
import {type OwnerRanks} from './owner-ranks.js';
import {dataCentresOf, rankDataCentres} from './ownership.js';
import {createPendingSettlements, settlementFor} from './pending-settlements.js';
import {type RelayPeers, type ReservationOutcome} from './relay-peers.js';
import {createReplyTimes, type ReplyBounds} from './reply-times.js';
import {createUnresponsivePeers} from './unresponsive-peers.js';

/** Limits of a reservation; a coordinator replies within milliseconds unless it is short of processor time. */
const askBounds: ReplyBounds = {
	minimum: as<Milliseconds>(120), maximum: as<Milliseconds>(400), attempts: 2, lateAttempts: 1,
};

/** Maximum number of instances of one data centre that are asked in turn; several may be restarting at the same time. */
const maximumAsked = 4;

/** Number of instances of another data centre that fail to reply before the data centre is skipped as unreachable for a while. */
const maximumUnanswered = 2;

/** Limits of a settlement, for which nobody waits. */
const settleBounds: ReplyBounds = {
	minimum: as<Milliseconds>(100), maximum: as<Milliseconds>(1000), attempts: 4, lateAttempts: 2,
};

/** The same for a settlement that was not acknowledged, which is sent again once a second. */
const resendBounds: ReplyBounds = {...settleBounds, attempts: 1, lateAttempts: 1};

/** How a coordinator is asked: as the home or as a fallback for it, and by an entry instance or by an instance that forwards. */
export type QueryMode = {readonly isHomeUnreachable: boolean; readonly isForwarded: boolean};

const direct: QueryMode = {isHomeUnreachable: false, isForwarded: false};
export const forwarding: QueryMode = {isHomeUnreachable: false, isForwarded: true};

/**
What a coordinator decided, where the program's prompts are cached, and which member it is; `coordinator` is undefined
for this instance.
*/
export type CoordinatorReply = {readonly outcome: ReservationOutcome; readonly places: readonly PromptLocation[]; readonly coordinator: Member | undefined};

/** Final usage of a call that has ended. */
export type Settlement = {
	readonly program: ProgramId;
	readonly attempt: AttemptId;
	readonly used: Tokens;
	/** Where its prompt is now cached. */
	readonly place: PromptLocation | undefined;
	/** Whether the attempt has ended or was never sent, and others may still have it reserved; it is then over for all of them. */
	readonly isOver: boolean;
};

export type BudgetClient = {
	/** Finds the program's home and asks its coordinator; undefined when the home cannot be reached. */
	readonly askHome: (request: ReservationRequest) => Promise<CoordinatorReply | undefined>;
	/** Asks a coordinator that may grant a part of the budget without the home. Instances that reach each other choose the same one. */
	readonly askFallback: (request: ReservationRequest) => Promise<CoordinatorReply>;
	/** Asks the instances of a data centre in rendezvous order; undefined when none can decide. */
	readonly askDataCentre: (dataCentre: DataCentreId, request: ReservationRequest, mode: QueryMode) => Promise<CoordinatorReply | undefined>;
	/** Tells all that were asked for an attempt that it was never sent, if some did not reply and may still have it reserved. */
	readonly endUnsent: (request: Pick<ReservationRequest, 'program' | 'attempt'>) => void;
	/** Whether a coordinator that was asked for an attempt, here or by an instance that forwarded the question, did not reply. */
	readonly isUnanswered: (attempt: AttemptId) => boolean;
	/** The same, which is then forgotten: whether a coordinator did not reply, so that it may still have it reserved when the attempt ends. */
	readonly takeUnanswered: (attempt: AttemptId) => boolean;
	/** Notifies a coordinator that a call has ended, and again until it acknowledges that. Does not wait for the reply. */
	readonly settleAt: (coordinator: Member, settlement: Settlement) => void;
	/** Withdraws a question from a coordinator, once: another question for the attempt may reach it later. */
	readonly withdrawAt: (coordinator: Member, settlement: Settlement) => void;
	/** Notifies coordinators again that have not acknowledged, and drops the cached homes of programs that are no longer known. */
	readonly prune: (isKnown: (program: ProgramId) => boolean) => void;
};

export type BudgetClientOptions = {
	readonly self: () => Member;
	readonly members: () => readonly Member[];
	readonly ranks: OwnerRanks;
	readonly peers: Pick<RelayPeers, 'request' | 'repliedAt'>;
	readonly clock: Clock;
	readonly localCoordinator: BudgetCoordinator;
	readonly places: PromptLocations;
	readonly homeOf: (program: ProgramId) => DataCentreId | undefined;
	readonly onEvent: (event: BudgetEvent) => void;
};

/** Creates the client side of one instance. */
export function createBudgetClient(options: BudgetClientOptions): BudgetClient {
	const {clock, localCoordinator} = options;
	const unresponsive = createUnresponsivePeers<InstanceId>(clock);
	const unreachableDataCentres = createUnresponsivePeers<DataCentreId>(clock);
	const homes = new Map<ProgramId, DataCentreId>();
	const replyTimes = createReplyTimes(options.peers.repliedAt, clock);
	const questions = createAskedCoordinators(clock);
	const pending = createPendingSettlements(clock);

	async function askRemote(coordinator: Member, request: ReservationRequest, {isHomeUnreachable, isForwarded}: QueryMode): Promise<CoordinatorReply | undefined> {
		const sentAt = clock.now();
		questions.add(request.attempt, coordinator);
		const reply = await options.peers.request(coordinator.address, {
			kind: 'reserve', reservation: request, isHomeUnreachable, isForwarded,
		}, replyTimes.next(coordinator, askBounds));
		if (reply?.kind === 'reservation') {
			replyTimes.recordReply(coordinator, as<Milliseconds>(clock.now() - sentAt));
			if (reply.isUnanswered) {
				questions.markUnanswered(request.attempt);
			}

			return {outcome: reply.outcome, places: reply.places, coordinator};
		}

		replyTimes.recordTimeout(coordinator);
		unresponsive.add(coordinator.id);
		options.onEvent({
			kind: 'keeper-silent', request: request.attempt, program: request.program, keeper: coordinator.id,
		});
		questions.markUnanswered(request.attempt);
		// The reservation may have been made although no reply arrived. Another coordinator may grant it yet, so it is not over.
		withdrawAt(coordinator, {
			program: request.program, attempt: request.attempt, used: as<Tokens>(0), place: undefined, isOver: false,
		});
		return undefined;
	}

	async function askLocal(request: ReservationRequest, isHomeUnreachable: boolean): Promise<CoordinatorReply> {
		const outcome = await localCoordinator.reserveLocally(request, isHomeUnreachable);
		return {outcome, places: options.places.of(request.program), coordinator: undefined};
	}

	async function askDataCentre(dataCentre: DataCentreId, request: ReservationRequest, mode: QueryMode): Promise<CoordinatorReply | undefined> {
		const self = options.self();
		if (unreachableDataCentres.has(dataCentre)) {
			return undefined;
		}

		let unanswered = 0;
		const candidates = options.ranks.of(dataCentre, request.program, options.members()).filter(member => !unresponsive.has(member.id));
		for (const candidate of candidates.slice(0, maximumAsked)) {
			const reply = candidate.id === self.id ? await askLocal(request, mode.isHomeUnreachable) : await askRemote(candidate, request, mode);
			if (reply && reply.outcome.kind !== 'cold') {
				return reply;
			}

			unanswered += reply ? 0 : 1;
			if (unanswered >= maximumUnanswered && dataCentre !== self.dataCentre) {
				unreachableDataCentres.add(dataCentre);
				break;
			}
		}

		return undefined;
	}

	async function askHome(request: ReservationRequest): Promise<CoordinatorReply | undefined> {
		const first = homes.get(request.program) ?? options.self().dataCentre;
		const reply = await askDataCentre(first, request, direct);
		if (reply?.outcome.kind !== 'elsewhere') {
			return reply;
		}

		homes.set(request.program, reply.outcome.home);
		const second = await askDataCentre(reply.outcome.home, request, direct);
		return second?.outcome.kind === 'elsewhere' ? undefined : second;
	}

	/** Resolves to whether the coordinator has acknowledged the settlement. */
	async function sendSettlement(coordinator: Member, settlement: Settlement, bounds: ReplyBounds): Promise<boolean> {
		const reply = await options.peers.request(coordinator.address, {kind: 'settle', ...settlement}, replyTimes.next(coordinator, bounds));
		return reply !== undefined;
	}

	async function settleUntilAcknowledged(coordinator: Member, settlement: Settlement, bounds: ReplyBounds, sentAt: Milliseconds): Promise<void> {
		if (!await sendSettlement(coordinator, settlement, bounds)) {
			pending.add(coordinator, settlement, sentAt);
		}
	}

	function settleAt(coordinator: Member, settlement: Settlement): void {
		const current = options.members().find(({id}) => id === coordinator.id) ?? coordinator;
		void settleUntilAcknowledged(current, settlementFor(current, coordinator, settlement), settleBounds, clock.now());
	}

	function withdrawAt(coordinator: Member, settlement: Settlement): void {
		void sendSettlement(coordinator, settlement, settleBounds);
	}

	async function askFallback(request: ReservationRequest): Promise<CoordinatorReply> {
		const home = homes.get(request.program) ?? options.homeOf(request.program);
		const dataCentres = dataCentresOf(options.members()).filter(dataCentre => dataCentre !== home);
		for (const dataCentre of rankDataCentres(request.program, dataCentres)) {
			const reply = await askDataCentre(dataCentre, request, {isHomeUnreachable: true, isForwarded: false});
			if (reply) {
				return reply;
			}
		}

		return askLocal(request, true);
	}

	function endUnsent({program, attempt}: Pick<ReservationRequest, 'program' | 'attempt'>): void {
		const {coordinators, isUnanswered} = questions.take(attempt);
		if (!isUnanswered) {
			return;
		}

		const settlement = {
			program, attempt, used: as<Tokens>(0), place: undefined, isOver: true,
		};
		localCoordinator.settle(program, attempt, settlement.used, settlement.isOver);
		for (const coordinator of coordinators) {
			settleAt(coordinator, settlement);
		}
	}

	return {
		askHome,
		askFallback,
		endUnsent,
		isUnanswered: questions.isUnanswered,
		takeUnanswered: attempt => questions.take(attempt).isUnanswered,
		askDataCentre,
		settleAt,
		withdrawAt,
		prune(isKnown) {
			questions.prune();
			pending.resend(options.members(), (coordinator, settlement, sentAt) => {
				void settleUntilAcknowledged(coordinator, settlement, resendBounds, sentAt);
			});
			replyTimes.retain(options.members());
			for (const program of homes.keys()) {
				if (!isKnown(program)) {
					homes.delete(program);
				}
			}
		},
	};
}
