/**
The neighbourhood of an instance: runs the membership protocol over the peer links and passes on
what instances have to know of each other, such as generations, leaving endpoints and crashes.
*/
import {type Clock} from '../contracts/clock.js';
import {
	as, type Address, type ConfigurationGeneration, type DataCentreId, type EndpointId, type Incarnation, type InstanceId,
	type Milliseconds,
} from '../contracts/id.js';
import {type ListedInstance} from '../contracts/platform.js';
import {type RelayDigest} from '../contracts/relay-digest.js';
import {type PoolLatency} from '../machines/fleet.js';
import {type Crash} from '../machines/quarantine.js';
import {createBroadcastQueue} from './broadcast-queue.js';
import {
	type Member, type Membership, type MembershipEffect, type MembershipEvent, probeIntervalMs,
} from './membership.js';
import {type EndpointUpdate, type GossipMessage, type Peers} from './peers.js';

/** News of each sort that one message carries. */
const newsPerMessage = 8;

/** Pools whose usual times one message carries. */
const pacesPerMessage = 2;

/** Neighbours whose view a starting instance asks for. */
const neighboursToMeet = 3;

/** Shortest time between two exchanges of whole member lists. */
const synchronizationMs = 10_000;

export type GossipProtocol = {
	/** Answers a probe. */
	readonly receive: (message: GossipMessage) => GossipMessage;
	/** Takes the view of another instance, found by other means than probes. */
	readonly mergeMembers: (members: readonly Member[]) => void;
	readonly mergeListing: (listing: readonly ListedInstance[]) => void;
	readonly announceEndpoint: (news: EndpointUpdate) => void;
	readonly announceCrash: (crash: Crash) => void;
	/** Tells every member of this data centre at once, without waiting for the next probes. */
	readonly gossipNow: () => void;
	/** Generation that each instance last said it has. */
	readonly generations: () => ReadonlyMap<InstanceId, ConfigurationGeneration>;
	/** Learns the view of seeds and known neighbours, so that ownership is judged by the same view as theirs. */
	readonly meet: () => Promise<void>;
	/** Probes peers until the signal aborts. */
	readonly run: (signal: AbortSignal) => Promise<void>;
	/** Tells peers that this instance is leaving. */
	readonly leave: () => Promise<void>;
};

export type GossipProtocolOptions = {
	readonly membership: Membership;
	readonly peers: Pick<Peers, 'gossip' | 'members'>;
	readonly clock: Clock;
	readonly seeds: readonly Address[];
	readonly generation: () => ConfigurationGeneration;
	readonly onMember: (member: Member) => void;
	readonly onPause: (gap: Milliseconds) => void;
	readonly onEndpointUpdate: (news: EndpointUpdate) => void;
	readonly onCrash: (crash: Crash) => void;
	readonly nextPoolLatencies: (limit: number) => readonly PoolLatency[];
	readonly onPoolLatency: (pace: PoolLatency) => void;
	/** Digest of the tables that relaying instances share; left out where nothing is relayed. */
	readonly relay?: {readonly digest: () => RelayDigest; readonly onDigest: (peer: Member, digest: RelayDigest) => void};
	/** A peer has a newer configuration. */
	readonly onNewerConfiguration: (peer: Member) => void;
};

