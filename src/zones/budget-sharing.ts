/**
How accounts travel between keepers. All instances have to know the home of each program, so that nobody
claims it a second time: the home tells one instance of each other data centre, which passes it on within its
own. What was counted is told only to the instances that would count next for the home.
*/
import {type Clock} from '../contracts/clock.js';
import {
	as, type DataCentreId, type InstanceId, type Milliseconds, type ProgramId,
} from '../contracts/id.js';
import {type Account, claimOf, type TokenLedger} from '../contracts/token-ledger.js';
import {type Member} from './membership.js';
import {homeKeepers, nextKeepers} from './budget-witnesses.js';
import {candidatesIn, dataCentresOf} from './ownership.js';
import {type RelayPeers} from './relay-peers.js';
import {type Silence} from './silence.js';

/** Time in which changes of accounts are gathered before keepers are told. */
const shareDelayMs = 20;

/** Timeout and tries of telling a keeper in whatever data centre; a call lasts longer. */
const shareTimeoutMs = 40;
const shareTries = 3;

/** Accounts in one message, which has to fit into a datagram. */
const accountsPerMessage = 4;

/** Time within which a claim is known everywhere unless a data centre could not be reached; two round trips. */
const promptMs = 300;

/**
Time in which data centres that hear of a claim late tell the home what they granted meanwhile: they may still
pass its instances over as silent, and look again once a second.
*/
const reconcileMs = 3000;

/** Share of the data centres, this one included. */
export type Reach = 'all' | 'most' | 'half' | 'few';

export type BudgetSharing = {
	/** The account has changed. */
	readonly markDirty: (program: ProgramId) => void;
	/** This data centre has become the program's home. */
	readonly announceClaim: (program: ProgramId) => void;
	/** The budget is spent: everyone is told, since a guest would grant another call. */
	readonly announceSpent: (program: ProgramId) => void;
	/** How many data centres know the program's home and cannot have granted calls that are not known here. */
	readonly reach: (program: ProgramId) => Reach;
	/** Passes on to this data centre the accounts that another one told; its own it has announced itself. */
	readonly passOn: (accounts: readonly Account[]) => void;
	/** Members came or went: whoever counts next has to know the accounts of this home. */
	readonly rebalance: () => void;
	/** Sends again what was not answered. */
	readonly retry: () => void;
	/** Drops what is known about programs that the ledger has dropped. */
	readonly forgetLapsed: () => void;
};

export type BudgetSharingOptions = {
	readonly self: () => Member;
	readonly members: () => readonly Member[];
	readonly peers: Pick<RelayPeers, 'ask' | 'post'>;
	readonly ledger: TokenLedger;
	readonly clock: Clock;
	/** Instances that did not answer lately. */
	readonly silent: Silence<InstanceId>;
	/** Takes over what a peer counted. */
	readonly receive: (accounts: readonly Account[]) => void;
};

/** A member between two of its restarts. */
function lifeOf(member: Member): string {
	return `${member.id}@${member.incarnation}`;
}

/** How far the news of a program has come. */
type Telling = {
	readonly startedAt: Milliseconds;
	/** When lives of members were last told; they forget the program when they hear no more. */
	readonly told: Map<string, Milliseconds>;
	/** When data centres first answered. */
	readonly answeredAt: Map<DataCentreId, Milliseconds>;
};

