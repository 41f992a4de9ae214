/**
How accounts travel between keepers. All instances have to know the home of each program, so that nobody
claims it a second time: the home tells one instance of each other data centre, which passes it on within its
own. What was counted is told only to the instances that would count next for the home, and to everyone once a
program comes to the second half of its budget.
*/
import {type Clock} from '../contracts/clock.js';
import {
	as, type DataCentreId, type Milliseconds, type ProgramId,
} from '../contracts/id.js';
import {type TokenAccount, withStoreSlotOnly, type TokenLedger} from '../contracts/token-ledger.js';
import {type Member} from './membership.js';
import {
	type AccountExchange, homeReplicas, replicasFor, sendAccounts,
} from './replicas.js';
import {candidatesIn, dataCentresOf} from './ownership.js';
import {withTimeout} from './with-timeout.js';
import {type RelayPeers} from './relay-peers.js';

/** Time in which changes of accounts are gathered before keepers are told. */
const shareDelayMs = 20;

/** Timeout and tries of telling a keeper in whatever data centre; a call lasts longer. */
const shareTimeoutMs = 40;
const shareTries = 3;

/** Accounts in one message, which has to fit into a datagram. */
const accountsPerMessage = 4;

/** Time within which a notice is known everywhere unless a data centre could not be reached; two round trips. */
const promptMs = 300;

/** Time that a call waits for a notice to be known everywhere; less than its asker waits. */
const noticePatienceMs = 120;

/**
Time in which data centres that hear of a notice late tell the home what they granted meanwhile: they may still
pass its instances over as silent, and look again once a second.
*/
const reconcileMs = 3000;

export type BudgetReplication = {
	/** The account has changed. */
	readonly markDirty: (program: ProgramId) => void;
	/** This data centre has become the program's home. */
	readonly announceClaim: (program: ProgramId) => void;
	/** Tells all data centres that the program has come to the second half of its budget. Resolves when they answer, or soon. */
	readonly acquireExclusivity: (program: ProgramId) => Promise<void>;
	/** Whether all data centres know that, and none can have granted calls that are not known here. */
	readonly isExclusive: (program: ProgramId) => boolean;
	/** Passes on to this data centre the accounts that another one told; its own it has announced itself. */
	readonly rebroadcast: (accounts: readonly TokenAccount[]) => void;
	/** Members came or went: whoever counts next has to know the accounts of this home. */
	readonly rebalance: () => void;
	/** Sends again what was not answered. */
	readonly retry: () => void;
	/** Drops what is known about programs that the ledger has dropped. */
	readonly pruneExpired: () => void;
};

export type BudgetReplicationOptions = AccountExchange & {
	readonly peers: Pick<RelayPeers, 'post'>;
	readonly ledger: TokenLedger;
	readonly clock: Clock;
};

/** A member between two of its restarts. */
function lifeOf(member: Member): string {
	return `${member.id}@${member.incarnation}`;
}

/** How far the news of the second half of a program's budget has come. */
type Notice = {
	readonly startedAt: Milliseconds;
	/** When data centres first answered. */
	readonly answeredAt: Map<DataCentreId, Milliseconds>;
	/** Resolves when all have answered or failed to. */
	readonly told: Promise<void>;
};

