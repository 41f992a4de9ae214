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

/** Time in which changes of accounts are gathered before keepers are told. */
const shareDelayMs = 20;

/** Timeout and tries of telling a keeper in whatever data centre; a call lasts longer. */
const shareTimeoutMs = 40;
const shareTries = 3;

/** Accounts in one message, which has to fit into a datagram. */
const accountsPerMessage = 4;

/** Instances of its home that know a program's account. */
const homeKeepers = 2;

/** How often accounts that have lapsed are dropped, and failed messages about accounts are sent again. */
const maintenanceMs = 1000;

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
	/** Members came or went: whoever keeps a program now has to know its account. */
	readonly rebalance: () => void;
	readonly run: (signal: AbortSignal) => Promise<void>;
};

export type BudgetKeepersOptions = {
	readonly self: () => Member;
	readonly members: () => readonly Member[];
	readonly peers: Pick<RelayPeers, 'ask'>;
	readonly ledger: TokenLedger;
	readonly records: BudgetRecords;
	readonly clock: Clock;
	/** Whether this instance knows what was used before it started. */
	readonly isWarm: () => boolean;
	readonly onEvent: (event: BudgetEvent) => void;
};

/** A keeper's word, and who said it; undefined stands for this instance. */
type Word = {readonly outcome: ReservationOutcome; readonly keeper: Member | undefined};

/** A member between two of its restarts. */
function lifeOf(member: Member): string {
	return `${member.id}@${member.incarnation}`;
}

