/**
Replication of accounts. Every instance has to know the home of each program, so that no other data centre claims
the program again: the home announces its claim to one instance of each other data centre, which rebroadcasts it
within its own. The counted tokens are sent only to the instances that would take over as coordinator at home, and
to every instance once a program needs the second half of its budget, which the home alone may grant.
*/
import {type Clock} from '../contracts/clock.js';
import {
	as, type DataCentreId, type Milliseconds, type ProcessId, type ProgramId,
} from '../contracts/id.js';
import {type TokenAccount, withStoreSlotOnly} from '../contracts/token-account.js';
import {type TokenLedger} from '../contracts/token-ledger.js';
import {type BudgetEvent} from './budget-event.js';
import {createHomeAnnouncements} from './home-announcements.js';
import {processOf} from './member-identity.js';
import {type Member} from './membership.js';
import {
	type AccountExchange, askNeighbours, homeReplicas, replicasFor,
} from './replicas.js';
import {createAccountDispatch, type Dispatch} from './account-dispatch.js';
import {candidatesIn, dataCentresOf} from './ownership.js';
import {createSecondHalfNotices} from './second-half-notices.js';
import {withTimeout} from './with-timeout.js';
import {type RelayPeers} from './relay-peers.js';

/** Time for which changes of accounts are batched before they are sent. */
const batchDelayMs = 20;

/**
Time for which changes of members are batched before accounts are sent to others. Members of a data centre that is cut off are declared
dead one after the other; one that starts waits longer than this for what it takes over.
*/
const rebalanceDelayMs = 250;

/** Maximum time for which a call waits until a notice is acknowledged everywhere; less than the timeout of the instance that asked. */
const noticeTimeoutMs = 120;

export type BudgetReplication = {
	/** Schedules the account to be sent, since it has changed. */
	readonly markDirty: (program: ProgramId) => void;
	/** Announces that this data centre has become the program's home. */
	readonly announceClaim: (program: ProgramId) => void;
	/**
	Notifies all data centres that from now on only the home may grant. Resolves once they have replied, or after a
	timeout.
	*/
	readonly acquireExclusivity: (program: ProgramId) => Promise<void>;
	/** Whether all data centres have acknowledged the notice, and none can have granted calls that are unknown here. */
	readonly isExclusive: (program: ProgramId) => boolean;
	/** Data centres that have yet to acknowledge the notice, or to report what they granted before it; empty without a notice. */
	readonly unaware: (program: ProgramId) => readonly DataCentreId[];
	/**
	Forwards accounts received from other data centres to the members of this one. Accounts whose home is here are left
	out, because this data centre has announced them itself.
	*/
	readonly rebroadcast: (accounts: readonly TokenAccount[]) => void;
	/** Passes on accounts that a member of this data centre has announced. */
	readonly passOn: (accounts: readonly TokenAccount[]) => void;
	/** Called when the membership may have changed: sends the accounts whose home is here to the instances that now replicate them. */
	readonly rebalance: () => void;
	/** Resends accounts that were not acknowledged. */
	readonly retry: () => void;
	/** Drops the state of programs that the ledger has dropped. */
	readonly pruneExpired: () => void;
};

export type BudgetReplicationOptions = AccountExchange & {
	readonly peers: Pick<RelayPeers, 'post'>;
	readonly ledger: TokenLedger;
	readonly clock: Clock;
	readonly onEvent: (event: BudgetEvent) => void;
};

/**
What a process of a member last acknowledged of a program, and when; members drop a program that is not sent again
within its retention.
*/
type Acknowledgement = {readonly at: Milliseconds; readonly revision: number};