/** Creates the sharing of one instance. */
export function createBudgetSharing(options: BudgetSharingOptions): BudgetSharing {
	const {ledger, clock} = options;
	const dirty = new Set<ProgramId>();
	/** Programs whose accounts did not reach everyone. */
	const untold = new Set<ProgramId>();
	const tellings = new Map<ProgramId, Telling>();
	const {silent} = options;
	/** Programs whose spent budget was told. */
	const spent = new Set<ProgramId>();
	let isWaiting = false;

	function tellingOf(program: ProgramId): Telling {
		const known = tellings.get(program);
		if (known) {
			return known;
		}

		const telling: Telling = {
			startedAt: clock.now(), told: new Map(), answeredAt: new Map(),
		};
		tellings.set(program, telling);
		return telling;
	}

	function isTold(program: ProgramId, member: Member): boolean {
		const at = tellingOf(program).told.get(lifeOf(member));
		return at !== undefined && clock.now() - at < (ledger.account(program)?.retention ?? 0) / 2;
	}

	/** Instances of a data centre that should hear of the program. */
	function targetsIn(dataCentre: DataCentreId, program: ProgramId, count: number): readonly Member[] {
		return nextKeepers(options, dataCentre, program, count);
	}

	function audience(program: ProgramId): readonly Member[] {
		const own = options.self().dataCentre;
		const home = ledger.home(program) ?? own;
		return dataCentresOf(options.members()).filter(dataCentre => dataCentre === home || dataCentre !== own).flatMap(dataCentre => {
			const targets = targetsIn(dataCentre, program, dataCentre === home ? homeKeepers : 1);
			if (targets.length === 0 && dataCentre !== own) {
				untold.add(program);
			}

			return dataCentre === home ? targets : targets.filter(member => !isTold(program, member));
		});
	}

	/** Whether a data centre was told at once, or has had the time to say what it granted meanwhile. */
	function isInformed(dataCentre: DataCentreId, {startedAt, answeredAt}: Telling): boolean {
		const at = answeredAt.get(dataCentre);
		return dataCentre === options.self().dataCentre
			|| (at !== undefined && (at - startedAt <= promptMs || clock.now() - at >= reconcileMs));
	}

	function noteAnswered(target: Member, program: ProgramId): void {
		const telling = tellingOf(program);
		telling.told.set(lifeOf(target), clock.now());
		if (!telling.answeredAt.has(target.dataCentre)) {
			telling.answeredAt.set(target.dataCentre, clock.now());
		}
	}

	async function tell(target: Member, accounts: readonly Account[]): Promise<void> {
		for (let index = 0; index < accounts.length; index += accountsPerMessage) {
			const part = accounts.slice(index, index + accountsPerMessage);
			const reply = await options.peers.ask(target.address, {kind: 'accounts', accounts: part, isPassedOn: false}, {
				timeout: as<Milliseconds>(shareTimeoutMs), tries: shareTries,
			});
			if (reply) {
				if (reply.kind === 'accounts') {
					options.receive(reply.accounts);
				}

				for (const {program} of part) {
					noteAnswered(target, program);
				}
			} else {
				silent.note(target.id);
				for (const {program} of part) {
					untold.add(program);
				}
			}
		}
	}

	function share(): void {
		isWaiting = false;
		const byTarget = new Map<Member, Account[]>();
		for (const program of dirty) {
			const account = ledger.account(program);
			for (const target of account ? audience(program) : []) {
				const part = account && (target.dataCentre === account.home || spent.has(program) ? account : claimOf(account));
				byTarget.set(target, [...(byTarget.get(target) ?? []), ...(part ? [part] : [])]);
			}
		}

		dirty.clear();
		for (const [target, accounts] of byTarget) {
			void tell(target, accounts);
		}
	}

	function markDirty(program: ProgramId): void {
		tellingOf(program);
		dirty.add(program);
		if (!isWaiting) {
			isWaiting = true;
			void clock.sleep(as<Milliseconds>(shareDelayMs)).then(share);
		}
	}

	function tellNeighbours(accounts: readonly Account[]): void {
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
				tellingOf(program);
				dirty.add(program);
				share();
				tellNeighbours([claimOf(account)]);
			}
		},
		announceSpent(program) {
			if (!spent.has(program)) {
				spent.add(program);
				tellingOf(program).told.clear();
				markDirty(program);
			}
		},
		reach(program) {
			const telling = tellingOf(program);
			const dataCentres = dataCentresOf(options.members());
			const informed = dataCentres.filter(dataCentre => isInformed(dataCentre, telling)).length;
			if (informed === dataCentres.length) {
				return 'all';
			}

			if (informed * 2 === dataCentres.length) {
				return 'half';
			}

			return informed * 2 > dataCentres.length ? 'most' : 'few';
		},
		passOn(accounts) {
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
		forgetLapsed() {
			const known = new Set(ledger.programs());
			for (const program of tellings.keys()) {
				if (!known.has(program)) {
					tellings.delete(program);
					spent.delete(program);
				}
			}
		},
	};
}
