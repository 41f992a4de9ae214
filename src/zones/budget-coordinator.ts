/**
Coordinator side of token budgets: decides what this instance may grant from its own ledger, records usage in the
store, and merges accounts received from other coordinators.
*/
import {type Clock} from '../contracts/clock.js';
import {
	as, type AttemptId, type CounterId, type DataCentreId, type InstanceId, type ProgramId, type Tokens,
} from '../contracts/id.js';
import {type TokenAccount} from '../contracts/token-account.js';
import {type Entitlement, type LedgerDecision, type ReservationRequest} from '../contracts/reservation.js';
import {type TokenLedger} from '../contracts/token-ledger.js';
import {type BudgetEvent, type WithholdReason} from './budget-event.js';
import {type DurableRecords} from './budget-records.js';
import {createBudgetRecording} from './budget-recording.js';
import {createBudgetReplication} from './budget-replication.js';
import {createBudgetConfirmation} from './budget-confirmation.js';
import {createBudgetRecovery} from './budget-recovery.js';
import {createGrantCheck} from './grant-check.js';
import {counterOf} from './member-identity.js';
import {type Member} from './membership.js';
import {type OwnerRanks} from './owner-ranks.js';
import {createRecordWriter, type RecordWriter} from './record-writer.js';
import {createRecentAttempts} from './recent-attempts.js';
import {type RelayPeers, type ReservationOutcome} from './relay-peers.js';
import {createReplyTimes} from './reply-times.js';
import {createUnresponsivePeers} from './unresponsive-peers.js';

export type MergedAccounts = {
	/** Accounts of which this instance has newer data than the peer sent. */
	readonly newer: readonly TokenAccount[];
	/** Received accounts that changed the home of a program, or the state of its second half. */
	readonly reassigned: readonly TokenAccount[];
};

export type BudgetCoordinator = {
	/** Decides on a reservation from this instance's own ledger. */
	readonly reserveLocally: (request: ReservationRequest, isHomeUnreachable: boolean) => Promise<ReservationOutcome>;
	/** `isOver` tells that the attempt has ended or was never sent, whoever else was asked for it. */
	readonly settle: (program: ProgramId, attempt: AttemptId, used: Tokens, isOver: boolean) => void;
	/** Writes a record on behalf of a neighbour that the store does not answer. */
	readonly writeOnBehalf: RecordWriter['writeOnBehalf'];
	/** Merges accounts from a peer. */
	readonly receive: (accounts: readonly TokenAccount[]) => MergedAccounts;
	/** Forwards accounts received from another data centre to the members of this one. */
	readonly rebroadcast: (accounts: readonly TokenAccount[]) => void;
	/** Passes on accounts that a member of this data centre has announced. */
	readonly passOn: (accounts: readonly TokenAccount[]) => void;
	/** Called when the membership has changed: sends accounts to the instances that now coordinate or replicate them. */
	readonly rebalance: () => void;
	/** Drops expired accounts, and resends accounts that were not acknowledged. */
	readonly maintain: () => void;
};

export type BudgetCoordinatorOptions = {
	readonly self: () => Member;
	readonly members: () => readonly Member[];
	readonly dataCentres: () => readonly DataCentreId[];
	readonly ranks: OwnerRanks;
	readonly peers: Pick<RelayPeers, 'request' | 'post' | 'repliedAt'>;
	readonly ledger: TokenLedger;
	readonly records: DurableRecords;
	readonly clock: Clock;
	/** Whether this instance has recovered what programs used before it started. */
	readonly isWarm: () => boolean;
	readonly onEvent: (event: BudgetEvent) => void;
};

