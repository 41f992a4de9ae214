/**
The instances that would count next for a program, and what passes between them and the one that counts now.
*/
import {type DataCentreId, type InstanceId, type ProgramId} from '../contracts/id.js';
import {type TokenAccount} from '../contracts/token-ledger.js';
import {type Member} from './membership.js';
import {candidatesIn, rankOwners} from './ownership.js';
import {type MessageOptions, type RelayMessage, type RelayPeers} from './relay-peers.js';
import {type UnresponsivePeers} from './unresponsive-peers.js';

/** Instances of its home that know a program's account. */
export const homeReplicas = 3;

/** The other instances that count, as seen from this one. */
export type PeerView = {
	readonly self: () => Member;
	readonly members: () => readonly Member[];
	/** Data centres that have instances, also those of which none can be reached. */
	readonly dataCentres: () => readonly DataCentreId[];
	/** Instances that did not answer lately. */
	readonly silent: UnresponsivePeers<InstanceId>;
};

/** How accounts reach the others and theirs come back. */
export type AccountExchange = PeerView & {
	readonly peers: Pick<RelayPeers, 'request'>;
	/** Takes over what a peer counted. */
	readonly receive: (accounts: readonly TokenAccount[]) => void;
};

/** Those that would count next for a program in a data centre, this instance and silent ones left out. */
export function replicasFor(view: PeerView, dataCentre: DataCentreId, program: ProgramId, count: number): readonly Member[] {
	return rankOwners(program, candidatesIn(dataCentre, view.members()))
		.filter(member => !view.silent.has(member.id))
		.slice(0, count)
		.filter(member => member.id !== view.self().id);
}

/** Tells an instance accounts and takes over what it knows beyond them. Resolves to whether it answered. */
export async function sendAccounts(
	exchange: AccountExchange,
	target: Member,
	message: Extract<RelayMessage, {kind: 'accounts'}>,
	options: MessageOptions,
): Promise<boolean> {
	const reply = await exchange.peers.request(target.address, message, options);
	if (!reply) {
		exchange.silent.add(target.id);
		return false;
	}

	if (reply.kind === 'accounts') {
		exchange.receive(reply.accounts);
	}

	return true;
}
