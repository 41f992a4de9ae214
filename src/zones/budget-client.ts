/**
The asking side of budgets: finds the keeper of a program, wherever its home is, and asks it.
*/
import {type Clock} from '../contracts/clock.js';
import {
	as, type AttemptId, type DataCentreId, type InstanceId, type Milliseconds, type ProgramId, type Tokens,
} from '../contracts/id.js';
import {type ReservationRequest} from '../contracts/token-ledger.js';
import {type PromptLocation, type PromptLocations} from '../machines/prompt-locations.js';
import {type BudgetCoordinator} from './budget-coordinator.js';
import {type BudgetEvent} from './budget-event.js';
import {type Member} from './membership.js';
import {
	candidatesIn, dataCentresOf, rankDataCentres, rankOwners,
} from './ownership.js';
import {type RelayPeers, type ReservationOutcome} from './relay-peers.js';
import {createUnresponsivePeers} from './unresponsive-peers.js';

/** Time after which a keeper is asked again; it answers within milliseconds, unless it is short of processor time. */
const askTimeoutMs = 120;
const askTries = 2;

/** Keepers of one data centre that are asked in turn; several may be restarting at the same time. */
const mostAsked = 4;

/** Keepers of another data centre that do not answer before it counts as cut off for a while. */
const mostSilent = 2;

/** Timeout and tries of telling a keeper that a call has ended. */
const settleTimeoutMs = 100;
const settleTries = 4;

/** How a keeper is asked: as the home or in its place, and whether by an entry or by another keeper. */
export type QueryMode = {readonly isHomeUnreachable: boolean; readonly isForwarded: boolean};

const direct: QueryMode = {isHomeUnreachable: false, isForwarded: false};
export const forwarding: QueryMode = {isHomeUnreachable: false, isForwarded: true};

/** What a keeper decided and knows of the program's prompts, and which; undefined stands for this instance. */
export type CoordinatorReply = {readonly outcome: ReservationOutcome; readonly places: readonly PromptLocation[]; readonly keeper: Member | undefined};

/** A call that has ended. */
export type Settlement = {
	readonly program: ProgramId;
	readonly attempt: AttemptId;
	readonly used: Tokens;
	/** Where its prompt is now in memory. */
	readonly place: PromptLocation | undefined;
};

export type BudgetClient = {
	/** Finds the program's home and asks it; undefined when it cannot be reached. */
	readonly askHome: (request: ReservationRequest) => Promise<CoordinatorReply | undefined>;
	/** Asks for what may be granted without the home. All that reach each other ask the same keeper. */
	readonly askFallback: (request: ReservationRequest) => Promise<CoordinatorReply>;
	/** Asks the keepers of a data centre in turn; undefined when none has an answer. */
	readonly askDataCentre: (dataCentre: DataCentreId, request: ReservationRequest, asking: QueryMode) => Promise<CoordinatorReply | undefined>;
	/** Tells a keeper that a call has ended. */
	readonly settleAt: (keeper: Member, settlement: Settlement) => void;
	/** Forgets where programs were found that are not known any more. */
	readonly prune: (isKnown: (program: ProgramId) => boolean) => void;
};

export type BudgetClientOptions = {
	readonly self: () => Member;
	readonly members: () => readonly Member[];
	readonly peers: Pick<RelayPeers, 'request'>;
	readonly clock: Clock;
	readonly counter: BudgetCoordinator;
	readonly places: PromptLocations;
	readonly homeOf: (program: ProgramId) => DataCentreId | undefined;
	readonly onEvent: (event: BudgetEvent) => void;
};