/** Creates the coordinator of one instance. */
export function createBudgetCoordinator(options: BudgetCoordinatorOptions): BudgetCoordinator {
	const {ledger, clock} = options;
	const settlements = createRecentAttempts<Tokens>(clock);
	/** Reservations in progress, so that a retransmitted request gets the same outcome. */
	const inProgress = new Map<AttemptId, Promise<ReservationOutcome>>();
	const exchange = {
		...options,
		unresponsive: createUnresponsivePeers<InstanceId>(clock),
		replyTimes: createReplyTimes(options.peers.repliedAt, clock),
		receive(accounts: readonly TokenAccount[]) {
			receive(accounts);
		},
	};
	const replication = createBudgetReplication(exchange);
	const confirmation = createBudgetConfirmation(exchange);
	const recovery = createBudgetRecovery(exchange);
	const writer = createRecordWriter(exchange);
	const checkGrant = createGrantCheck({ledger, confirmation, entitlementOf});
	const {markDirty} = replication;
	const recording = createBudgetRecording({...options, writer, markDirty});

	/** Makes this data centre the home of a program that has no known home. Returns whether none was known. */
	function claim(request: ReservationRequest): boolean {
		const isNew = ledger.home(request.program) === undefined;
		ledger.claim(request, options.self().dataCentre, clock.now());
		return isNew;
	}

	/**
	Merges what another coordinator counted. The coordinator at home then records the total in the store; an instance
	elsewhere sends a home that it did not know before what it counted itself, also if nothing is left of it. It does not answer other accounts in this
	way: two instances that have both granted would otherwise send the account to each other without end. Returns whether
	the account changed the home or the state of the second half.
	*/
	function merge(account: TokenAccount): boolean {
		const isReassigned = ledger.merge(account, clock.now());
		const {program, retention} = account;
		const self = options.self();
		const home = ledger.home(program);
		const used = ledger.used(program);
		const needsRecord = ledger.unrecorded(program) > 0 && recording.pending(program) < used;
		if (home === self.dataCentre && needsRecord && options.ranks.isAmongOwners(self, program, options.members())) {
			void recording.write({program, used, retention});
		}

		if (isReassigned && home !== self.dataCentre && ledger.hasCounted(program)) {
			markDirty(program);
		}

		return isReassigned;
	}

	function receive(accounts: readonly TokenAccount[]): MergedAccounts {
		const reassigned = accounts.filter(account => merge(account));
		return {reassigned, newer: accounts.filter(account => ledger.isAheadOf(account)).flatMap(({program}) => ledger.account(program) ?? [])};
	}

	function isRunning(counter: CounterId): boolean {
		return options.members().some(member => member.status !== 'dead' && counterOf(member) === counter);
	}

	function isAtHome(program: ProgramId): boolean {
		return ledger.home(program) === options.self().dataCentre;
	}

	function entitlementOf(program: ProgramId): Entitlement {
		return isAtHome(program) && replication.isExclusive(program) ? 'whole' : 'half';
	}

	/** Grants a reservation once other instances have confirmed it and the store has recorded it. */
	async function confirm(request: ReservationRequest, isNew: boolean, record: () => Promise<boolean>): Promise<ReservationOutcome> {
		const {program, attempt} = request;
		const objection = await checkGrant(request, record);
		if (!objection) {
			if (isNew) {
				replication.announceClaim(program);
			}

			return {kind: 'granted'};
		}

		ledger.settle(program, attempt, as<Tokens>(0), clock.now());
		markDirty(program);
		if (isNew) {
			ledger.withdrawClaim(program);
		}

		return withhold(request, entitlementOf(program), objection);
	}

	const slotsOf = (program: ProgramId) => ledger.account(program)?.slots ?? [];

	function withhold({program, attempt, budget}: ReservationRequest, entitlement: Entitlement, reason: WithholdReason): ReservationOutcome {
		options.onEvent({
			kind: 'withheld',
			request: attempt,
			program,
			entitlement,
			reason,
			used: ledger.used(program),
			budget,
			slots: slotsOf(program),
			unaware: replication.unaware(program),
		});
		return {kind: 'withheld'};
	}

	/** Reserves tokens, unless the budget is used up. Others are asked first whether what they had reserved has ended. */
	async function reserveCurrent(request: ReservationRequest): Promise<LedgerDecision> {
		const {program} = request;
		const first = ledger.reserve(request, entitlementOf(program), clock.now());
		if (first.kind !== 'exhausted' || !ledger.dependsOnOthers(request, isRunning)) {
			return first;
		}

		await confirmation.confirm(program);
		return ledger.reserve(request, entitlementOf(program), clock.now());
	}

	/** Reserves tokens. If half of the budget is not enough, the home first acquires the exclusive right to grant the rest. */
	async function reserve(request: ReservationRequest): Promise<LedgerDecision> {
		const {program} = request;
		const first = await reserveCurrent(request);
		if (first.kind !== 'withheld' || !isAtHome(program) || replication.isExclusive(program)) {
			return first;
		}

		await replication.acquireExclusivity(program);
		return ledger.reserve(request, entitlementOf(program), clock.now());
	}

	async function decide(request: ReservationRequest, isNew: boolean): Promise<ReservationOutcome> {
		const {program} = request;
		if (isAtHome(program) && !ledger.isComplete(program) && !await recovery.recover(program)) {
			return withhold(request, entitlementOf(program), 'unrecovered');
		}

		if (settlements.of(request.attempt) !== undefined || ledger.isOver(program, request.attempt)) {
			return withhold(request, entitlementOf(program), 'given-up');
		}

		const decision = await reserve(request);
		switch (decision.kind) {
			case 'granted': {
				return confirm(request, isNew, async () => !recording.isExpiring(request) || recording.record(request, ledger.recorded(program)));
			}

			case 'record-first': {
				return confirm(request, isNew, async () => recording.record(request, decision.upTo));
			}

			case 'exhausted': {
				if (ledger.dependsOnOthers(request, isRunning)) {
					return withhold(request, entitlementOf(program), 'reserved-elsewhere');
				}

				options.onEvent({
					kind: 'exhausted', request: request.attempt, program, used: decision.used, budget: request.budget, most: request.most, slots: slotsOf(program),
				});
				return {kind: 'exhausted'};
			}

			case 'withheld': {
				return withhold(request, entitlementOf(program), 'limit');
			}
		}
	}

	async function reserveLocally(request: ReservationRequest, isHomeUnreachable: boolean): Promise<ReservationOutcome> {
		// A leaving instance hands its accounts over and must not grant any more.
		if (!options.isWarm() || options.self().status === 'leaving') {
			return {kind: 'cold'};
		}

		const known = inProgress.get(request.attempt);
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
		inProgress.set(request.attempt, decision);
		try {
			return await decision;
		} finally {
			inProgress.delete(request.attempt);
		}
	}

	return {
		reserveLocally,
		writeOnBehalf: writer.writeOnBehalf,
		receive,
		rebroadcast: replication.rebroadcast,
		passOn: replication.passOn,
		rebalance: replication.rebalance,
		settle(program, attempt, used, isOver) {
			settlements.record(attempt, used);
			ledger.settle(program, attempt, used, clock.now());
			if (isOver) {
				ledger.endAttempt(program, attempt);
			}

			markDirty(program);
		},
		maintain() {
			settlements.prune();
			exchange.replyTimes.retain(options.members());
			ledger.expire(clock.now());
			replication.pruneExpired();
			replication.retry();
		},
	};
}
