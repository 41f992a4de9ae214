/**
What an instance knows of the others: runs the gossip, keeps the digests of their tables, and chooses which of them watches the
store.
*/
import {err, ok} from 'neverthrow';
import {type Clock, type Random} from '../contracts/clock.js';
import {failure} from '../contracts/failure.js';
import {
	as, type Address, type ConfigurationGeneration, type InstanceId, type Milliseconds,
} from '../contracts/id.js';
import {type RelayDigest} from '../contracts/relay-digest.js';
import {createContactSearch, type ContactSearch, type EndedSearch} from '../zones/contact-search.js';
import {createGossipProtocol, type GossipProtocol} from '../zones/gossip-protocol.js';
import {type Member, type Membership} from '../zones/membership.js';
import {type RelayPeers} from '../zones/relay-peers.js';
import {type SharedTables} from '../zones/shared-tables.js';
import {createWatcherElection} from '../zones/watcher-election.js';
import {type Crash} from './quarantine.js';

/** Timeout of one attempt of a gossip probe, and the maximum number of attempts. */
const gossipTimeoutMs = 250;
const gossipAttempts = 2;

export type RelayClusterOptions = {
	readonly id: InstanceId;
	readonly membership: Membership;
	/** The other members that are not dead. */
	readonly others: () => readonly Member[];
	readonly seeds: readonly Address[];
	readonly peers: Pick<RelayPeers, 'request' | 'greet' | 'repliedAt'>;
	/** The tables of this instance, which are created with what this module knows. */
	readonly tables: () => Pick<SharedTables, 'digest' | 'receiveDigest' | 'isStale'>;
	readonly generation: () => ConfigurationGeneration;
	readonly clock: Clock;
	readonly random: Random;
	readonly onMember: (member: Member) => void;
	readonly onPause: (gap: Milliseconds) => void;
	readonly onCrash: (crash: Crash) => void;
	readonly onContactSearched: (search: EndedSearch) => void;
};

export type RelayCluster = {
	readonly gossipProtocol: GossipProtocol;
	readonly contactSearch: ContactSearch;
	/** Whether this instance watches the store for its data centre. */
	readonly isWatcher: () => boolean;
	/** Whether a member has loaded the token usage of programs, as far as it has said. */
	readonly isWarm: (member: InstanceId) => boolean;
	readonly receiveDigest: (peer: Member, digest: RelayDigest) => void;
	/** Asks a member for its digest, and handles it. Resolves to undefined if it does not reply. */
	readonly askForDigest: (member: Member) => Promise<RelayDigest | undefined>;
};

/** Creates the view of an instance that has contacted no other. */
export function createRelayCluster(options: RelayClusterOptions): RelayCluster {
	const {
		id, membership, others, peers, tables, clock, random,
	} = options;
	const digests = new Map<InstanceId, RelayDigest>();
	const isStoreReachableFrom = (member: InstanceId) => (member === id ? tables().digest() : digests.get(member))?.isStoreReachable ?? true;
	const watcherElection = createWatcherElection({
		self: membership.self, members: membership.members, isStoreReachableFrom, clock,
	});

	function receiveDigest(peer: Member, digest: RelayDigest): void {
		digests.set(peer.id, digest);
		if (digest.storeAge !== undefined) {
			watcherElection.recordHeartbeat(peer.id);
		}

		tables().receiveDigest(peer, digest);
	}

	async function askForDigest(member: Member): Promise<RelayDigest | undefined> {
		const reply = await peers.request(member.address, {kind: 'digest'}, {timeout: as<Milliseconds>(gossipTimeoutMs), attempts: 1});
		if (reply?.kind !== 'digest') {
			return undefined;
		}

		receiveDigest(member, reply.digest);
		return reply.digest;
	}

	/** Requests a peer's greeting, and applies the members, data centres and digest in it. */
	async function greet(peer: Address) {
		const result = await peers.greet(peer);
		return result.map(greeting => {
			gossipProtocol.mergeMembers([greeting.self]);
			membership.handle({kind: 'known-data-centres', dataCentres: greeting.dataCentres, now: clock.now()});
			receiveDigest(greeting.self, greeting.digest);
			return greeting.members;
		});
	}

	const gossipProtocol = createGossipProtocol({
		membership,
		clock,
		seeds: options.seeds,
		peers: {
			async gossip(peer, gossip) {
				const reply = await peers.request(peer.address, {kind: 'gossip', gossip}, {timeout: as<Milliseconds>(gossipTimeoutMs), attempts: gossipAttempts});
				return reply?.kind === 'gossip'
					? ok(reply.gossip)
					: err(failure('peer-unreachable', `${peer.id} did not answer a probe within ${gossipAttempts} attempts of ${gossipTimeoutMs} ms`, {step: 'forward', peer: peer.id}));
			},
			members: async peer => greet(peer.address),
		},
		evidence: {probeLimit: as<Milliseconds>(gossipTimeoutMs * gossipAttempts), repliedAt: peers.repliedAt},
		generation: options.generation,
		onMember: options.onMember,
		onPause: options.onPause,
		onEndpointUpdate() {
			// The directory is the only source of endpoints.
		},
		onCrash: options.onCrash,
		nextPoolLatencies: () => [],
		onPoolLatency() {
			// Latencies are exchanged in the load reports.
		},
		relay: {digest: () => tables().digest(), onDigest: receiveDigest},
		onNewerConfiguration() {
			// The digest already carries the generation.
		},
	});
	const contactSearch = createContactSearch({
		isNeeded: () => tables().isStale(),
		others,
		isStoreReachableFrom,
		ask: async member => await askForDigest(member) !== undefined,
		clock,
		random,
		onEnd: options.onContactSearched,
	});

	return {
		gossipProtocol,
		contactSearch,
		isWatcher: watcherElection.isWatcher,
		isWarm: member => digests.get(member)?.isWarm ?? false,
		receiveDigest,
		askForDigest,
	};
}