/** Creates the keepers' part of one instance. */
export function createBudgetKeepers(options: BudgetKeepersOptions): BudgetKeepers {
	const {ledger, records, clock} = options;
	const silentUntil = new Map<InstanceId, Milliseconds>();
	const cutOffUntil = new Map<DataCentreId, Milliseconds>();
	const dirty = new Set<ProgramId>();
	/** Data centres that know the home of a program which this one claimed. */
	const confirmed = new Map<ProgramId, Set<DataCentreId>>();
	const homes = new Map<ProgramId, DataCentreId>();
	/** When lives of members were last told of a program's home; they forget it when they hear no more. */
	const told = new Map<ProgramId, Map<string, Milliseconds>>();
	/** Programs whose home or whose other keepers did not hear of a change. */
	const untold = new Set<ProgramId>();
	let isSharing = false;

	function ranked(dataCentre: Member['dataCentre'], program: ProgramId): readonly Member[] {
		return rankOwners(program, candidatesIn(dataCentre, options.members()));
	}

	function isTold(program: ProgramId, member: Member): boolean {
		const at = told.get(program)?.get(lifeOf(member));
		return at !== undefined && clock.now() - at < (ledger.account(program)?.retention ?? 0) / 2;
	}

	/**
	Instances that have to hear of a change: those that would count next for the program's home, and once
	one keeper of each other data centre, which has to know where the home is.
	*/
	function audience(program: ProgramId): readonly Member[] {
		const self = options.self();
		const home = ledger.home(program) ?? self.dataCentre;
		const dataCentres = new Set(options.members().map(member => member.dataCentre));
		return [...dataCentres].flatMap(dataCentre => {
			const keepers = ranked(dataCentre, program).slice(0, dataCentre === home ? homeKeepers : 1).filter(member => member.id !== self.id);
			return dataCentre === home ? keepers : keepers.filter(member => !isTold(program, member));
		});
	}

	/** Notes who knows of the accounts. */
	function noteTold(target: Member, accounts: readonly Account[], isTold: boolean): void {
		for (const {program} of accounts) {
			if (isTold) {
				confirmed.set(program, (confirmed.get(program) ?? new Set()).add(target.dataCentre));
				told.set(program, (told.get(program) ?? new Map<string, Milliseconds>()).set(lifeOf(target), clock.now()));
			} else {
				untold.add(program);
			}
		}
	}

	async function tell(target: Member, accounts: readonly Account[]): Promise<void> {
		for (let index = 0; index < accounts.length; index += accountsPerMessage) {
			const part = accounts.slice(index, index + accountsPerMessage);
			const reply = await options.peers.ask(target.address, {kind: 'accounts', accounts: part}, {timeout: as<Milliseconds>(shareTimeoutMs), tries: shareTries});
			noteTold(target, part, reply !== undefined);
		}
	}

	function share(): void {
		isSharing = false;
		const byTarget = new Map<Member, Account[]>();
		for (const program of dirty) {
			const account = ledger.account(program);
			for (const target of account ? audience(program) : []) {
				byTarget.set(target, [...(byTarget.get(target) ?? []), ...(account ? [account] : [])]);
			}
		}

		dirty.clear();
		for (const [target, accounts] of byTarget) {
			void tell(target, accounts);
		}
	}

	function markDirty(program: ProgramId): void {
		dirty.add(program);
		if (!isSharing) {
			isSharing = true;
			void clock.sleep(as<Milliseconds>(shareDelayMs)).then(share);
		}
	}

	/** Makes this data centre the home of a program that nobody here has heard of, and says so at once. */
	function claim(request: ReservationRequest): void {
		const isNew = ledger.home(request.program) === undefined;
		ledger.claim(request, options.self().dataCentre, clock.now());
		if (isNew) {
			dirty.add(request.program);
			share();
		}
	}

	/** Takes over what another keeper counted; the home makes it last. */
	function merge(account: Account): void {
		ledger.merge(account, clock.now());
		const {program, retention} = account;
		const self = options.self();
		if (ledger.home(program) === self.dataCentre && ledger.unrecorded(program) > 0 && ranked(self.dataCentre, program)[0]?.id === self.id) {
			const used = as<Tokens>((ledger.account(program)?.recorded ?? 0) + ledger.unrecorded(program));
			void writeRecord({program, used, retention});
		}
	}

	async function writeRecord(record: BudgetRecord): Promise<boolean> {
		const isWritten = await records.write(record);
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

	/** Whether a data centre that does not know the program's home may claim the program too. */
	function isContested(program: ProgramId): boolean {
		const {dataCentre} = options.self();
		return options.members().some(member => member.dataCentre !== dataCentre && !confirmed.get(program)?.has(member.dataCentre));
	}

	function entitlementOf(program: ProgramId): Entitlement {
		if (ledger.home(program) !== options.self().dataCentre) {
			return 'guest';
		}

		return isContested(program) ? 'contested' : 'home';
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

	function settleHere(program: ProgramId, attempt: ReservationRequest['attempt'], used: ReservationRequest['most']): void {
		ledger.settle(program, attempt, used, clock.now());
		markDirty(program);
	}

	async function askKeeper(keeper: Member, request: ReservationRequest, isHomeUnreachable: boolean): Promise<ReservationOutcome | undefined> {
		const reply = await options.peers.ask(keeper.address, {kind: 'reserve', reservation: request, isHomeUnreachable}, {
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
	async function askDataCentre(dataCentre: DataCentreId, request: ReservationRequest, isHomeUnreachable: boolean): Promise<Word | undefined> {
		const self = options.self();
		const now = clock.now();
		if ((cutOffUntil.get(dataCentre) ?? 0) > now) {
			return undefined;
		}

		let silent = 0;
		const keepers = ranked(dataCentre, request.program).filter(member => (silentUntil.get(member.id) ?? 0) <= now);
		for (const keeper of keepers.slice(0, mostAsked)) {
			const isSelf = keeper.id === self.id;
			const outcome = isSelf ? await keep(request, isHomeUnreachable) : await askKeeper(keeper, request, isHomeUnreachable);
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
		const word = await askDataCentre(first, request, false);
		if (word?.outcome.kind !== 'elsewhere') {
			return word;
		}

		homes.set(request.program, word.outcome.home);
		const second = await askDataCentre(word.outcome.home, request, false);
		return second?.outcome.kind === 'elsewhere' ? undefined : second;
	}

	function settler(keeper: Member | undefined, request: ReservationRequest): Extract<Reservation, {kind: 'granted'}>['settle'] {
		return used => {
			if (!keeper) {
				settleHere(request.program, request.attempt, used);
				return;
			}

			void options.peers.ask(keeper.address, {
				kind: 'settle', program: request.program, attempt: request.attempt, used,
			}, {timeout: as<Milliseconds>(shareTimeoutMs), tries: shareTries});
		};
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
			const word = await askDataCentre(dataCentre, request, true);
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
		for (const program of [...homes.keys(), ...confirmed.keys(), ...told.keys()]) {
			if (!known.has(program)) {
				homes.delete(program);
				confirmed.delete(program);
				told.delete(program);
			}
		}
	}

	return {
		reserve,
		async answer(message) {
			switch (message.kind) {
				case 'reserve': {
					return {kind: 'reservation', outcome: await keep(message.reservation, message.isHomeUnreachable)};
				}

				case 'settle': {
					settleHere(message.program, message.attempt, message.used);
					return {kind: 'done'};
				}

				case 'accounts': {
					for (const account of message.accounts) {
						merge(account);
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
		rebalance() {
			const {dataCentre} = options.self();
			for (const program of ledger.programs()) {
				if (ledger.home(program) === dataCentre) {
					markDirty(program);
				}
			}
		},
		async run(signal) {
			while (!signal.aborted) {
				await clock.sleep(as<Milliseconds>(maintenanceMs), signal);
				ledger.expire(clock.now());
				forgetLapsed();
				for (const program of untold) {
					markDirty(program);
				}

				untold.clear();
			}
		},
	};
}