/** Creates the replication of one instance. */
export function createBudgetReplication(options: BudgetReplicationOptions): BudgetReplication {
	const {ledger, clock} = options;
	const dirty = new Set<ProgramId>();
	/** Programs whose accounts were not acknowledged by every recipient. */
	const unacknowledged = new Set<ProgramId>();
	const acknowledgements = new Map<ProgramId, Map<ProcessId, Acknowledgement>>();
	const notices = createSecondHalfNotices(options);
	const announcements = createHomeAnnouncements(options);
	let isShareScheduled = false;
	let isRebalanceScheduled = false;
	let candidates = '';
	let ownCandidates = '';
	/** Programs whose accounts this instance held when members of its data centre changed. */
	const moving = new Set<ProgramId>();
	/** Number of programs whose accounts are to be shared because members have changed. */
	let rebalanced = 0;

	/** The instances among which coordinators and replicas are chosen. A member that is suspected, or refutes that, leaves them as they are. */
	function candidatesOf(dataCentres: readonly DataCentreId[]): string {
		const members = options.members();
		const processes = dataCentres.flatMap(dataCentre => candidatesIn(dataCentre, members)).map(member => processOf(member));
		return [...processes.toSorted(), options.self().status].join(' ');
	}

	/** Whether a member needs nothing: at home it has the current account, elsewhere it has learned of the program. */
	function hasAcknowledged(program: ProgramId, member: Member): boolean {
		const last = acknowledgements.get(program)?.get(processOf(member));
		const account = ledger.account(program);
		const isCurrent = last?.revision === ledger.revision(program) || member.dataCentre !== account?.home;
		return last !== undefined && isCurrent && clock.now() - last.at < (account?.retention ?? 0) / 2;
	}

	/** Whether an instance that holds the account is passed over for now, so that it has to be told later. */
	function isAnySkipped(dataCentre: DataCentreId, program: ProgramId): boolean {
		return options.ranks.of(dataCentre, program, options.members()).slice(0, homeReplicas).some(({id}) => options.unresponsive.has(id));
	}

	function recipients(program: ProgramId): readonly Member[] {
		const own = options.self().dataCentre;
		const home = ledger.home(program) ?? own;
		return dataCentresOf(options.members()).filter(dataCentre => dataCentre === home || dataCentre !== own).flatMap(dataCentre => {
			const count = dataCentre === home ? homeReplicas : 1;
			const targets = replicasFor(options, dataCentre, program, count);
			if ((targets.length === 0 && dataCentre !== own) || (dataCentre === home && isAnySkipped(dataCentre, program))) {
				unacknowledged.add(program);
			}

			return targets.filter(member => !hasAcknowledged(program, member));
		});
	}

	function recordAcknowledgement(target: Member, {account: {program, isSecondHalf}, revision}: Dispatch): void {
		// One of a message that was sent before the notice does not stand for the notice.
		if (notices.has(program) && !isSecondHalf) {
			return;
		}

		const byProcess = acknowledgements.get(program) ?? new Map<ProcessId, Acknowledgement>();
		acknowledgements.set(program, byProcess.set(processOf(target), {at: clock.now(), revision}));
		notices.recordAnswer(program, target.dataCentre);
	}

	/** The account as a member is to have it: other data centres need to know its home only. */
	function dispatchFor(target: Member, program: ProgramId): Dispatch | undefined {
		const account = ledger.account(program);
		if (!account || hasAcknowledged(program, target)) {
			return undefined;
		}

		const part = target.dataCentre === account.home || account.isSecondHalf ? account : withStoreSlotOnly(account);
		return {account: part, revision: ledger.revision(program)};
	}

	const dispatch = createAccountDispatch({
		exchange: options,
		dispatchFor,
		onAcknowledged: recordAcknowledgement,
		onUnanswered(program) {
			unacknowledged.add(program);
		},
	});

	function share(): void {
		isShareScheduled = false;
		const startedAt = clock.now();
		const byTarget = new Map<Member, ProgramId[]>();
		for (const program of dirty) {
			for (const target of ledger.account(program) ? recipients(program) : []) {
				byTarget.set(target, [...byTarget.get(target) ?? [], program]);
			}
		}

		dirty.clear();
		if (rebalanced > 0) {
			options.onEvent({kind: 'rebalanced', programs: rebalanced, took: as<Milliseconds>(clock.now() - startedAt)});
			rebalanced = 0;
		}

		for (const [target, programs] of byTarget) {
			dispatch.send(target, programs);
		}
	}

	/** Sends an account to all that need it, without waiting for what they have yet to acknowledge. */
	async function shareNow(program: ProgramId): Promise<void> {
		dirty.delete(program);
		const targets = ledger.account(program) ? recipients(program) : [];
		await Promise.all(targets.map(async target => dispatch.sendNow(target, program)));
	}

	function markDirty(program: ProgramId): void {
		dirty.add(program);
		if (!isShareScheduled) {
			isShareScheduled = true;
			void clock.sleep(as<Milliseconds>(batchDelayMs)).then(share);
		}
	}

	/** Notifies all data centres that only the home may grant. Replies arrive only after the notice has been stored. */
	async function sendNotice(program: ProgramId): Promise<void> {
		ledger.markSecondHalf(program);
		acknowledgements.delete(program);
		await shareNow(program);
	}

	/** Whether this instance knows more of a program whose home is here than that. Those that hold its account pass it on. */
	function isHeld(program: ProgramId): boolean {
		return ledger.home(program) === options.self().dataCentre && (ledger.isComplete(program) || ledger.hasGranted(program));
	}

	/** Finds out which accounts this instance no longer holds. From now on, others may grant without telling it. */
	function releaseAccounts(): void {
		const self = options.self();
		const current = candidatesOf([self.dataCentre]);
		if (current === ownCandidates) {
			return;
		}

		ownCandidates = current;
		for (const program of ledger.programs().filter(known => isHeld(known))) {
			moving.add(program);
			// One that leaves hands over what it has.
			if (self.status !== 'leaving' && !options.ranks.isAmongOwners(self, program, options.members(), homeReplicas)) {
				ledger.setComplete(program, false);
			}
		}
	}

	/** Sends the accounts that this instance holds, or has just released, to the instances that now hold them, if these have changed. */
	function handOver(): void {
		isRebalanceScheduled = false;
		const current = candidatesOf(dataCentresOf(options.members()));
		if (current !== candidates) {
			candidates = current;
			const programs = new Set([...moving, ...ledger.programs().filter(program => isHeld(program))]);
			for (const program of programs) {
				markDirty(program);
			}

			rebalanced = programs.size;
		}

		moving.clear();
	}

	return {
		markDirty,
		announceClaim(program) {
			if (ledger.account(program)) {
				void shareNow(program);
				announcements.announce([program]);
			}
		},
		async acquireExclusivity(program) {
			if (!notices.has(program) && !ledger.hasGranted(program)) {
				const account = ledger.account(program);
				await (account && askNeighbours(options, account));
			}

			await withTimeout(clock, noticeTimeoutMs, notices.deliver(program, async () => sendNotice(program)));
		},
		isExclusive: program => notices.has(program) && notices.unaware(program).length === 0,
		unaware: notices.unaware,
		rebroadcast(accounts) {
			const {dataCentre} = options.self();
			announcements.announce(accounts.filter(account => account.home !== dataCentre).map(({program}) => program));
		},
		passOn(accounts) {
			announcements.passOn(accounts.map(({program}) => program));
		},
		rebalance() {
			releaseAccounts();
			if (options.self().status === 'leaving') {
				handOver();
				announcements.flush();
			} else if (!isRebalanceScheduled) {
				isRebalanceScheduled = true;
				void clock.sleep(as<Milliseconds>(rebalanceDelayMs)).then(handOver);
			}
		},
		retry() {
			for (const program of unacknowledged) {
				markDirty(program);
			}

			unacknowledged.clear();
		},
		pruneExpired() {
			const known = new Set(ledger.programs());
			notices.retain(known);
			for (const program of acknowledgements.keys()) {
				if (!known.has(program)) {
					acknowledgements.delete(program);
				}
			}
		},
	};
}
