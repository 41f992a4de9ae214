/**
The tables that all instances share: the configuration and the directory of endpoints. One instance of each data
centre, the watcher, watches the store, broadcasts each change to the others there, and sends them heartbeats while
the store answers it. It also announces a configuration to contacts in the other data centres, who pass it on to their
neighbours if their own watcher has not. An instance that misses a change fetches the tables from a peer; one that gets
no heartbeat watches the store itself, and one that the store does not answer either asks other instances what they have.
So the staleness of an instance's tables is bounded, whichever other instances fail.
*/
import {type Clock, type Random} from '../contracts/clock.js';
import {type Failure} from '../contracts/failure.js';
import {
	as, type Address, type ChangeNumber, type DataCentreId, type Milliseconds,
} from '../contracts/id.js';
import {type ObjectStore} from '../contracts/object-store.js';
import {type RelayConfiguration} from '../contracts/relay.js';
import {type RelayDigest} from '../contracts/relay-digest.js';
import {type DirectoryEntry} from './endpoint-directory.js';
import {type Member} from './membership.js';
import {
	type EndpointChanges, type RelayMessage, type RelayPeers, type RelayTables, type TablesRequest,
} from './relay-peers.js';
import {createSharedConfiguration, type SharedConfigurationEvent} from './shared-configuration.js';
import {type SharedObjects} from './shared-objects.js';
import {createSharedDirectory, type SharedDirectoryEvent} from './shared-directory.js';
import {createStoreProbe, type StoreProbeEvent} from './store-probe.js';
import {createWatchSupervisor} from './watch-supervisor.js';
import {createStoreWatch, type StoreWatchEvent} from './store-watch.js';
import {type FetchReason} from './table-fetches.js';
import {createTablePeers, type TablesFetch} from './table-peers.js';

/** Time within which a broadcast change arrives, in ms; after that it counts as missed. */
const propagationMs = 60;

/** The same for a change that another data centre already has while the watcher of this one has yet to broadcast it. */
const otherDataCentrePropagationMs = 400;

/** Minimum interval between two fetches that a peer's newer list triggers, in ms. */
const refetchIntervalMs = 500;

/**
Maximum duration of one watch request, in ms. The probe has a connection of its own, so a watch whose connection has
stopped responding is detected only when it times out; half of the two seconds are left for that and for the list that follows.
*/
const watchWaitMs = 1000;

export type SharedTablesEvent
	= | SharedDirectoryEvent
		| SharedConfigurationEvent
		| {readonly kind: 'store'; readonly change: 'lost' | 'back'; readonly reason: string}
		/**
		This instance has begun to watch the store itself, or relies on broadcasts again; `sinceSync` is the time since
		the digest of a neighbour last proved its tables complete.
		*/
		| {readonly kind: 'watching'; readonly isWatching: boolean; readonly isWatcher: boolean; readonly sinceSync: Milliseconds}
		| {readonly kind: 'snapshot-fetched'; readonly fetch: TablesFetch}
		| {readonly kind: 'snapshot-failed'; readonly failure: Failure; readonly fetch: TablesFetch};

export type SharedTablesOptions = {
	readonly address: Address;
	readonly dataCentre: DataCentreId;
	readonly store: ObjectStore;
	readonly objects: SharedObjects;
	readonly peers: Pick<RelayPeers, 'request' | 'post' | 'tables'>;
	/** Interval at which endpoints renew their entries in the list. */
	readonly endpointHeartbeat: Milliseconds;
	/** Initial change number, which is higher for each later incarnation of this instance. */
	readonly firstChange: ChangeNumber;
	/** Addresses of the other live members of the data centre. */
	readonly neighbours: () => readonly Address[];
	/** Addresses of a few members of each other data centre. */
	readonly contacts: () => readonly Address[];
	/** Whether this instance watches the store for its data centre. */
	readonly isWatcher: () => boolean;
	readonly isWarm: () => boolean;
	readonly reachesEndpoints: () => boolean;
	readonly clock: Clock;
	readonly random: Random;
	readonly onConfiguration: (configuration: RelayConfiguration) => void;
	readonly onEntry: (entry: DirectoryEntry) => void;
	readonly onEvent: (event: SharedTablesEvent) => void;
};

