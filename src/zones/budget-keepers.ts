/**
Budgets of programs over all instances. The data centre in which a program is first seen becomes its home;
there a keeper, chosen by rendezvous hashing, reserves for all entries. The home is told to one keeper in
each other data centre, and the account to one more instance of the home, which takes over when the keeper
is gone. Where the home cannot be reached, a local keeper grants a little, so that a cut-off data centre goes
on serving without overrunning the budget (see `Entitlement`).
*/
import {type Clock} from '../contracts/clock.js';
import {
	as, type AttemptId, type DataCentreId, type InstanceId, type Milliseconds, type ProgramId, type Tokens,
} from '../contracts/id.js';
import {
	type Account, type Entitlement, type ReservationRequest, type TokenLedger,
} from '../contracts/token-ledger.js';
import {type Reservation, type TokenBudgets} from '../machines/token-budgets.js';
import {type BudgetRecord, type BudgetRecords} from './budget-records.js';
import {createBudgetSharing} from './budget-sharing.js';
import {type Member} from './membership.js';
import {candidatesIn, rankDataCentres, rankOwners} from './ownership.js';
import {
	type RelayMessage, type RelayPeers, type RelayReply, type ReservationOutcome,
} from './relay-peers.js';

/** Time after which a keeper is asked again; it answers within milliseconds, unless it is short of processor time. */
const askTimeoutMs = 120;
const askTries = 2;

/** Keepers of one data centre that are asked in turn; several may be restarting at the same time. */
const mostAsked = 4;

/** Keepers of another data centre that do not answer before it counts as cut off for a while. */
const mostSilent = 2;

/** Time for which a keeper that did not answer is left out. */
const unansweredMs = 1500;

/** Longest wait for the store's record before a call goes on without it. */
const recordPatienceMs = 150;

/** Timeout and tries of telling a keeper that a call has ended. */
const settleTimeoutMs = 100;
const settleTries = 4;

/** How often accounts that have lapsed are dropped, and failed messages about accounts are sent again. */
const maintenanceMs = 1000;

/** Forwarded reservations that are remembered until they are settled; an entry that died never settles its own. */
const mostForwarded = 2000;

const retryAfterMs = 300;

/** Decisions about the budget of one request. */
export type BudgetEvent
	/** The store's record took too long; the call goes on without it. */
	= | {readonly kind: 'unrecorded'; readonly request: AttemptId; readonly program: ProgramId}
		| {readonly kind: 'keeper-silent'; readonly request: AttemptId; readonly program: ProgramId; readonly keeper: InstanceId}
		| {readonly kind: 'withheld'; readonly request: AttemptId; readonly program: ProgramId; readonly entitlement: Entitlement; readonly used: Tokens; readonly budget: Tokens}
		| {readonly kind: 'exhausted'; readonly request: AttemptId; readonly program: ProgramId; readonly used: Tokens; readonly budget: Tokens; readonly most: Tokens};

export type BudgetKeepers = TokenBudgets & {
	/** Answers an entry or another keeper; undefined when the message is about something else. */
	readonly answer: (message: RelayMessage) => Promise<RelayReply | undefined>;
	/** Takes accounts over from a peer. */
	readonly receive: (accounts: readonly Account[]) => void;
	/** Members came or went: whoever keeps a program now has to know its account. */
	readonly rebalance: () => void;
	readonly run: (signal: AbortSignal) => Promise<void>;
};

export type BudgetKeepersOptions = {
	readonly self: () => Member;
	readonly members: () => readonly Member[];
	readonly peers: Pick<RelayPeers, 'ask' | 'post'>;
	readonly ledger: TokenLedger;
	readonly records: BudgetRecords;
	readonly clock: Clock;
	/** Whether this instance knows what was used before it started. */
	readonly isWarm: () => boolean;
	readonly onEvent: (event: BudgetEvent) => void;
};

