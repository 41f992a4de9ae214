/**
Budgets of programs, shared by all instances. The data centre in which a program is first seen becomes its home;
there a coordinator, chosen by rendezvous hashing, reserves tokens for all entry instances. The home is announced to every
instance, and the account is replicated to the instances that would take over as coordinator. Where the home cannot
be reached, a coordinator of another data centre grants up to half of the budget, so that both sides of a network
partition keep serving without overrunning it (see `Entitlement`).
*/
import {
	as, type AttemptId, type Milliseconds, type Tokens,
} from '../contracts/id.js';
import {type TokenAccount} from '../contracts/token-account.js';
import {type ReservationRequest} from '../contracts/reservation.js';
import {createPromptLocations} from '../machines/prompt-locations.js';
import {type GrantedReservation, type Reservation, type TokenBudgets} from '../machines/token-budgets.js';
import {type BudgetCoordinatorOptions, createBudgetCoordinator} from './budget-coordinator.js';
import {
	createBudgetClient, forwarding, type CoordinatorReply, type Settlement,
} from './budget-client.js';
import {type Member} from './membership.js';
import {createOwnerRanks} from './owner-ranks.js';
import {createRecentAttempts} from './recent-attempts.js';
import {type RelayMessage, type RelayReply, type ReservationOutcome} from './relay-peers.js';

/** Interval at which expired accounts are dropped and unacknowledged accounts are resent. */
const maintenanceIntervalMs = 1000;

/** Maximum number of forwarded reservations that are tracked until they are settled; an entry instance that crashes never settles its own. */
const maximumForwarded = 2000;

/** Retry-after time for a caller whose budget cannot be determined now. */
const retryAfterMs = 300;

export type SharedBudgets = TokenBudgets & {
	/** Answers an entry instance or another coordinator; undefined when the message does not concern budgets. */
	readonly answer: (message: RelayMessage) => Promise<RelayReply | undefined>;
	/** Merges accounts from a peer. */
	readonly receive: (accounts: readonly TokenAccount[]) => void;
	/** Called when the membership has changed: sends accounts to the instances that now coordinate or replicate them. */
	readonly rebalance: () => void;
	readonly run: (signal: AbortSignal) => Promise<void>;
};

export type SharedBudgetsOptions = Omit<BudgetCoordinatorOptions, 'ranks'>;

