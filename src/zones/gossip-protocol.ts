/**
Gossip of an instance: runs the membership protocol over the peer links and disseminates what
instances share with each other, such as configuration generations, leaving endpoints and crashes.
*/
import {type Clock} from '../contracts/clock.js';
import {
	as, type Address, type ConfigurationGeneration, type DataCentreId, type EndpointId, type Incarnation, type InstanceId,
	type Milliseconds,
} from '../contracts/id.js';
import {type ListedInstance} from '../contracts/platform.js';
import {type RelayDigest} from '../contracts/relay-digest.js';
import {type PoolLatency} from '../machines/fleet.js';
import {type Crash, crashKey} from '../machines/quarantine.js';
import {createBroadcastQueue} from './broadcast-queue.js';
import {
	type Member, type Membership, type MembershipEffect, type MembershipEvent, probeIntervalMs,
} from './membership.js';
import {type EndpointUpdate, type GossipMessage, type Peers} from './peers.js';

/** Maximum number of updates of each kind in one message. */
const updatesPerMessage = 8;

/** Maximum number of pools whose typical latencies one message contains. */
const poolLatenciesPerMessage = 2;

/** Number of peers of its data centre from which a starting instance fetches the member list. */
const joinPeerCount = 3;

/** Time beyond the limit of a probe, in ms, above which its outcome says more about this instance, which is late, than about the peer. */
const inconclusiveMs = 250;

/** Minimum interval between two fetches of a full member list. */
const synchronizationIntervalMs = 10_000;

export type GossipProtocol = {
	/** Handles a probe and returns its acknowledgement. */
	readonly receive: (message: GossipMessage) => GossipMessage;
	/** Merges the view of another instance that was not received in a gossip message. */
	readonly mergeMembers: (members: readonly Member[]) => void;
	readonly mergeListing: (listing: readonly ListedInstance[]) => void;
	readonly announceEndpoint: (update: EndpointUpdate) => void;
	readonly announceCrash: (crash: Crash) => void;
	/** Sends a gossip message to every member of this data centre at once, without waiting for the next probes. */
	readonly gossipNow: () => void;
	/** Configuration generation that each instance last reported. */
	readonly generations: () => ReadonlyMap<InstanceId, ConfigurationGeneration>;
	/** Fetches the member lists of seeds and known peers, so that this instance derives ownership from the same view as they do. */
	readonly joinCluster: () => Promise<void>;
	/** Sends a gossip message to each address, whether or not its instance is known, and merges the replies. */
	readonly contact: (addresses: readonly Address[]) => Promise<void>;
	/** Probes peers until the signal aborts. */
	readonly run: (signal: AbortSignal) => Promise<void>;
	/** Announces to the peers in this data centre that this instance is leaving. */
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
	readonly onEndpointUpdate: (update: EndpointUpdate) => void;
	readonly onCrash: (crash: Crash) => void;
	readonly nextPoolLatencies: (limit: number) => readonly PoolLatency[];
	readonly onPoolLatency: (pace: PoolLatency) => void;
	/** Digest of the tables that relay instances share; absent where nothing is relayed. */
	readonly relay?: {readonly digest: () => RelayDigest; readonly onDigest: (peer: Member, digest: RelayDigest) => void};
	/** How the links of this instance tell whether a peer lives; absent where a probe alone decides. */
	readonly evidence?: LinkEvidence;
	/** Called when a peer has a newer configuration. */
	readonly onNewerConfiguration: (peer: Member) => void;
};

/** What the links of an instance know about the outcome of a probe. */
export type LinkEvidence = {
	/** Maximum duration of a probe that gets no reply. */
	readonly probeLimit: Milliseconds;
	/** When the peer last replied to a request of any kind, however late; undefined if it never has. */
	readonly repliedAt: (peer: Address) => Milliseconds | undefined;
};