/** Creates the asking side of one instance. */
export function createBudgetClient(options: BudgetClientOptions): BudgetClient {
	const {clock, counter} = options;
	const silent = createUnresponsivePeers<InstanceId>(clock);
	const cutOff = createUnresponsivePeers<DataCentreId>(clock);
	const homes = new Map<ProgramId, DataCentreId>();

	function ranked(dataCentre: Member['dataCentre'], program: ProgramId): readonly Member[] {
		return rankOwners(program, candidatesIn(dataCentre, options.members()));
	}

	async function askKeeper(keeper: Member, request: ReservationRequest, {isHomeUnreachable, isForwarded}: QueryMode): Promise<CoordinatorReply | undefined> {
		const reply = await options.peers.request(keeper.address, {
			kind: 'reserve', reservation: request, isHomeUnreachable, isForwarded,
		}, {
			timeout: as<Milliseconds>(askTimeoutMs), tries: askTries,
		});
		if (reply?.kind === 'reservation') {
			return {outcome: reply.outcome, places: reply.places, keeper};
		}

		silent.add(keeper.id);
		options.onEvent({
			kind: 'keeper-silent', request: request.attempt, program: request.program, keeper: keeper.id,
		});
		// It may have reserved all the same.
		settleAt(keeper, {
			program: request.program, attempt: request.attempt, used: as<Tokens>(0), place: undefined,
		});
		return undefined;
	}

	async function keepHere(request: ReservationRequest, isHomeUnreachable: boolean): Promise<CoordinatorReply> {
		const outcome = await counter.reserveLocally(request, isHomeUnreachable);
		return {outcome, places: options.places.of(request.program), keeper: undefined};
	}

	/** Asks the keepers of a data centre in turn; undefined when none has an answer. */
	async function askDataCentre(dataCentre: DataCentreId, request: ReservationRequest, asking: QueryMode): Promise<CoordinatorReply | undefined> {
		const self = options.self();
		if (cutOff.has(dataCentre)) {
			return undefined;
		}

		let unanswered = 0;
		const keepers = ranked(dataCentre, request.program).filter(member => !silent.has(member.id));
		for (const keeper of keepers.slice(0, mostAsked)) {
			const ruling = keeper.id === self.id ? await keepHere(request, asking.isHomeUnreachable) : await askKeeper(keeper, request, asking);
			if (ruling && ruling.outcome.kind !== 'cold') {
				return ruling;
			}

			unanswered += ruling ? 0 : 1;
			if (unanswered >= mostSilent && dataCentre !== self.dataCentre) {
				cutOff.add(dataCentre);
				break;
			}
		}

		return undefined;
	}

	/** Finds the program's home and asks it; undefined when it cannot be reached. */
	async function askHome(request: ReservationRequest): Promise<CoordinatorReply | undefined> {
		const first = homes.get(request.program) ?? options.self().dataCentre;
		const ruling = await askDataCentre(first, request, direct);
		if (ruling?.outcome.kind !== 'elsewhere') {
			return ruling;
		}

		homes.set(request.program, ruling.outcome.home);
		const second = await askDataCentre(ruling.outcome.home, request, direct);
		return second?.outcome.kind === 'elsewhere' ? undefined : second;
	}

	function settleAt(keeper: Member, settlement: Settlement): void {
		void options.peers.request(keeper.address, {kind: 'settle', ...settlement}, {timeout: as<Milliseconds>(settleTimeoutMs), tries: settleTries});
	}

	/** Asks for what may be granted without the home. All that reach each other ask the same keeper. */
	async function askGuest(request: ReservationRequest): Promise<CoordinatorReply> {
		const home = homes.get(request.program) ?? options.homeOf(request.program);
		const dataCentres = dataCentresOf(options.members()).filter(dataCentre => dataCentre !== home);
		for (const dataCentre of rankDataCentres(request.program, dataCentres)) {
			const ruling = await askDataCentre(dataCentre, request, {isHomeUnreachable: true, isForwarded: false});
			if (ruling) {
				return ruling;
			}
		}

		return keepHere(request, true);
	}

	return {
		askHome,
		askFallback: askGuest,
		askDataCentre,
		settleAt,
		prune(isKnown) {
			for (const program of homes.keys()) {
				if (!isKnown(program)) {
					homes.delete(program);
				}
			}
		},
	};
}