export type SharedTables = {
	readonly digest: () => RelayDigest;
	readonly receiveDigest: (peer: Member, digest: RelayDigest) => void;
	readonly receiveChanges: (changes: EndpointChanges) => void;
	readonly tables: (request: TablesRequest) => RelayTables;
	/** Time since this instance last knew everything that the store had acknowledged. */
	readonly age: () => Milliseconds;
	/** Whether neither the store nor a neighbour keeps these tables up to date. */
	readonly isStale: () => boolean;
	/** Time for which the current fetch of tables, and the longest current request of a watch, have waited for an answer. */
	readonly waits: () => {readonly fetch: Milliseconds; readonly watch: Milliseconds};
	readonly run: (signal: AbortSignal) => Promise<void>;
};

/** Creates empty tables. */
export function createSharedTables(options: SharedTablesOptions): SharedTables {
	const {clock, objects} = options;
	const peers = createTablePeers({
		address: options.address,
		peers: options.peers,
		others: options.neighbours,
		generation: () => configuration.generation(),
		firstChange: options.firstChange,
		clock,
		onTables(tables, fetch, askedAt) {
			fetchedAt = clock.now();
			options.onEvent({kind: 'snapshot-fetched', fetch});
			applySnapshot(tables, fetch.peer);
			if (tables.entries && options.neighbours().includes(fetch.peer)) {
				receiveHeartbeat(fetch.peer, tables.digest, askedAt);
			}
		},
		onFailure(failure, fetch) {
			fetchedAt = clock.now();
			options.onEvent({kind: 'snapshot-failed', failure, fetch});
		},
	});
	const directory = createSharedDirectory({
		peers,
		endpointHeartbeat: options.endpointHeartbeat,
		endpointKind: objects.endpointKind,
		decodeEndpoint: objects.decodeEndpoint,
		isWatcher: options.isWatcher,
		clock,
		onEntry: options.onEntry,
		onEvent: options.onEvent,
	});
	const configuration = createSharedConfiguration({
		objects,
		clock,
		onConfiguration: options.onConfiguration,
		onUpdate() {
			peers.broadcast(announcement());
			if (options.isWatcher()) {
				peers.send(options.contacts(), announcement());
			}
		},
		onEvent: options.onEvent,
	});
	const probe = createStoreProbe({store: options.store, clock, onEvent: onProbeEvent});
	let peerSyncedAt = clock.now();
	let fetchedAt = as<Milliseconds>(-refetchIntervalMs);

	/**
	Age of these tables on which neighbours may rely; undefined while removals are deferred, so that neighbours watch
	the store themselves.
	*/
	function storeAge(): Milliseconds | undefined {
		const syncedAt = supervisor.storeSyncedAt();
		return syncedAt === undefined || directory.hasDeferredRemovals() ? undefined : as<Milliseconds>(clock.now() - syncedAt);
	}

	function digest(): RelayDigest {
		return {
			generation: configuration.generation(),
			endpointRevision: directory.revision(),
			change: peers.change(),
			storeAge: storeAge(),
			isStoreReachable: !probe.isLost(),
			isWarm: options.isWarm(),
			reachesEndpoints: options.reachesEndpoints(),
		};
	}

	function announcement(): RelayMessage {
		return {kind: 'announce', from: options.address, digest: digest()};
	}

	function onProbeEvent(event: StoreProbeEvent): void {
		switch (event.kind) {
			case 'confirmed': {
				directory.recordContact(event.at);
				if (event.wasLost) {
					options.onEvent({kind: 'store', change: 'back', reason: 'answered'});
				}

				break;
			}

			case 'lost': {
				if (!event.wasLost) {
					options.onEvent({kind: 'store', change: 'lost', reason: event.failure.message});
				}
			}
		}

		supervisor.check();
	}

	function applySnapshot(tables: RelayTables, source: Address): void {
		if (tables.configuration) {
			adoptFromPeer(tables.configuration, source);
		}

		if (tables.entries) {
			directory.mergeSnapshot(tables.entries, tables, source);
		}
	}

	/** Applies a configuration from a peer. Neighbours learn one that came from another data centre, as their watcher has not announced it. */
	function adoptFromPeer(next: RelayConfiguration, source: Address): void {
		const isUpdate = configuration.current() !== undefined;
		if (configuration.adopt(next, source) && isUpdate && !options.neighbours().includes(source)) {
			peers.broadcast(announcement());
		}
	}

	function fetchAfter(peer: Address, reason: FetchReason, isNeeded: () => boolean, delayMs: number): void {
		const notBefore = as<Milliseconds>(clock.now() + delayMs);
		peers.fetch({
			peer, reason, isNeeded, notBefore: () => notBefore,
		});
	}

	/**
	Handles the heartbeat of a neighbour that the store answers: if all its changes have arrived here, both have the
	same tables.
	*/
	function receiveHeartbeat(peer: Address, other: RelayDigest, at: Milliseconds): void {
		if (other.storeAge === undefined) {
			return;
		}

		const isComplete = () => peers.isSynchronized(peer, other.change) && other.generation <= configuration.generation();
		if (isComplete()) {
			peerSyncedAt = as<Milliseconds>(Math.max(peerSyncedAt, at - other.storeAge));
			directory.recordContact(peerSyncedAt);
		} else {
			fetchAfter(peer, 'contact', () => !isComplete(), propagationMs);
		}
	}

	function receiveDigest({address, dataCentre}: Member, other: RelayDigest): void {
		const isNeighbour = dataCentre === options.dataCentre;
		configuration.recordAnnouncement(address, other.generation);
		// A watcher that is in contact with the store is about to broadcast what another data centre already has.
		const delayMs = isNeighbour || supervisor.isStale() ? 0 : otherDataCentrePropagationMs;
		fetchAfter(address, 'configuration', () => other.generation > configuration.generation(), delayMs);
		if (isNeighbour && other.storeAge !== undefined) {
			receiveHeartbeat(address, other, clock.now());
		} else {
			// While no neighbour is in contact with the store, another data centre may have newer changes.
			peers.fetch({
				peer: address,
				reason: 'endpoints',
				isNeeded: () => supervisor.isStale() && other.endpointRevision > directory.revision(),
				notBefore: () => as<Milliseconds>(fetchedAt + refetchIntervalMs),
			});
		}
	}

	const watch = (kind: string, onEvent: (event: StoreWatchEvent) => void) => createStoreWatch({
		store: options.store, objects: kind, wait: as<Milliseconds>(watchWaitMs), clock, random: options.random, onEvent,
	});
	const watches = [watch(objects.configurationKind, configuration.onStoreEvent), watch(objects.endpointKind, directory.onStoreEvent)];
	const supervisor = createWatchSupervisor({
		probe,
		watches,
		isComplete: () => configuration.current() !== undefined && directory.isListed(),
		isWatcher: options.isWatcher,
		peerSyncedAt: () => peerSyncedAt,
		clock,
		onHeartbeat() {
			peers.post(announcement());
		},
		onWatching(isWatching) {
			options.onEvent({
				kind: 'watching', isWatching, isWatcher: options.isWatcher(), sinceSync: as<Milliseconds>(clock.now() - peerSyncedAt),
			});
		},
	});

	return {
		digest,
		receiveDigest,
		receiveChanges(changes) {
			directory.merge(changes.entries, 'peer');
			peers.receiveChanges(changes);
		},
		tables: request => ({
			configuration: configuration.generation() > request.generation ? configuration.current() : undefined,
			entries: request.withEntries ? directory.entries() : undefined,
			listedAt: directory.listedAt(),
			digest: digest(),
		}),
		age: () => as<Milliseconds>(clock.now() - Math.max(peerSyncedAt, supervisor.storeSyncedAt() ?? peerSyncedAt)),
		isStale: supervisor.isStale,
		waits: () => ({fetch: peers.fetchAge(), watch: as<Milliseconds>(Math.max(...watches.map(({requestAge}) => requestAge())))}),
		async run(signal) {
			await Promise.all([supervisor.run(signal), directory.run(signal)]);
		},
	};
}