/** Creates the gossip of an instance that has not contacted any peer yet. */
export function createGossipProtocol(options: GossipProtocolOptions): GossipProtocol {
	const {membership, peers, clock} = options;
	const endpointUpdates = createBroadcastQueue<EndpointId, EndpointUpdate>();
	const crashUpdates = createBroadcastQueue<string, Crash>();
	const endpoints = new Map<EndpointId, EndpointUpdate>();
	const generations = new Map<InstanceId, ConfigurationGeneration>();
	let synchronizedAt = -synchronizationIntervalMs;

	function compose(): GossipMessage {
		return {
			from: membership.self(),
			members: membership.takeUpdates(),
			digest: membership.digest(),
			generation: options.generation(),
			endpoints: endpointUpdates.take(updatesPerMessage),
			crashes: crashUpdates.take(updatesPerMessage),
			paces: options.nextPoolLatencies(poolLatenciesPerMessage),
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

	/**
	Judges a probe without a reply. With little processor time, replies come after the limit, and an instance that is itself
	late does not see them in time.
	*/
	function judgeSilence(peer: Member, since: Milliseconds): void {
		const now = clock.now();
		if ((options.evidence?.repliedAt(peer.address) ?? -Infinity) >= since) {
			handle({kind: 'acknowledged', member: peer.id, now});
			return;
		}

		const isInconclusive = options.evidence !== undefined && now - since > options.evidence.probeLimit + inconclusiveMs;
		if (!isInconclusive) {
			handle({kind: 'unanswered', member: peer.id, now});
		}
	}

	async function probe(peer: Member): Promise<void> {
		const since = clock.now();
		const reply = await peers.gossip(peer, compose());
		if (reply.isErr()) {
			judgeSilence(peer, since);
			return;
		}

		handle({kind: 'acknowledged', member: peer.id, now: clock.now()});
		mergeMessage(reply.value);
		await synchronize(peer, reply.value);
	}

	/** Fetches a peer's full member list when the two views differ. Views are not compared across data centres, since reachability differs between them. */
	async function synchronize(peer: Member, message: GossipMessage): Promise<void> {
		const isDue = clock.now() - synchronizedAt >= synchronizationIntervalMs;
		const isLocal = peer.dataCentre === membership.self().dataCentre;
		if (message.digest === membership.digest() || !isDue || !isLocal) {
			return;
		}

		synchronizedAt = clock.now();
		const members = await peers.members(peer);
		if (members.isOk()) {
			mergeReportedMembers(members.value, peer.dataCentre);
		}
	}

	function mergeMessage(message: GossipMessage): void {
		mergeReportedMembers([message.from, ...message.members], message.from.dataCentre);
		generations.set(message.from.id, message.generation);
		for (const update of message.endpoints) {
			applyEndpointUpdate(update);
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

	function applyEndpointUpdate(update: EndpointUpdate): void {
		const known = endpoints.get(update.endpoint);
		if (!known || update.at > known.at) {
			endpoints.set(update.endpoint, update);
			endpointUpdates.put(update.endpoint, update);
			options.onEndpointUpdate(update);
		}
	}

	function mergeListing(listing: readonly ListedInstance[]): void {
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

	/** The instances at the addresses, other than this one. Their ids are not known before they reply. */
	function strangersAt(addresses: readonly Address[]): readonly Member[] {
		const self = membership.self();
		return [...new Set(addresses)].filter(address => address !== self.address).map(address => ({...self, id: as<InstanceId>(address), address}));
	}

	async function joinSeeds(): Promise<void> {
		await Promise.all(strangersAt(options.seeds).map(async seed => {
			const members = await peers.members(seed);
			if (members.isOk()) {
				mergeReportedMembers(members.value.filter(member => member.status !== 'dead'), seed.dataCentre);
			}
		}));
	}

	async function contact(addresses: readonly Address[]): Promise<void> {
		const message = compose();
		await Promise.all(strangersAt(addresses).map(async stranger => {
			const reply = await peers.gossip(stranger, message);
			if (reply.isOk()) {
				mergeMessage(reply.value);
			}
		}));
	}

	async function joinLocalPeers(): Promise<void> {
		await Promise.all(localPeers().slice(0, joinPeerCount).map(async peer => {
			const members = await peers.members(peer);
			if (members.isOk()) {
				mergeReportedMembers(members.value, peer.dataCentre);
			}
		}));
	}

	function localPeers(): readonly Member[] {
		const self = membership.self();
		return membership.members().filter(member => member.id !== self.id && member.dataCentre === self.dataCentre && member.status !== 'dead');
	}

	function mergeReportedMembers(members: readonly Member[], reporter: DataCentreId): void {
		handle({
			kind: 'updates', reporter, members, now: clock.now(),
		});
	}

	async function gossipToLocalPeers(): Promise<void> {
		const message = compose();
		await Promise.all(localPeers().map(async member => peers.gossip(member, message)));
	}

	return {
		contact,
		async joinCluster() {
			await Promise.all([joinSeeds(), joinLocalPeers()]);
		},
		receive(message) {
			mergeMessage(message);
			// A message from a peer proves that it is alive.
			handle({kind: 'acknowledged', member: message.from.id, now: clock.now()});
			return compose();
		},
		mergeMembers(members) {
			mergeReportedMembers(members.filter(member => member.status !== 'dead'), membership.self().dataCentre);
		},
		mergeListing,
		announceEndpoint: applyEndpointUpdate,
		announceCrash(crash) {
			crashUpdates.put(crashKey(crash), crash);
		},
		gossipNow() {
			void gossipToLocalPeers();
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
			await gossipToLocalPeers();
		},
	};
}
