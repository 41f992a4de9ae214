/**
The counting side of budgets: what this instance may grant by its own ledger, what it records in the store,
and what it takes over from other keepers.
*/
import {type Clock} from '../contracts/clock.js';
import {
	as, type AttemptId, type DataCentreId, type InstanceId, type ProgramId, type Tokens,
} from '../contracts/id.js';
import {
	type TokenAccount, type Entitlement, type LedgerDecision, type ReservationRequest, type TokenLedger,
} from '../contracts/token-ledger.js';
import {type BudgetEvent, type WithholdReason} from './budget-event.js';
import {type BudgetRecord, type BudgetRecords} from './budget-records.js';
import {createBudgetReplication} from './budget-replication.js';
import {createBudgetConfirmation} from './budget-confirmation.js';
import {type Member} from './membership.js';
import {isOwner} from './ownership.js';
import {withTimeout} from './with-timeout.js';
import {createRecordWriter, type RecordWriter} from './record-writer.js';
import {type RelayPeers, type ReservationOutcome} from './relay-peers.js';
import {createUnresponsivePeers} from './unresponsive-peers.js';

/** Longest wait for the store's record before a call goes on without it. */
const recordPatienceMs = 150;

export type BudgetCoordinator = {
	/** Reserves in this instance's own ledger. */
	readonly reserveLocally: (request: ReservationRequest, isHomeUnreachable: boolean) => Promise<ReservationOutcome>;
	readonly settle: (program: ProgramId, attempt: AttemptId, used: Tokens) => void;
	/** Writes a record for a neighbour that the store does not answer. */
	readonly writeOnBehalf: RecordWriter['writeOnBehalf'];
	/** Takes accounts over from a peer. Returns what is known here beyond them. */
	readonly receive: (accounts: readonly TokenAccount[]) => readonly TokenAccount[];
	/** Passes on to this data centre what another one told. */
	readonly rebroadcast: (accounts: readonly TokenAccount[]) => void;
	/** Members came or went: whoever keeps a program now has to know its account. */
	readonly rebalance: () => void;
	/** Drops accounts that have lapsed, and sends again what was not answered. */
	readonly maintain: () => void;
};

export type BudgetCoordinatorOptions = {
	readonly self: () => Member;
	readonly members: () => readonly Member[];
	readonly dataCentres: () => readonly DataCentreId[];
	readonly peers: Pick<RelayPeers, 'request' | 'post'>;
	readonly ledger: TokenLedger;
	readonly records: BudgetRecords;
	readonly clock: Clock;
	/** Whether this instance knows what was used before it started. */
	readonly isWarm: () => boolean;
	readonly onEvent: (event: BudgetEvent) => void;
};

