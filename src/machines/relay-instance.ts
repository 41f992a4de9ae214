/**
An entry instance that relays requests: joins the cluster, shares tables and budgets with its peers, serves
requests, reports whether it is ready, and leaves without interrupting a request.
*/
import {defaultAllotmentBounds} from '../contracts/allotment.js';
import {type TunnelPolicy} from '../contracts/endpoint-path.js';
import {
	as, type ChangeNumber, type ConfigurationGeneration, type CounterId, type Incarnation,
	type Milliseconds,
} from '../contracts/id.js';
import {type CallerLimits} from '../contracts/relay.js';
import {pathOf} from '../contracts/relay-request.js';
import {createRoutingTable, type RoutingTable} from '../contracts/routing-table.js';
import {copiesFor} from '../contracts/tolerance.js';
import {type TokenAccount, withStoreSlotOnly} from '../contracts/token-account.js';
import {createTokenLedger} from '../contracts/token-ledger.js';
import {createArchivedRecords} from '../zones/archived-records.js';
import {createConversations} from '../zones/conversations/conversations.js';
import {createAllotments} from '../zones/allotments/allotments.js';
import {createSharedBudgets} from '../zones/shared-budgets.js';
import {type BudgetEvent} from '../zones/budget-event.js';
import {createMembership} from '../zones/membership.js';
import {contactsOutside} from '../zones/ownership.js';
import {
	type Greeting, type RelayMessage, type RelayReply, type RelayTables, type TablesRequest,
} from '../zones/relay-peers.js';
import {createSharedOrigins} from '../zones/shared-origins.js';
import {createSharedTables} from '../zones/shared-tables.js';
import {createWarmUp} from '../zones/warm-up.js';
import {createEndpointKnowledge} from './endpoint-knowledge.js';
import {createOverload, type Overload} from './overload.js';
import {createQuarantine} from './quarantine.js';
import {createRelay, type Relay} from './relay.js';
import {type RelayInstanceOptions} from './relay-instance-options.js';
import {createRelayInstanceReport, type RelayInstanceReport} from './relay-instance-report.js';
import {createMessageHandler} from './relay-messages.js';
import {createRelayCluster} from './relay-cluster.js';
import {createRelayFleet} from './relay-fleet.js';
import {createRelayPaths} from './relay-paths.js';
import {createRelayTurns} from './relay-turn.js';

/** Number of members of each other data centre that learn of a configuration at once. */
const contactsPerDataCentre = 2;

export type RelayInstance = RelayInstanceReport & {
	readonly relay: Relay;
	readonly limits: () => CallerLimits | undefined;
	/** Records a sample of how late the event loop of the process was. */
	readonly recordLoopDelay: Overload['recordDelay'];
	/** Whether the configuration has workspaces, so that callers need keys. */
	readonly hasWorkspaces: () => boolean;
	/** Time-out of the route of a request; undefined if there is none. */
	readonly routeTimeout: (host: string, target: string) => Milliseconds | undefined;
	/** Whether the instance accepts new callers. */
	readonly isReady: () => boolean;
	/** Whether the instance's data centre is cut off, so that callers are served better elsewhere. */
	readonly isCutOff: () => boolean;
	/** For whom, and to where, the instance opens tunnels. */
	readonly tunnels: TunnelPolicy;
	/** Handles a message from a peer. */
	readonly answer: (message: RelayMessage) => Promise<RelayReply>;
	readonly greeting: () => Greeting;
	readonly tables: (request: TablesRequest) => RelayTables;
	/** Accounts of all programs, with their homes and recorded amounts but without the slots of instances. */
	readonly homes: () => readonly TokenAccount[];
	readonly run: (signal: AbortSignal) => Promise<void>;
	/** Stops accepting new callers and notifies peers. */
	readonly leave: () => Promise<void>;
};

