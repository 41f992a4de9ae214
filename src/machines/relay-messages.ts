/**
Messages from peers, handed to the part of a relaying instance that each concerns.
*/
import {type InstanceId} from '../contracts/id.js';
import {type RelayDigest} from '../contracts/relay-digest.js';
import {type Conversations} from '../zones/conversations/conversations.js';
import {type Allotments} from '../zones/allotments/allotments.js';
import {type GossipProtocol} from '../zones/gossip-protocol.js';
import {type Member, type Membership} from '../zones/membership.js';
import {type RateLimits} from '../zones/rate-limits.js';
import {type RelayMessage, type RelayReply} from '../zones/relay-peers.js';
import {type SharedBudgets} from '../zones/shared-budgets.js';
import {type SharedOrigins} from '../zones/shared-origins.js';
import {type SharedTables} from '../zones/shared-tables.js';
import {type LoadReports} from './load-reports.js';

export type MessageRecipients = {
	readonly id: InstanceId;
	readonly membership: Pick<Membership, 'members'>;
	readonly gossipProtocol: Pick<GossipProtocol, 'receive'>;
	readonly tables: Pick<SharedTables, 'receiveChanges' | 'digest'>;
	readonly budgets: Pick<SharedBudgets, 'answer'>;
	readonly loads: Pick<LoadReports, 'receive'>;
	readonly rateLimits: Pick<RateLimits, 'answer'>;
	readonly origins: Pick<SharedOrigins, 'answer'>;
	readonly conversations: Pick<Conversations, 'answer'>;
	readonly allotments: Pick<Allotments, 'answer'>;
	readonly receiveDigest: (peer: Member, digest: RelayDigest) => void;
};

const done: RelayReply = {kind: 'done'};

/** Creates the handler of an instance's messages. */
export function createMessageHandler(recipients: MessageRecipients): (message: RelayMessage) => Promise<RelayReply> {
	const {
		id, membership, gossipProtocol, tables, budgets, loads, rateLimits, origins, conversations, allotments, receiveDigest,
	} = recipients;

	return async message => {
		switch (message.kind) {
			case 'gossip': {
				return {kind: 'gossip', gossip: gossipProtocol.receive(message.gossip)};
			}

			case 'announce': {
				// Members marked as dead are included, as the message shows that its sender is alive.
				const peer = membership.members().find(member => member.id !== id && member.address === message.from);
				if (peer) {
					receiveDigest(peer, message.digest);
				}

				return done;
			}

			case 'digest': {
				return {kind: 'digest', digest: tables.digest()};
			}

			case 'endpoints': {
				tables.receiveChanges(message.changes);
				return done;
			}

			case 'origin':
			case 'find-origin': {
				return origins.answer(message);
			}

			case 'archives': {
				return conversations.answer(message);
			}

			case 'permit': {
				return rateLimits.answer(message);
			}

			case 'allotment': {
				return {kind: 'allotment', reply: await allotments.answer(message.allotment)};
			}

			case 'loads': {
				loads.receive(message);
				return done;
			}

			case 'reserve':
			case 'settle':
			case 'record':
			case 'accounts': {
				return await budgets.answer(message) ?? done;
			}
		}
	};
}