/** Creates the counting side of one instance. */
export function createBudgetCoordinator(options: BudgetCoordinatorOptions): BudgetCoordinator {
	const {ledger, clock} = options;
	/** Tokens that writes under way record. */
	const recording = new Map<ProgramId, Tokens>();
	/** Calls that are being decided, so that a question that is sent again gets the same answer. */
	const deciding = new Map<AttemptId, Promise<ReservationOutcome>>();
	const exchange = {
		...options,
		silent: createUnresponsivePeers<InstanceId>(clock),
		receive(accounts: readonly TokenAccount[]) {
			receive(accounts);
		},
	};
	const sharing = createBudgetReplication(exchange);
	const witnesses = createBudgetConfirmation(exchange);
	const writers = createRecordWriter(exchange);
	const {markDirty} = sharing;

	/** Makes this data centre the home of a program that nobody here has heard of. Returns whether it was new. */
	function claim(request: ReservationRequest): boolean {
		const isNew = ledger.home(request.program) === undefined;
		ledger.claim(request, options.self().dataCentre, clock.now());
		return isNew;
	}

	/** Takes over what another keeper counted; the home makes it last, and hears of what was counted here. */
	function merge(account: TokenAccount): void {
		ledger.merge(account, clock.now());
		const {program, retention} = account;
		const self = options.self();
		const home = ledger.home(program);
		const used = ledger.used(program);
		const isMissing = ledger.unrecorded(program) > 0 && (recording.get(program) ?? 0) < used;
		if (home === self.dataCentre && isMissing && isOwner(self, program, options.members())) {
			void writeRecord({program, used, retention});
		}

		if (home !== self.dataCentre && ledger.hasGranted(program)) {
			markDirty(program);
		}
	}

	function receive(accounts: readonly TokenAccount[]): readonly TokenAccount[] {
		for (const account of accounts) {
			merge(account);
		}

		return accounts.filter(account => ledger.isAheadOf(account)).flatMap(({program}) => ledger.account(program) ?? []);
	}

	async function writeRecord(record: BudgetRecord): Promise<boolean> {
		const {program, used} = record;
		recording.set(program, as<Tokens>(Math.max(used, recording.get(program) ?? 0)));
		const isWritten = await writers.write(record);
		if (recording.get(program) === used) {
			recording.delete(program);
		}

		if (isWritten) {
			ledger.markRecorded(program, used);
			markDirty(program);
		}

		return isWritten;
	}

	/** Waits for the store's record, but not longer than a call can bear. Resolves to whether the call may go on. */
	async function record(request: ReservationRequest, upTo: TokenAccount['recorded']): Promise<boolean> {
		const writing = writeRecord({program: request.program, used: upTo, retention: request.retention});
		const isInTime = await withTimeout(clock, recordPatienceMs, writing) ?? false;
		if (!isInTime) {
			options.onEvent({kind: 'unrecorded', request: request.attempt, program: request.program});
		}

		return isInTime || ledger.isWithinUnrecordedLimit(request);
	}

	/** Whether this instance counts for the home. One that has not heard of the account yet is as good as elsewhere. */
	function isAtHome(program: ProgramId): boolean {
		const hasAccount = (ledger.account(program)?.slots.length ?? 0) > 0;
		return hasAccount && ledger.home(program) === options.self().dataCentre;
	}

	function entitlementOf(program: ProgramId): Entitlement {
		return isAtHome(program) && sharing.isExclusive(program) ? 'whole' : 'half';
	}

	/** Grants what was reserved here once others and the store know of it, unless they leave too little for it. */
	async function confirm(request: ReservationRequest, isNew: boolean, recording: Promise<boolean>): Promise<ReservationOutcome> {
		const {program, attempt} = request;
		const [isConfirmed, isRecorded] = await Promise.all([witnesses.confirm(program), recording]);
		const entitlement = entitlementOf(program);
		if (isConfirmed && isRecorded && ledger.isWithin(request, entitlement)) {
			if (isNew) {
				sharing.announceClaim(program);
			}

			return {kind: 'granted'};
		}

		ledger.settle(program, attempt, as<Tokens>(0), clock.now());
		if (isNew) {
			ledger.withdrawClaim(program);
		}

		if (!isConfirmed) {
			return withhold(request, entitlement, 'unconfirmed');
		}

		return withhold(request, entitlement, isRecorded ? 'spent-elsewhere' : 'unrecorded');
	}

	function withhold({program, attempt, budget}: ReservationRequest, entitlement: Entitlement, reason: WithholdReason): ReservationOutcome {
		options.onEvent({
			kind: 'withheld', request: attempt, program, entitlement, reason, used: ledger.used(program), budget,
		});
		return {kind: 'withheld'};
	}

	/** Reserves, if need be once everyone has been told that this is the second half of the budget. */
	async function reserve(request: ReservationRequest): Promise<LedgerDecision> {
		const {program} = request;
		const first = ledger.reserve(request, entitlementOf(program), clock.now());
		if (first.kind !== 'withheld' || !isAtHome(program) || sharing.isExclusive(program)) {
			return first;
		}

		await sharing.acquireExclusivity(program);
		return ledger.reserve(request, entitlementOf(program), clock.now());
	}

	async function decide(request: ReservationRequest, isNew: boolean): Promise<ReservationOutcome> {
		const {program} = request;
		const decision = await reserve(request);
		switch (decision.kind) {
			case 'granted': {
				return confirm(request, isNew, Promise.resolve(true));
			}

			case 'record-first': {
				return confirm(request, isNew, record(request, decision.upTo));
			}

			case 'exhausted': {
				options.onEvent({
					kind: 'exhausted', request: request.attempt, program, used: decision.used, budget: request.budget, most: request.most,
				});
				return {kind: 'exhausted'};
			}

			case 'withheld': {
				return withhold(request, entitlementOf(program), 'limit');
			}
		}
	}

	/** Reserves in this instance's own ledger. */
	async function keep(request: ReservationRequest, isHomeUnreachable: boolean): Promise<ReservationOutcome> {
		// One that is leaving hands its accounts over and must not count any more.
		if (!options.isWarm() || options.self().status === 'leaving') {
			return {kind: 'cold'};
		}

		const known = deciding.get(request.attempt);
		if (known) {
			return known;
		}

		const {dataCentre} = options.self();
		const isNew = claim(request);
		const home = ledger.home(request.program) ?? dataCentre;
		if (home !== dataCentre && !isHomeUnreachable) {
			return {kind: 'elsewhere', home};
		}

		const decision = decide(request, isNew);
		deciding.set(request.attempt, decision);
		try {
			return await decision;
		} finally {
			deciding.delete(request.attempt);
		}
	}

	return {
		reserveLocally: keep,
		writeOnBehalf: writers.writeOnBehalf,
		receive,
		rebroadcast: sharing.rebroadcast,
		rebalance: sharing.rebalance,
		settle(program, attempt, used) {
			ledger.settle(program, attempt, used, clock.now());
			markDirty(program);
		},
		maintain() {
			ledger.expire(clock.now());
			sharing.pruneExpired();
			sharing.retry();
		},
	};
}