/** Creates an instance without any tables or peers yet. */
export function createRelayInstance(options: RelayInstanceOptions): RelayInstance {
	const {
		clock, random, store, peers, id, dataCentre, address,
	} = options;
	const incarnation = as<Incarnation>(clock.wall());
	const membership = createMembership({
		id, dataCentre, address, incarnation,
	}, random, options.dataCentres);
	const fleet = createRelayFleet(random, options.monitoring);
	const quarantine = createQuarantine();
	const overload = createOverload(random);
	const ledger = createTokenLedger(as<CounterId>(`${id}@${incarnation}`), dataCentre);
	let table: RoutingTable | undefined;

	const isLeaving = () => membership.self().status === 'leaving';
	const others = () => membership.members().filter(member => member.id !== id && member.status !== 'dead');
	const cluster = createRelayCluster({
		id,
		membership,
		others,
		seeds: options.seeds,
		peers,
		tables: () => tables,
		generation: () => table?.configuration.generation ?? as<ConfigurationGeneration>(0),
		clock,
		random,
		onMember(member) {
			options.onEvent({kind: 'member', member});
			budgets.rebalance();
			allotments.observeMembers();
		},
		onPause(gap) {
			options.onEvent({kind: 'paused', gap});
		},
		onCrash(crash) {
			quarantine.record(crash, clock.now());
		},
		onContactSearched(search) {
			options.onEvent({kind: 'contact-searched', search});
		},
	});
	const {gossipProtocol} = cluster;
	const {paths, tunnels} = createRelayPaths({
		dataCentre,
		others,
		ask: cluster.askForDigest,
		fleet,
		link: options.link,
		clock,
		random,
		onEvent(event) {
			options.onEvent({kind: 'path', path: event});
		},
	});
	const tables = createSharedTables({
		address,
		store,
		objects: options.objects,
		peers,
		endpointHeartbeat: options.endpointHeartbeat,
		firstChange: as<ChangeNumber>(incarnation),
		dataCentre,
		neighbours: () => others().filter(member => member.dataCentre === dataCentre).map(member => member.address),
		contacts: () => contactsOutside(dataCentre, membership.members(), contactsPerDataCentre, random).map(member => member.address),
		isWatcher: cluster.isWatcher,
		isWarm: () => warmUp.isWarm(),
		reachesEndpoints: () => !paths.isCutOff(),
		clock,
		random,
		onConfiguration(configuration) {
			table = createRoutingTable(configuration);
			allotments.prune();
		},
		onEntry(entry) {
			const ended = fleet.endedBy(entry);
			if (ended !== undefined) {
				relay.recordEnd(ended);
			}

			fleet.apply(entry);
			origins.apply(entry);
		},
		onEvent(event) {
			options.onEvent({kind: 'tables', tables: event});
		},
	});
	function onBudgetEvent(event: BudgetEvent): void {
		options.onEvent({kind: 'budget', budget: event});
	}

	const records = createArchivedRecords({
		records: options.records,
		dataCentre,
		address,
		keepsTurns: () => table?.turnRetention() !== undefined,
		keepAtArchives: async record => conversations.keepUsed(record),
		required: copiesFor(options.tolerance),
		store,
		link: options.archives,
		clock,
		onEvent: onBudgetEvent,
	});
	const budgets = createSharedBudgets({
		self: membership.self,
		members: membership.members,
		dataCentres: membership.dataCentres,
		peers,
		ledger,
		records,
		clock,
		isWarm: () => warmUp.isWarm(),
		onEvent: onBudgetEvent,
	});
	const warmUp = createWarmUp({
		isFirstStart: options.isFirstStart,
		hasNoPeers: () => others().length === 0,
		hasWarmPeer: () => others().some(member => cluster.isWarm(member.id)),
		hasWarmNeighbour: () => others().some(member => member.dataCentre === dataCentre && cluster.isWarm(member.id)),
		joinCluster: gossipProtocol.joinCluster,
		contact: async addresses => gossipProtocol.contact([...options.seeds, ...addresses]),
		async fetchHomes() {
			gossipProtocol.gossipNow();
			const warm = others().filter(member => cluster.isWarm(member.id));
			const peer = warm.find(member => member.dataCentre === dataCentre) ?? warm[0];
			const homes = peer && await peers.homes(peer.address);
			if (!homes?.isOk()) {
				return false;
			}

			budgets.receive(homes.value);
			return true;
		},
		records,
		ledger,
		clock,
		onEvent(event) {
			options.onEvent({kind: 'warm-up', warmUp: event});
		},
	});
	const origins = createSharedOrigins({
		self: membership.self,
		members: membership.members,
		peers,
		store,
		objects: options.objects,
		isWatcher: cluster.isWatcher,
		pools: () => table?.resumablePools() ?? [],
		tablesAge: tables.age,
		clock,
		onEvent(event) {
			options.onEvent({kind: 'versions', versions: event});
		},
	});
	const {rateLimits, loads} = createEndpointKnowledge({
		self: membership.self, members: membership.members, others, peers, fleet, clock, onEvent: options.onEvent,
	});
	const conversations = createConversations({
		dataCentre,
		tolerance: options.tolerance,
		retention: () => table?.turnRetention(),
		link: options.archives,
		store,
		storeSilence: tables.age,
		peers,
		self: membership.self,
		members: membership.members,
		clock,
		random,
		onEvent(event) {
			options.onEvent({kind: 'turns', turns: event});
		},
	});
	const allotments = createAllotments({
		self: membership.self,
		members: membership.members,
		dataCentres: membership.dataCentres,
		startedAt: incarnation,
		isFirstStart: options.isFirstStart,
		bounds: options.allotmentBounds ?? defaultAllotmentBounds,
		peers,
		allotmentOf(name) {
			const workspace = table?.workspace(name);
			return workspace && table && {generation: table.configuration.generation, allotment: workspace.allotment};
		},
		clock,
		onEvent: options.onEvent,
	});
	const relay = createRelay({
		fleet,
		paths,
		quarantine,
		clock,
		random,
		link: options.link,
		budgets,
		permits: rateLimits.permits,
		allotments,
		overload,
		hasBegun: program => ledger.home(program) !== undefined,
		origins,
		turns: createRelayTurns({turns: conversations, dataOf: options.dataOf}),
		dataCentre,
		table: () => table,
		onFailing: loads.announceFailing,
		tablesAge: tables.age,
		onEvent(event) {
			options.onEvent({kind: 'relay', relay: event});
			if (event.kind === 'crash-suspected') {
				gossipProtocol.announceCrash(event.crash);
			}
		},
	});
	const report = createRelayInstanceReport({
		id, isLeaving, isWarm: warmUp.isWarm, paths, tables, relay, overload, fleet, membership, ledger, allotments, conversations, store, clock,
	});

	return {
		relay,
		answer: createMessageHandler({
			id, membership, gossipProtocol, tables, budgets, loads, rateLimits, origins, conversations, allotments, receiveDigest: cluster.receiveDigest,
		}),
		tunnels,
		recordLoopDelay: overload.recordDelay,
		limits: () => table?.configuration.limits,
		hasWorkspaces: () => table?.configuration.workspaces !== undefined,
		isCutOff: conversations.isCutOff,
		isReady: () => table !== undefined && warmUp.isWarm() && !isLeaving() && !conversations.isCutOff(),
		routeTimeout: (host, target) => table?.routeOf(host, pathOf({target}))?.timeout,
		greeting: () => ({
			self: membership.self(), members: membership.members(), dataCentres: membership.dataCentres(), digest: tables.digest(),
		}),
		tables: tables.tables,
		homes: () => ledger.accounts().map(account => withStoreSlotOnly(account)),
		async run(signal) {
			await Promise.all([tables, cluster.contactSearch, paths, gossipProtocol, warmUp, budgets, loads, origins, conversations].map(async part => part.run(signal)));
		},
		async leave() {
			const leaveCompleted = gossipProtocol.leave();
			// The instances that take over the counting need the accounts of this instance.
			budgets.rebalance();
			await Promise.all([leaveCompleted, allotments.leave()]);
		},
		...report,
	};
}
