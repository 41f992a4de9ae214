/**
The counting side of budgets: what this instance may grant by its own ledger, what it records in the store,
and what it takes over from other keepers.
*/
import {type Clock} from '../contracts/clock.js';
import {
	as, type AttemptId, type Milliseconds, type ProgramId, type Tokens,
} from '../contracts/id.js';
import {
	type Account, type Entitlement, type ReservationRequest, type TokenLedger,
} from '../contracts/token-ledger.js';
import {type BudgetEvent} from './budget-event.js';
import {type BudgetRecord, type BudgetRecords} from './budget-records.js';
import {createBudgetSharing} from './budget-sharing.js';
import {type Member} from './membership.js';
import {isOwner} from './ownership.js';
import {type RelayPeers, type ReservationOutcome} from './relay-peers.js';

/** Longest wait for the store's record before a call goes on without it. */
const recordPatienceMs = 150;

export type BudgetCounter = {
	/** Reserves in this instance's own ledger. */
	readonly keep: (request: ReservationRequest, isHomeUnreachable: boolean) => Promise<ReservationOutcome>;
	readonly settle: (program: ProgramId, attempt: AttemptId, used: Tokens) => void;
	/** Takes accounts over from a peer. */
	readonly receive: (accounts: readonly Account[]) => void;
	/** Passes on to this data centre what another one told. */
	readonly passOn: (accounts: readonly Account[]) => void;
	/** Members came or went: whoever keeps a program now has to know its account. */
	readonly rebalance: () => void;
	/** Drops accounts that have lapsed, and sends again what was not answered. */
	readonly maintain: () => void;
};

export type BudgetCounterOptions = {
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

/** Creates the counting side of one instance. */
export function createBudgetCounter(options: BudgetCounterOptions): BudgetCounter {
	const {ledger, records, clock} = options;
	/** Programs that this instance made this data centre the home of. */
	const claimed = new Set<ProgramId>();
	const recording = new Set<ProgramId>();
	const sharing = createBudgetSharing(options);
	const {markDirty} = sharing;

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
		if (home === self.dataCentre && isMissing && isOwner(self, program, options.members())) {
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

		return sharing.isUncontested(program) ? 'home' : 'contested';
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
				// A keeper that has taken over is entitled to more once it has told everyone.
				markDirty(program);
				options.onEvent({
					kind: 'withheld', request: request.attempt, program, entitlement, used: decision.used, budget: request.budget,
				});
				return {kind: 'withheld'};
			}
		}
	}

	return {
		keep,
		receive,
		passOn: sharing.passOn,
		rebalance: sharing.rebalance,
		settle(program, attempt, used) {
			ledger.settle(program, attempt, used, clock.now());
			markDirty(program);
		},
		maintain() {
			ledger.expire(clock.now());
			const known = new Set(ledger.programs());
			for (const program of claimed) {
				if (!known.has(program)) {
					claimed.delete(program);
				}
			}

			sharing.forgetLapsed();
			sharing.retry();
		},
	};
}