/** Creates the sharing of one instance. */
export function createBudgetReplication(options: BudgetReplicationOptions): BudgetReplication {
	const {ledger, clock} = options;
	const dirty = new Set<ProgramId>();
	/** Programs whose accounts did not reach everyone. */
	const untold = new Set<ProgramId>();
	/** When lives of members were last told of a program; they forget it when they hear no more. */
	const toldAt = new Map<ProgramId, Map<string, Milliseconds>>();
	const notices = new Map<ProgramId, Notice>();
	let isWaiting = false;

	function isTold(program: ProgramId, member: Member): boolean {
		const at = toldAt.get(program)?.get(lifeOf(member));
		return at !== undefined && clock.now() - at < (ledger.account(program)?.retention ?? 0) / 2;
	}

	function audience(program: ProgramId): readonly Member[] {
		const own = options.self().dataCentre;
		const home = ledger.home(program) ?? own;
		return dataCentresOf(options.members()).filter(dataCentre => dataCentre === home || dataCentre !== own).flatMap(dataCentre => {
			const targets = replicasFor(options, dataCentre, program, dataCentre === home ? homeReplicas : 1);
			if (targets.length === 0 && dataCentre !== own) {
				untold.add(program);
			}

			return dataCentre === home ? targets : targets.filter(member => !isTold(program, member));
		});
	}

	/** Whether a data centre was told at once, or has had the time to say what it granted meanwhile. */
	function isInformed(dataCentre: DataCentreId, {startedAt, answeredAt}: Notice): boolean {
		const at = answeredAt.get(dataCentre);
		return dataCentre === options.self().dataCentre
			|| (at !== undefined && (at - startedAt <= promptMs || clock.now() - at >= reconcileMs));
	}

	function noteAnswered(target: Member, {program, isSecondHalf}: TokenAccount): void {
		const told = toldAt.get(program) ?? new Map<string, Milliseconds>();
		toldAt.set(program, told.set(lifeOf(target), clock.now()));
		const answeredAt = isSecondHalf ? notices.get(program)?.answeredAt : undefined;
		if (answeredAt && !answeredAt.has(target.dataCentre)) {
			answeredAt.set(target.dataCentre, clock.now());
		}
	}

	async function tell(target: Member, accounts: readonly TokenAccount[]): Promise<void> {
		for (let index = 0; index < accounts.length; index += accountsPerMessage) {
			const part = accounts.slice(index, index + accountsPerMessage);
			const isAnswered = await sendAccounts(options, target, {kind: 'accounts', accounts: part, isPassedOn: false}, {
				timeout: as<Milliseconds>(shareTimeoutMs), tries: shareTries,
			});
			if (isAnswered) {
				for (const account of part) {
					noteAnswered(target, account);
				}
			} else {
				for (const {program} of part) {
					untold.add(program);
				}
			}
		}
	}

	async function share(): Promise<void> {
		isWaiting = false;
		const byTarget = new Map<Member, TokenAccount[]>();
		for (const program of dirty) {
			const account = ledger.account(program);
			for (const target of account ? audience(program) : []) {
				const part = account && (target.dataCentre === account.home || account.isSecondHalf ? account : withStoreSlotOnly(account));
				byTarget.set(target, [...(byTarget.get(target) ?? []), ...(part ? [part] : [])]);
			}
		}

		dirty.clear();
		await Promise.all([...byTarget].map(async ([target, accounts]) => tell(target, accounts)));
	}

	function markDirty(program: ProgramId): void {
		dirty.add(program);
		if (!isWaiting) {
			isWaiting = true;
			void clock.sleep(as<Milliseconds>(shareDelayMs)).then(share);
		}
	}

	/** Tells all data centres of the second half; nobody can have answered before the notice is noted. */
	function startNotice(program: ProgramId): Notice {
		ledger.markExclusive(program);
		toldAt.delete(program);
		dirty.add(program);
		const notice = {startedAt: clock.now(), answeredAt: new Map<DataCentreId, Milliseconds>(), told: share()};
		notices.set(program, notice);
		return notice;
	}

	function tellNeighbours(accounts: readonly TokenAccount[]): void {
		const self = options.self();
		for (const member of candidatesIn(self.dataCentre, options.members())) {
			if (member.id !== self.id) {
				options.peers.post(member.address, {kind: 'accounts', accounts, isPassedOn: true});
			}
		}
	}

	return {
		markDirty,
		announceClaim(program) {
			const account = ledger.account(program);
			if (account) {
				dirty.add(program);
				void share();
				tellNeighbours([withStoreSlotOnly(account)]);
			}
		},
		async acquireExclusivity(program) {
			const notice = notices.get(program) ?? startNotice(program);
			await withTimeout(clock, noticePatienceMs, notice.told);
		},
		isExclusive(program) {
			const notice = notices.get(program);
			return notice !== undefined && options.dataCentres().every(dataCentre => isInformed(dataCentre, notice));
		},
		rebroadcast(accounts) {
			const {dataCentre} = options.self();
			const foreign = accounts.filter(account => account.home !== dataCentre);
			if (foreign.length > 0) {
				tellNeighbours(foreign);
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
		retry() {
			for (const program of untold) {
				markDirty(program);
			}

			untold.clear();
		},
		pruneExpired() {
			const known = new Set(ledger.programs());
			for (const program of [...toldAt.keys(), ...notices.keys()]) {
				if (!known.has(program)) {
					toldAt.delete(program);
					notices.delete(program);
				}
			}
		},
	};
}
