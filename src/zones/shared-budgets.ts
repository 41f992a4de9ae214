/**
Budgets of programs over all instances. The data centre in which a program is first seen becomes its home;
there a keeper, chosen by rendezvous hashing, reserves for all entries. Everyone is told the home, and the
instances that would count next are told the account. Where the home cannot be reached, another keeper grants
up to half of the budget, so that both sides of a cut go on serving without overrunning it (see `Entitlement`).
*/
import {
	as, type AttemptId, type Milliseconds,
} from '../contracts/id.js';
import {type TokenAccount, type ReservationRequest} from '../contracts/token-ledger.js';
import {createPromptLocations} from '../machines/prompt-locations.js';
import {type GrantedReservation, type Reservation, type TokenBudgets} from '../machines/token-budgets.js';
import {type BudgetCoordinatorOptions, createBudgetCoordinator} from './budget-coordinator.js';
import {
	createBudgetClient, forwarding, type CoordinatorReply, type Settlement,
} from './budget-client.js';
import {type Member} from './membership.js';
import {isOwner} from './ownership.js';
import {type RelayMessage, type RelayReply} from './relay-peers.js';

/** How often accounts that have lapsed are dropped, and failed messages about accounts are sent again. */
const maintenanceMs = 1000;

/** Forwarded reservations that are remembered until they are settled; an entry that died never settles its own. */
const mostForwarded = 2000;

/** Time after which a caller whose budget cannot be asked for now may come back. */
const retryAfterMs = 300;

export type SharedBudgets = TokenBudgets & {
	/** Answers an entry or another keeper; undefined when the message is about something else. */
	readonly answer: (message: RelayMessage) => Promise<RelayReply | undefined>;
	/** Takes accounts over from a peer. */
	readonly receive: (accounts: readonly TokenAccount[]) => void;
	/** Members came or went: whoever keeps a program now has to know its account. */
	readonly rebalance: () => void;
	readonly run: (signal: AbortSignal) => Promise<void>;
};

export type SharedBudgetsOptions = BudgetCoordinatorOptions;

/** Creates the keepers' part of one instance. */
export function createSharedBudgets(options: SharedBudgetsOptions): SharedBudgets {
	const {ledger, clock} = options;
	const counter = createBudgetCoordinator(options);
	const places = createPromptLocations();
	const queries = createBudgetClient({
		...options, counter, places, homeOf: ledger.home,
	});
	/** Keepers that granted what this instance was asked for. */
	const forwarded = new Map<AttemptId, Member>();

	function settleHere(settlement: Settlement): void {
		const {program, attempt, used, place} = settlement;
		const keeper = forwarded.get(attempt);
		if (keeper) {
			forwarded.delete(attempt);
			queries.settleAt(keeper, settlement);
			return;
		}

		counter.settle(program, attempt, used);
		if (place) {
			places.add(program, place);
		}
	}

	function settler(keeper: Member | undefined, {program, attempt}: ReservationRequest): GrantedReservation['settle'] {
		return (used, place) => {
			const settlement = {
				program, attempt, used, place,
			};
			if (keeper) {
				queries.settleAt(keeper, settlement);
			} else {
				settleHere(settlement);
			}
		};
	}

	function rememberForward(attempt: AttemptId, {outcome, keeper}: CoordinatorReply): void {
		if (outcome.kind !== 'granted' || !keeper) {
			return;
		}

		forwarded.set(attempt, keeper);
		const [oldest] = forwarded.keys();
		if (forwarded.size > mostForwarded && oldest !== undefined) {
			forwarded.delete(oldest);
		}
	}

	/**
	Answers an entry. Views differ after a cut: the entry may have asked an instance that is not the keeper, or
	one that reaches the home although the entry does not. Such an instance asks in the entry's place.
	*/
	async function answerEntry(request: ReservationRequest, isHomeUnreachable: boolean): Promise<RelayReply> {
		const self = options.self();
		const home = ledger.home(request.program) ?? self.dataCentre;
		const isHome = home === self.dataCentre;
		if (options.isWarm() && (isHome ? !isOwner(self, request.program, options.members()) : isHomeUnreachable)) {
			const ruling = await queries.askDataCentre(home, request, forwarding);
			if (ruling && ruling.outcome.kind !== 'elsewhere') {
				rememberForward(request.attempt, ruling);
				return {kind: 'reservation', outcome: ruling.outcome, places: ruling.places};
			}
		}

		return answerKeeper(request, isHomeUnreachable);
	}

	async function answerKeeper(request: ReservationRequest, isHomeUnreachable: boolean): Promise<RelayReply> {
		const outcome = await counter.reserveLocally(request, isHomeUnreachable);
		return {kind: 'reservation', outcome, places: places.of(request.program)};
	}

	function toReservation({outcome, places: known, keeper}: CoordinatorReply, request: ReservationRequest): Reservation {
		switch (outcome.kind) {
			case 'granted': {
				return {kind: 'granted', places: known, settle: settler(keeper, request)};
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
		return toReservation(await queries.askHome(request) ?? await queries.askFallback(request), request);
	}

	return {
		reserve,
		async answer(message) {
			switch (message.kind) {
				case 'reserve': {
					const {reservation, isHomeUnreachable, isForwarded} = message;
					return isForwarded ? answerKeeper(reservation, isHomeUnreachable) : answerEntry(reservation, isHomeUnreachable);
				}

				case 'settle': {
					settleHere(message);
					return {kind: 'done'};
				}

				case 'accounts': {
					const accounts = counter.receive(message.accounts);
					if (!message.isPassedOn) {
						counter.rebroadcast(message.accounts);
					}

					return accounts.length > 0 ? {kind: 'accounts', accounts} : {kind: 'done'};
				}

				case 'record': {
					return {kind: 'recorded', isWritten: await counter.writeOnBehalf(message.record)};
				}

				case 'gossip':
				case 'endpoints':
				case 'announce':
				case 'loads': {
					return undefined;
				}
			}
		},
		receive(accounts) {
			counter.receive(accounts);
		},
		rebalance: counter.rebalance,
		async run(signal) {
			while (!signal.aborted) {
				await clock.sleep(as<Milliseconds>(maintenanceMs), signal);
				counter.maintain();
				queries.prune(program => ledger.home(program) !== undefined);
			}
		},
	};
}