/** Creates one instance's part of the shared budgets. */
export function createSharedBudgets(options: SharedBudgetsOptions): SharedBudgets {
	const {ledger, clock} = options;
	const ranks = createOwnerRanks();
	const localCoordinator = createBudgetCoordinator({...options, ranks});
	const places = createPromptLocations();
	const client = createBudgetClient({
		...options, ranks, localCoordinator, places, homeOf: ledger.home,
	});
	/** Coordinators that granted reservations which this instance forwarded. */
	const forwarded = new Map<AttemptId, Member>();
	const settlements = createRecentAttempts<Settlement>(clock);
	const answers = createRecentAttempts<{readonly isHomeUnreachable: boolean; readonly reply: Promise<RelayReply>}>(clock);

	/** Passes on what the instance that asked has said: that the call has ended, or that it does not wait for the reply any more. */
	function forwardSettlement(coordinator: Member, settlement: Settlement): void {
		if (settlement.isOver || settlement.used > 0) {
			client.settleAt(coordinator, settlement);
		} else {
			client.withdrawAt(coordinator, settlement);
		}
	}

	function settleLocally(settlement: Settlement): void {
		const {program, attempt, used, place} = settlement;
		settlements.record(attempt, settlement);
		const isOver = settlement.isOver || (used > 0 && client.takeUnanswered(attempt));
		if (isOver && used === 0) {
			client.endUnsent(settlement);
		}

		const coordinator = forwarded.get(attempt);
		if (coordinator) {
			forwarded.delete(attempt);
			forwardSettlement(coordinator, {...settlement, isOver});
			// A copy of the question may have been reserved here as well.
			localCoordinator.settle(program, attempt, as<Tokens>(0), isOver && used === 0);
			return;
		}

		localCoordinator.settle(program, attempt, used, isOver);
		if (place) {
			places.add(program, place);
		}
	}

	function settler(coordinator: Member | undefined, {program, attempt}: ReservationRequest): GrantedReservation['settle'] {
		return (used, place) => {
			const settlement = {
				program, attempt, used, place, isOver: client.takeUnanswered(attempt),
			};
			if (coordinator) {
				client.settleAt(coordinator, settlement);
			} else {
				settleLocally(settlement);
			}
		};
	}

	/** Remembers who granted a forwarded reservation. Returns the outcome for the instance that asked, which may have given up meanwhile. */
	function recordForward(attempt: AttemptId, {outcome, coordinator}: CoordinatorReply): ReservationOutcome {
		if (outcome.kind !== 'granted' || !coordinator) {
			return outcome;
		}

		const settlement = settlements.of(attempt);
		if (settlement) {
			forwardSettlement(coordinator, settlement);
			return {kind: 'withheld'};
		}

		forwarded.set(attempt, coordinator);
		const [oldest] = forwarded.keys();
		if (forwarded.size > maximumForwarded && oldest !== undefined) {
			forwarded.delete(oldest);
		}

		return outcome;
	}

	/**
	Answers an entry instance. Membership views may differ after a partition: it may have asked an instance that is not
	the coordinator, or one that reaches the home although it does not itself. Such an instance forwards the request.
	*/
	async function decideForEntry(request: ReservationRequest, isHomeUnreachable: boolean): Promise<RelayReply> {
		const self = options.self();
		const home = ledger.home(request.program) ?? self.dataCentre;
		const isHome = home === self.dataCentre;
		if (options.isWarm() && (isHome ? !ranks.isAmongOwners(self, request.program, options.members()) : isHomeUnreachable)) {
			const reply = await client.askDataCentre(home, request, forwarding);
			if (reply && reply.outcome.kind !== 'elsewhere') {
				return {kind: 'reservation', outcome: recordForward(request.attempt, reply), places: reply.places};
			}
		}

		return answerLocally(request, isHomeUnreachable);
	}

	/** Decides, and tells whether others may have reserved the attempt: only the instance that asks knows when it is over. */
	async function answerFirst(request: ReservationRequest, isHomeUnreachable: boolean): Promise<RelayReply> {
		const reply = await decideForEntry(request, isHomeUnreachable);
		return reply.kind === 'reservation' && client.isUnanswered(request.attempt) ? {...reply, isUnanswered: true} : reply;
	}

	/** Answers copies of a question alike, so that they reserve at the same coordinator, which the settlement reaches. */
	async function answerEntry(request: ReservationRequest, isHomeUnreachable: boolean): Promise<RelayReply> {
		const known = answers.of(request.attempt);
		if (known?.isHomeUnreachable === isHomeUnreachable) {
			return known.reply;
		}

		const reply = answerFirst(request, isHomeUnreachable);
		answers.record(request.attempt, {isHomeUnreachable, reply});
		return reply;
	}

	async function answerLocally(request: ReservationRequest, isHomeUnreachable: boolean): Promise<RelayReply> {
		const outcome = await localCoordinator.reserveLocally(request, isHomeUnreachable);
		return {kind: 'reservation', outcome, places: places.of(request.program)};
	}

	function toReservation({outcome, places: known, coordinator}: CoordinatorReply, request: ReservationRequest): Reservation {
		switch (outcome.kind) {
			case 'granted': {
				return {kind: 'granted', places: known, settle: settler(coordinator, request)};
			}

			case 'exhausted': {
				return {kind: 'exhausted'};
			}

			case 'withheld':
			case 'cold':
			case 'elsewhere': {
				return {kind: 'unknown', retryAfter: as<Milliseconds>(retryAfterMs)};
			}
		}
	}

	async function reserve(request: ReservationRequest): Promise<Reservation> {
		const reservation = toReservation(await client.askHome(request) ?? await client.askFallback(request), request);
		if (reservation.kind !== 'granted') {
			client.endUnsent(request);
		}

		return reservation;
	}

	return {
		reserve,
		async answer(message) {
			switch (message.kind) {
				case 'reserve': {
					const {reservation, isHomeUnreachable, isForwarded} = message;
					return isForwarded ? answerLocally(reservation, isHomeUnreachable) : answerEntry(reservation, isHomeUnreachable);
				}

				case 'settle': {
					settleLocally({...message, isOver: message.isOver ?? false});
					return {kind: 'done'};
				}

				case 'accounts': {
					const {newer, reassigned} = localCoordinator.receive(message.accounts);
					if (message.isAnnouncement) {
						localCoordinator.passOn(message.accounts);
					} else if (!message.isPassedOn) {
						localCoordinator.rebroadcast(reassigned);
					}

					return newer.length > 0 ? {kind: 'accounts', accounts: newer} : {kind: 'done'};
				}

				case 'record': {
					return {kind: 'recorded', isWritten: await localCoordinator.writeOnBehalf(message.record)};
				}

				case 'gossip':
				case 'archives':
				case 'endpoints':
				case 'announce':
				case 'digest':
				case 'permit':
				case 'origin':
				case 'find-origin':
				case 'allotment':
				case 'loads': {
					return undefined;
				}
			}
		},
		receive(accounts) {
			localCoordinator.receive(accounts);
		},
		rebalance: localCoordinator.rebalance,
		async run(signal) {
			while (!signal.aborted) {
				await clock.sleep(as<Milliseconds>(maintenanceIntervalMs), signal);
				localCoordinator.maintain();
				settlements.prune();
				answers.prune();
				client.prune(program => ledger.home(program) !== undefined);
			}
		},
	};
}
