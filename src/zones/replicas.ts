/**
The instances that hold replicas of a program's account and would take over as its coordinator, and the exchange of
accounts with them.
*/
import {type Clock} from '../contracts/clock.js';
import {
	as, type DataCentreId, type InstanceId, type Milliseconds, type ProgramId,
} from '../contracts/id.js';
import {type TokenAccount} from '../contracts/token-account.js';
import {type Member} from './membership.js';
import {type OwnerRanks} from './owner-ranks.js';
import {type RelayMessage, type RelayPeers} from './relay-peers.js';
import {type ReplyBounds, type ReplyTimes} from './reply-times.js';
import {type UnresponsivePeers} from './unresponsive-peers.js';

/** Number of instances of a program's home that hold its account, including the coordinator. */
export const homeReplicas = 3;

/** Limits of a message to an instance of the same data centre. */
const neighbourBounds: ReplyBounds = {
	minimum: as<Milliseconds>(40), maximum: as<Milliseconds>(200), attempts: 1, lateAttempts: 1,
};

/** The other instances, as seen from this one. */
export type PeerView = {
	readonly self: () => Member;
	readonly members: () => readonly Member[];
	/** Data centres that have instances, including those of which none can be reached. */
	readonly dataCentres: () => readonly DataCentreId[];
	readonly ranks: OwnerRanks;
	/** Instances that recently failed to reply. */
	readonly unresponsive: UnresponsivePeers<InstanceId>;
};

/** How accounts are exchanged with other instances. */
export type AccountExchange = PeerView & {
	readonly peers: Pick<RelayPeers, 'request'>;
	/** How fast each process of an instance has replied to accounts. */
	readonly replyTimes: ReplyTimes;
	readonly clock: Clock;
	/** Merges what a peer counted. */
	readonly receive: (accounts: readonly TokenAccount[]) => void;
};

/**
The first `count` instances of a data centre in the rendezvous order of a program, without unresponsive ones and
without this one.
*/
export function replicasFor(view: PeerView, dataCentre: DataCentreId, program: ProgramId, count: number): readonly Member[] {
	return view.ranks.of(dataCentre, program, view.members())
		.filter(member => !view.unresponsive.has(member.id))
		.slice(0, count)
		.filter(member => member.id !== view.self().id);
}

/** Sends accounts to an instance and merges the newer accounts that it returns. Resolves to whether it replied. */
export async function sendAccounts(
	exchange: AccountExchange,
	target: Member,
	message: Extract<RelayMessage, {kind: 'accounts'}>,
	bounds: ReplyBounds,
): Promise<boolean> {
	const {peers, replyTimes, clock} = exchange;
	const sentAt = clock.now();
	const reply = await peers.request(target.address, message, replyTimes.next(target, bounds));
	if (!reply) {
		replyTimes.recordTimeout(target);
		exchange.unresponsive.add(target.id);
		return false;
	}

	replyTimes.recordReply(target, as<Milliseconds>(clock.now() - sentAt));
	if (reply.kind === 'accounts') {
		exchange.receive(reply.accounts);
	}

	return true;
}

/**
Merges what all other members of this data centre have counted, also those that count as dead here: an instance that is
not among those that hold the account may only believe them dead. Resolves to whether any replied.
*/
export async function askNeighbours(exchange: AccountExchange, account: TokenAccount): Promise<boolean> {
	const self = exchange.self();
	const neighbours = exchange.members().filter(member => member.dataCentre === self.dataCentre && member.id !== self.id);
	const replies = await Promise.all(neighbours.map(async member => sendAccounts(exchange, member, {kind: 'accounts', accounts: [account], isPassedOn: true}, neighbourBounds)));
	return replies.includes(true);
}