/** How a keeper is asked: as the home or in its place, and whether by an entry or by another keeper. */
type Asking = {readonly isHomeUnreachable: boolean; readonly isForwarded: boolean};

const direct: Asking = {isHomeUnreachable: false, isForwarded: false};
const forwarding: Asking = {isHomeUnreachable: false, isForwarded: true};

/** A keeper's word, and who said it; undefined stands for this instance. */
type Word = {readonly outcome: ReservationOutcome; readonly keeper: Member | undefined};

/** Creates the keepers' part of one instance. */
export function createBudgetKeepers(options: BudgetKeepersOptions): BudgetKeepers {
	const {ledger, records, clock} = options;
	const silentUntil = new Map<InstanceId, Milliseconds>();
	const cutOffUntil = new Map<DataCentreId, Milliseconds>();
	const homes = new Map<ProgramId, DataCentreId>();
	/** Programs that this instance made this data centre the home of. */
	const claimed = new Set<ProgramId>();
	/** Keepers that granted what this instance was asked for. */
	const forwarded = new Map<AttemptId, Member>();
	const recording = new Set<ProgramId>();
	const sharing = createBudgetSharing(options);
	const {markDirty} = sharing;

	function ranked(dataCentre: Member['dataCentre'], program: ProgramId): readonly Member[] {
		return rankOwners(program, candidatesIn(dataCentre, options.members()));
	}

	/** Makes this data centre the home of a program that nobody here has heard of, and says so at once. */
	function claim(request: ReservationRequest): void {
		const isNew = ledger.home(request.program) === undefined;
		ledger.claim(request, options.self().dataCentre, clock.now());
		if (isNew) {
			claimed.add(request.program);
			sharing.announceClaim(request.program);
		}
	}

	/** Takes over what another keeper counted; the home makes it last, and hears of what was counted here. */
	function merge(account: Account): void {
		ledger.merge(account, clock.now());
		const {program, retention} = account;
		const self = options.self();
		const home = ledger.home(program);
		const isMissing = ledger.unrecorded(program) > 0 && !recording.has(program);
		if (home === self.dataCentre && isMissing && ranked(self.dataCentre, program)[0]?.id === self.id) {
			const used = as<Tokens>((ledger.account(program)?.recorded ?? 0) + ledger.unrecorded(program));
			void writeRecord({program, used, retention});
		}

		if (home !== self.dataCentre && ledger.hasCounted(program)) {
			markDirty(program);
		}
	}

	function receive(accounts: readonly Account[]): void {
		for (const account of accounts) {
			merge(account);
		}
	}

	async function writeRecord(record: BudgetRecord): Promise<boolean> {
		recording.add(record.program);
		const isWritten = await records.write(record);
		recording.delete(record.program);
		if (isWritten) {
			ledger.markRecorded(record.program, record.used);
			markDirty(record.program);
		}

		return isWritten;
	}

	/** Waits for the store's record, but not longer than a call can bear. */
	async function record(request: ReservationRequest, upTo: Account['recorded']): Promise<void> {
		const writing = writeRecord({program: request.program, used: upTo, retention: request.retention});
		const waiting = new AbortController();
		const isInTime = await Promise.race([writing, clock.sleep(as<Milliseconds>(recordPatienceMs), waiting.signal).then(() => false)]);
		waiting.abort();
		if (!isInTime) {
			options.onEvent({kind: 'unrecorded', request: request.attempt, program: request.program});
		}
	}

	function entitlementOf(program: ProgramId): Entitlement {
		const isHome = ledger.home(program) === options.self().dataCentre;
		// A home that was heard of without its account has been counted for by another instance.
		const hasAccount = claimed.has(program) || (ledger.account(program)?.slots.length ?? 0) > 0;
		if (!isHome || !hasAccount) {
			return 'guest';
		}

		return sharing.isKnownEverywhere(program) ? 'home' : 'contested';
	}

	/** Reserves in this instance's own ledger. */
	async function keep(request: ReservationRequest, isHomeUnreachable: boolean): Promise<ReservationOutcome> {
		// One that is leaving hands its accounts over and must not count any more.
		if (!options.isWarm() || options.self().status === 'leaving') {
			return {kind: 'cold'};
		}

		const {program} = request;
		const {dataCentre} = options.self();
		claim(request);
		const home = ledger.home(program) ?? dataCentre;
		if (home !== dataCentre && !isHomeUnreachable) {
			return {kind: 'elsewhere', home};
		}

		const entitlement = entitlementOf(program);
		const decision = ledger.reserve(request, entitlement, clock.now());
		switch (decision.kind) {
			case 'granted': {
				markDirty(program);
				return {kind: 'granted'};
			}

			case 'record-first': {
				markDirty(program);
				await record(request, decision.upTo);
				return {kind: 'granted'};
			}

			case 'exhausted': {
				options.onEvent({
					kind: 'exhausted', request: request.attempt, program, used: decision.used, budget: request.budget, most: request.most,
				});
				return {kind: 'exhausted'};
			}

			case 'withheld': {
				options.onEvent({
					kind: 'withheld', request: request.attempt, program, entitlement, used: decision.used, budget: request.budget,
				});
				return {kind: 'withheld'};
			}
		}
	}

	function settleHere(program: ProgramId, attempt: AttemptId, used: Tokens): void {
		const keeper = forwarded.get(attempt);
		if (keeper) {
			forwarded.delete(attempt);
			settleAt(keeper, program, attempt, used);
			return;
		}

		ledger.settle(program, attempt, used, clock.now());
		markDirty(program);
	}

	async function askKeeper(keeper: Member, request: ReservationRequest, {isHomeUnreachable, isForwarded}: Asking): Promise<ReservationOutcome | undefined> {
		const reply = await options.peers.ask(keeper.address, {
			kind: 'reserve', reservation: request, isHomeUnreachable, isForwarded,
		}, {
			timeout: as<Milliseconds>(askTimeoutMs), tries: askTries,
		});
		if (reply?.kind === 'reservation') {
			return reply.outcome;
		}

		silentUntil.set(keeper.id, as<Milliseconds>(clock.now() + unansweredMs));
		options.onEvent({
			kind: 'keeper-silent', request: request.attempt, program: request.program, keeper: keeper.id,
		});
		// It may have reserved all the same.
		settler(keeper, request)(as<Tokens>(0));
		return undefined;
	}

	/** Asks the keepers of a data centre in turn; undefined when none has an answer. */
	async function askDataCentre(dataCentre: DataCentreId, request: ReservationRequest, asking: Asking): Promise<Word | undefined> {
		const self = options.self();
		const now = clock.now();
		if ((cutOffUntil.get(dataCentre) ?? 0) > now) {
			return undefined;
		}

		let silent = 0;
		const keepers = ranked(dataCentre, request.program).filter(member => (silentUntil.get(member.id) ?? 0) <= now);
		for (const keeper of keepers.slice(0, mostAsked)) {
			const isSelf = keeper.id === self.id;
			const outcome = isSelf ? await keep(request, asking.isHomeUnreachable) : await askKeeper(keeper, request, asking);
			if (outcome && outcome.kind !== 'cold') {
				return {outcome, keeper: isSelf ? undefined : keeper};
			}

			silent += outcome ? 0 : 1;
			if (silent >= mostSilent && dataCentre !== self.dataCentre) {
				cutOffUntil.set(dataCentre, as<Milliseconds>(clock.now() + unansweredMs));
				break;
			}
		}

		return undefined;
	}

	/** Finds the program's home and asks it; undefined when it cannot be reached. */
	async function askHome(request: ReservationRequest): Promise<Word | undefined> {
		const first = homes.get(request.program) ?? options.self().dataCentre;
		const word = await askDataCentre(first, request, direct);
		if (word?.outcome.kind !== 'elsewhere') {
			return word;
		}

		homes.set(request.program, word.outcome.home);
		const second = await askDataCentre(word.outcome.home, request, direct);
		return second?.outcome.kind === 'elsewhere' ? undefined : second;
	}

	function settleAt(keeper: Member, program: ProgramId, attempt: AttemptId, used: Tokens): void {
		void options.peers.ask(keeper.address, {
			kind: 'settle', program, attempt, used,
		}, {timeout: as<Milliseconds>(settleTimeoutMs), tries: settleTries});
	}

	function settler(keeper: Member | undefined, {program, attempt}: ReservationRequest): Extract<Reservation, {kind: 'granted'}>['settle'] {
		return used => {
			if (keeper) {
				settleAt(keeper, program, attempt, used);
			} else {
				settleHere(program, attempt, used);
			}
		};
	}

	function rememberForward(attempt: AttemptId, {outcome, keeper}: Word): void {
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
	async function answerEntry(request: ReservationRequest, isHomeUnreachable: boolean): Promise<ReservationOutcome> {
		const self = options.self();
		const home = ledger.home(request.program) ?? self.dataCentre;
		const isKeeper = ranked(self.dataCentre, request.program)[0]?.id === self.id;
		const isHome = home === self.dataCentre;
		if (options.isWarm() && (isHome ? !isKeeper : isHomeUnreachable)) {
			const word = await askDataCentre(home, request, forwarding);
			if (word?.keeper && word.outcome.kind !== 'elsewhere') {
				rememberForward(request.attempt, word);
				return word.outcome;
			}

			if (word && !word.keeper) {
				return word.outcome;
			}
		}

		return keep(request, isHomeUnreachable);
	}

	function toReservation({outcome, keeper}: Word, request: ReservationRequest): Reservation {
		switch (outcome.kind) {
			case 'granted': {
				return {kind: 'granted', settle: settler(keeper, request)};
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

	/** Asks for what may be granted without the home. All that reach each other ask the same keeper. */
	async function askGuest(request: ReservationRequest): Promise<Word> {
		const home = homes.get(request.program) ?? ledger.home(request.program);
		const dataCentres = [...new Set(options.members().map(member => member.dataCentre))].filter(dataCentre => dataCentre !== home);
		for (const dataCentre of rankDataCentres(request.program, dataCentres)) {
			const word = await askDataCentre(dataCentre, request, {isHomeUnreachable: true, isForwarded: false});
			if (word) {
				return word;
			}
		}

		return {outcome: await keep(request, true), keeper: undefined};
	}

	async function reserve(request: ReservationRequest): Promise<Reservation> {
		return toReservation(await askHome(request) ?? await askGuest(request), request);
	}

	function forgetLapsed(): void {
		const known = new Set(ledger.programs());
		for (const program of [...homes.keys(), ...claimed]) {
			if (!known.has(program)) {
				homes.delete(program);
				claimed.delete(program);
			}
		}

		sharing.forgetLapsed();
	}

	return {
		reserve,
		async answer(message) {
			switch (message.kind) {
				case 'reserve': {
					const {reservation, isHomeUnreachable, isForwarded} = message;
					return {kind: 'reservation', outcome: isForwarded ? await keep(reservation, isHomeUnreachable) : await answerEntry(reservation, isHomeUnreachable)};
				}

				case 'settle': {
					settleHere(message.program, message.attempt, message.used);
					return {kind: 'done'};
				}

				case 'accounts': {
					receive(message.accounts);
					if (!message.isPassedOn) {
						sharing.passOn(message.accounts);
					}

					return {kind: 'done'};
				}

				case 'gossip':
				case 'endpoints':
				case 'announce':
				case 'loads': {
					return undefined;
				}
			}
		},
		receive,
		rebalance: sharing.rebalance,
		async run(signal) {
			while (!signal.aborted) {
				await clock.sleep(as<Milliseconds>(maintenanceMs), signal);
				ledger.expire(clock.now());
				forgetLapsed();
				sharing.retry();
			}
		},
	};
}
