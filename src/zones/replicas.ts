/**
The instances that hold replicas of a program's account and would take over as its coordinator, and the exchange of
accounts with them.
*/
import {type DataCentreId, type InstanceId, type ProgramId} from '../contracts/id.js';
import {type TokenAccount} from '../contracts/token-account.js';
import {type Member} from './membership.js';
import {candidatesIn, rankOwners} from './ownership.js';
import {type MessageOptions, type RelayMessage, type RelayPeers} from './relay-peers.js';
import {type UnresponsivePeers} from './unresponsive-peers.js';

/** Number of instances of a program's home that hold its account, including the coordinator. */
export const homeReplicas = 3;

/** The other instances, as seen from this one. */
export type PeerView = {
	readonly self: () => Member;
	readonly members: () => readonly Member[];
	/** Data centres that have instances, including those of which none can be reached. */
	readonly dataCentres: () => readonly DataCentreId[];
	/** Instances that recently failed to reply. */
	readonly unresponsive: UnresponsivePeers<InstanceId>;
};

/** How accounts are exchanged with other instances. */
export type AccountExchange = PeerView & {
	readonly peers: Pick<RelayPeers, 'request'>;
	/** Merges what a peer counted. */
	readonly receive: (accounts: readonly TokenAccount[]) => void;
};

/**
The first `count` instances of a data centre in the rendezvous order of a program, without unresponsive ones and
without this one.
*/
export function replicasFor(view: PeerView, dataCentre: DataCentreId, program: ProgramId, count: number): readonly Member[] {
	return rankOwners(program, candidatesIn(dataCentre, view.members()))
		.filter(member => !view.unresponsive.has(member.id))
		.slice(0, count)
		.filter(member => member.id !== view.self().id);
}

/** Sends accounts to an instance and merges the newer accounts that it returns. Resolves to whether it replied. */
export async function sendAccounts(
	exchange: AccountExchange,
	target: Member,
	message: Extract<RelayMessage, {kind: 'accounts'}>,
	options: MessageOptions,
): Promise<boolean> {
	const reply = await exchange.peers.request(target.address, message, options);
	if (!reply) {
		exchange.unresponsive.add(target.id);
		return false;
	}

	if (reply.kind === 'accounts') {
		exchange.receive(reply.accounts);
	}

	return true;
}
