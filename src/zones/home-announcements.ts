/**
Announcements of the homes of programs within a data centre. Every instance of it has to know the home of each program, so that none
claims it again when the instances that coordinate it are lost. Two distributors collect what the others announce and pass it on to all in
batches: sent by each instance to each other one by one, announcements would be most of the messages of a large data centre.

Distributors are chosen by rendezvous hashing; there are two, so that one may be down or late. The instances that coordinate a program do not
depend on announcements: they are told of its home directly, and acknowledge it.
*/
import {type Clock} from '../contracts/clock.js';
import {as, type Milliseconds, type ProgramId} from '../contracts/id.js';
import {type TokenAccount, withStoreSlotOnly} from '../contracts/token-account.js';
import {type TokenLedger} from '../contracts/token-ledger.js';
import {type Member} from './membership.js';
import {candidatesIn} from './ownership.js';
import {type OwnerRanks} from './owner-ranks.js';
import {type RelayPeers} from './relay-peers.js';

/** Number of instances of a data centre that pass announcements on. */
const distributorCount = 2;

/** Key for which distributors are ranked. */
const distributorKey = 'home-announcements';

/** Time for which distributors collect announcements before they pass them on. */
const passOnMs = 100;

/** Maximum number of accounts in one message, and their maximum size: a message has to fit into a datagram of 64 KB. */
const accountsPerMessage = 24;
const sizePerMessage = 1400;

/** Approximate sizes of an account without slots and of a slot without attempts, as multiples of that of an attempt, about 40 bytes. */
const accountSize = 7;
const slotSize = 5;

export type HomeAnnouncements = {
	/** Announces what this instance knows of programs to its data centre. */
	readonly announce: (programs: readonly ProgramId[]) => void;
	/** Passes on what a neighbour has announced to this instance as a distributor. */
	readonly passOn: (programs: readonly ProgramId[]) => void;
	/** Passes on at once what is still collected. */
	readonly flush: () => void;
};

export type HomeAnnouncementsOptions = {
	readonly self: () => Member;
	readonly members: () => readonly Member[];
	readonly ranks: OwnerRanks;
	readonly peers: Pick<RelayPeers, 'post'>;
	readonly ledger: Pick<TokenLedger, 'account'>;
	readonly clock: Clock;
};

function sizeOf({slots, over = []}: TokenAccount): number {
	return slots.reduce((sum, {open = []}) => sum + slotSize + open.length, accountSize + over.length);
}

/** Divides accounts into messages. Those of programs for which many processes have counted are larger than others. */
function divide(accounts: readonly TokenAccount[]): ReadonlyArray<readonly TokenAccount[]> {
	const messages: TokenAccount[][] = [];
	let total = 0;
	for (const account of accounts) {
		const last = messages.at(-1);
		const size = sizeOf(account);
		total += size;
		if (last && last.length < accountsPerMessage && total <= sizePerMessage) {
			last.push(account);
		} else {
			messages.push([account]);
			total = size;
		}
	}

	return messages;
}

/** Creates the announcements of an instance. */
export function createHomeAnnouncements({self, members, ranks, peers, ledger, clock}: HomeAnnouncementsOptions): HomeAnnouncements {
	/** Programs that are to be passed on. */
	const collected = new Set<ProgramId>();

	/** The account as those need it that do not coordinate the program. Once only the home may grant, all must know what was granted. */
	function announcementOf(program: ProgramId): readonly TokenAccount[] {
		const account = ledger.account(program);
		if (!account) {
			return [];
		}

		return [account.isSecondHalf ? {...account, isComplete: false} : withStoreSlotOnly(account)];
	}

	function post(targets: readonly Member[], programs: readonly ProgramId[], isAnnouncement: boolean): void {
		for (const accounts of divide(programs.flatMap(program => announcementOf(program)))) {
			for (const {address} of targets) {
				peers.post(address, {
					kind: 'accounts', accounts, isPassedOn: !isAnnouncement, ...(isAnnouncement && {isAnnouncement}),
				});
			}
		}
	}

	function distributors(): readonly Member[] {
		return ranks.of(self().dataCentre, distributorKey, members()).slice(0, distributorCount);
	}

	function flush(): void {
		const informed = new Set([self().id, ...distributors().map(({id}) => id)]);
		post(candidatesIn(self().dataCentre, members()).filter(({id}) => !informed.has(id)), [...collected], false);
		collected.clear();
	}

	function passOn(programs: readonly ProgramId[]): void {
		const isFirst = collected.size === 0;
		for (const program of programs) {
			collected.add(program);
		}

		if (isFirst && collected.size > 0) {
			void clock.sleep(as<Milliseconds>(passOnMs)).then(flush);
		}
	}

	return {
		announce(programs) {
			const current = distributors();
			const {id} = self();
			post(current.filter(other => other.id !== id), programs, true);
			if (current.some(other => other.id === id)) {
				passOn(programs);
			}
		},
		passOn,
		flush,
	};
}