/** Creates the neighbourhood of an instance that has not met anyone. */
export function createGossipProtocol(options: GossipProtocolOptions): GossipProtocol {
	const {membership, peers, clock} = options;
	const endpointNews = createBroadcastQueue<EndpointId, EndpointUpdate>();
	const crashNews = createBroadcastQueue<string, Crash>();
	const endpoints = new Map<EndpointId, EndpointUpdate>();
	const generations = new Map<InstanceId, ConfigurationGeneration>();
	let synchronizedAt = -synchronizationMs;

	function compose(): GossipMessage {
		return {
			from: membership.self(),
			members: membership.takeUpdates(),
			digest: membership.digest(),
			generation: options.generation(),
			endpoints: endpointNews.take(newsPerMessage),
			crashes: crashNews.take(newsPerMessage),
			paces: options.nextPoolLatencies(pacesPerMessage),
			...(options.relay && {relay: options.relay.digest()}),
		};
	}

	function handle(event: MembershipEvent): void {
		for (const effect of membership.handle(event)) {
			apply(effect);
		}
	}

	function apply(effect: MembershipEffect): void {
		switch (effect.kind) {
			case 'probe': {
				void probe(effect.member);
				return;
			}

			case 'changed': {
				options.onMember(effect.member);
				return;
			}

			case 'paused': {
				options.onPause(effect.gap);
			}
		}
	}

	async function probe(peer: Member): Promise<void> {
		const reply = await peers.gossip(peer, compose());
		if (reply.isErr()) {
			handle({kind: 'unanswered', member: peer.id, now: clock.now()});
			return;
		}

		handle({kind: 'acknowledged', member: peer.id, now: clock.now()});
		learn(reply.value);
		await synchronize(peer, reply.value);
	}

	/** Fetches a neighbour's whole list when the two views differ. Other data centres see other things. */
	async function synchronize(peer: Member, message: GossipMessage): Promise<void> {
		const isDue = clock.now() - synchronizedAt >= synchronizationMs;
		const isLocal = peer.dataCentre === membership.self().dataCentre;
		if (message.digest === membership.digest() || !isDue || !isLocal) {
			return;
		}

		synchronizedAt = clock.now();
		const members = await peers.members(peer);
		if (members.isOk()) {
			learnMembers(members.value, peer.dataCentre);
		}
	}

	function learn(message: GossipMessage): void {
		learnMembers([message.from, ...message.members], message.from.dataCentre);
		generations.set(message.from.id, message.generation);
		for (const news of message.endpoints) {
			learnEndpoint(news);
		}

		for (const pace of message.paces) {
			options.onPoolLatency(pace);
		}

		if (message.relay) {
			options.relay?.onDigest(message.from, message.relay);
		}

		for (const crash of message.crashes) {
			options.onCrash(crash);
		}

		if (message.generation > options.generation()) {
			options.onNewerConfiguration(message.from);
		}
	}

	function learnEndpoint(news: EndpointUpdate): void {
		const known = endpoints.get(news.endpoint);
		if (!known || news.at > known.at) {
			endpoints.set(news.endpoint, news);
			endpointNews.put(news.endpoint, news);
			options.onEndpointUpdate(news);
		}
	}

	function learnListing(listing: readonly ListedInstance[]): void {
		const members = listing
			.filter(entry => entry.role === 'entry' && entry.state === 'live')
			.map(entry => ({
				id: as<InstanceId>(entry.id),
				dataCentre: entry.dataCentre,
				address: entry.address,
				incarnation: as<Incarnation>(0),
				status: 'alive' as const,
			}));
		handle({
			kind: 'updates', reporter: membership.self().dataCentre, members, now: clock.now(),
		});
	}

	async function meetSeeds(): Promise<void> {
		const self = membership.self();
		for (const address of options.seeds) {
			if (address !== self.address) {
				const seed: Member = {...self, id: as<InstanceId>(address), address};
				const members = await peers.members(seed);
				if (members.isOk()) {
					learnMembers(members.value.filter(member => member.status !== 'dead'), self.dataCentre);
				}
			}
		}
	}

	async function meetNeighbours(): Promise<void> {
		await Promise.all(neighbours().slice(0, neighboursToMeet).map(async peer => {
			const members = await peers.members(peer);
			if (members.isOk()) {
				learnMembers(members.value, peer.dataCentre);
			}
		}));
	}

	function neighbours(): readonly Member[] {
		const self = membership.self();
		return membership.members().filter(member => member.id !== self.id && member.dataCentre === self.dataCentre && member.status !== 'dead');
	}

	function learnMembers(members: readonly Member[], reporter: DataCentreId): void {
		handle({
			kind: 'updates', reporter, members, now: clock.now(),
		});
	}

	async function tellEveryone(): Promise<void> {
		const message = compose();
		await Promise.all(neighbours().map(async member => peers.gossip(member, message)));
	}

	return {
		async meet() {
			await Promise.all([meetSeeds(), meetNeighbours()]);
		},
		receive(message) {
			learn(message);
			// A message from a peer proves that it is alive.
			handle({kind: 'acknowledged', member: message.from.id, now: clock.now()});
			return compose();
		},
		mergeMembers(members) {
			learnMembers(members.filter(member => member.status !== 'dead'), membership.self().dataCentre);
		},
		mergeListing: learnListing,
		announceEndpoint: learnEndpoint,
		announceCrash(crash) {
			crashNews.put(`${crash.fingerprint}|${crash.endpoint}`, crash);
		},
		gossipNow() {
			void tellEveryone();
		},
		generations: () => generations,
		async run(signal) {
			while (!signal.aborted) {
				handle({kind: 'tick', now: clock.now()});
				await clock.sleep(as<Milliseconds>(probeIntervalMs), signal);
			}
		},
		async leave() {
			handle({kind: 'leave'});
			await tellEveryone();
		},
	};
}
