/**
The tables that all instances share: the configuration and the directory of endpoints. One instance of each data
centre watches the store, tells the others there of each change, and sends them heartbeats while the store answers
it. Whoever misses a change fetches the tables from a peer; whoever gets no heartbeat asks the store itself. So the age
of what an instance knows is bounded, whichever other instances are lost.
*/
import {type Result} from 'neverthrow';
import {type Clock, type Random} from '../contracts/clock.js';
import {type Failure} from '../contracts/failure.js';
import {
	as, type Address, type ChangeNumber, type ConfigurationGeneration, type DataCentreId, type Milliseconds,
} from '../contracts/id.js';
import {type VersionedObject, type ObjectStore} from '../contracts/object-store.js';
import {type ListedEndpoint, type RelayConfiguration} from '../contracts/relay.js';
import {type RelayDigest} from '../contracts/relay-digest.js';
import {type DirectoryEntry} from './endpoint-directory.js';
import {type Member} from './membership.js';
import {
	type EndpointChanges, type RelayMessage, type RelayPeers, type RelayTables,
} from './relay-peers.js';
import {createSharedDirectory, type SharedDirectoryEvent} from './shared-directory.js';
import {createStoreProbe, type StoreProbeEvent} from './store-probe.js';
import {createWatchSupervisor} from './watch-supervisor.js';
import {createStoreWatch, type StoreWatchEvent} from './store-watch.js';
import {createTablePeers} from './table-peers.js';

/** Time in which a change that is being told arrives, in ms; after that it was missed. */
const tellingMs = 60;

/** The same for a change that the own data centre's watcher tells while another data centre already knows it. */
const otherDataCentreMs = 400;

/** Shortest time between two fetches because of a peer's newer list, in ms. */
const refetchMs = 500;

/** Wait of one watch, in ms: a connection that fell silent may delay a change by no more than this. */
const watchMs = 2000;

/** How the store's objects are named and read; given by the adapter. */
export type SharedObjects = {
	readonly configurationKind: string;
	readonly endpointKind: string;
	readonly decodeConfiguration: (object: VersionedObject) => Result<RelayConfiguration, Failure> | undefined;
	readonly decodeEndpoint: (object: VersionedObject) => ListedEndpoint | undefined;
};

export type SharedTablesEvent
	= | SharedDirectoryEvent
		| {readonly kind: 'configuration'; readonly generation: ConfigurationGeneration; readonly previous: ConfigurationGeneration | undefined; readonly source: string}
		| {readonly kind: 'configuration-refused'; readonly failure: Failure}
		| {readonly kind: 'store'; readonly change: 'lost' | 'back'; readonly reason: string}
		/** This instance watches the store itself from now on, or is told by others; `silence` is since it last heard of the store. */
		| {readonly kind: 'watching'; readonly isWatching: boolean; readonly isWatcher: boolean; readonly sinceSync: Milliseconds}
		| {readonly kind: 'snapshot-failed'; readonly failure: Failure};

export type SharedTablesOptions = {
	readonly address: Address;
	readonly dataCentre: DataCentreId;
	readonly store: ObjectStore;
	readonly objects: SharedObjects;
	readonly peers: Pick<RelayPeers, 'request' | 'post' | 'tables'>;
	/** Interval in which endpoints renew their entries in the list. */
	readonly endpointHeartbeat: Milliseconds;
	/** A number that grows from one life of this instance to the next. */
	readonly firstChange: ChangeNumber;
	/** Addresses of the other members of the data centre that live. */
	readonly neighbours: () => readonly Address[];
	/** Whether this instance watches the store for its data centre. */
	readonly isWatcher: () => boolean;
	readonly isWarm: () => boolean;
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
	readonly tables: () => RelayTables;
	/** Time since everything that the store had acknowledged was known here. */
	readonly age: () => Milliseconds;
	readonly run: (signal: AbortSignal) => Promise<void>;
};

/** Creates tables that are empty. */
export function createSharedTables(options: SharedTablesOptions): SharedTables {
	const {clock, objects} = options;
	const peers = createTablePeers({
		address: options.address,
		peers: options.peers,
		others: options.neighbours,
		firstChange: options.firstChange,
		clock,
		onTables(tables, source, askedAt) {
			fetchedAt = clock.now();
			learnTables(tables, source);
			if (options.neighbours().includes(source)) {
				learnHeartbeat(source, tables.digest, askedAt);
			}
		},
		onFailure(failure) {
			fetchedAt = clock.now();
			options.onEvent({kind: 'snapshot-failed', failure});
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
	const contact = createStoreProbe({store: options.store, clock, onEvent: onContactEvent});
	let configuration: RelayConfiguration | undefined;
	let heardAt = clock.now();
	let fetchedAt = as<Milliseconds>(-refetchMs);

	/** Age of these tables as neighbours may rely on it; undefined while removals are doubted, so that they ask the store. */
	function storeAge(): Milliseconds | undefined {
		const freshAt = duty.storeSyncedAt();
		return freshAt === undefined || directory.hasDeferredRemovals() ? undefined : as<Milliseconds>(clock.now() - freshAt);
	}

	function generation(): ConfigurationGeneration {
		return configuration?.generation ?? as<ConfigurationGeneration>(0);
	}

	function digest(): RelayDigest {
		return {
			generation: generation(),
			endpointRevision: directory.revision(),
			change: peers.change(),
			storeAge: storeAge(),
			isStoreReachable: !contact.isLost(),
			isWarm: options.isWarm(),
		};
	}

	function announcement(): RelayMessage {
		return {kind: 'announce', from: options.address, digest: digest()};
	}

	function adopt(next: RelayConfiguration, source: string): boolean {
		const previous = configuration?.generation;
		if (previous !== undefined && next.generation <= previous) {
			return false;
		}

		configuration = next;
		options.onConfiguration(next);
		options.onEvent({
			kind: 'configuration', generation: next.generation, previous, source,
		});
		return true;
	}

	function onContactEvent(event: StoreProbeEvent): void {
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

		duty.check();
	}

	function learnConfiguration(object: VersionedObject): void {
		objects.decodeConfiguration(object)?.match(next => {
			const isUpdate = configuration !== undefined;
			if (adopt(next, 'store') && isUpdate) {
				peers.broadcast(announcement());
			}
		}, failure => {
			options.onEvent({kind: 'configuration-refused', failure});
		});
	}

	function onConfigurationEvent(event: StoreWatchEvent): void {
		switch (event.kind) {
			case 'listed': {
				for (const object of event.list.objects) {
					learnConfiguration(object);
				}

				break;
			}

			case 'changed': {
				for (const change of event.changes.filter(({isDeleted}) => !isDeleted)) {
					learnConfiguration(change.object);
				}

				break;
			}

			case 'lost': {
				options.onEvent({kind: 'watch-failed', objects: objects.configurationKind, failure: event.failure});
			}
		}
	}

	function learnTables(tables: RelayTables, source: string): void {
		if (tables.configuration) {
			adopt(tables.configuration, source);
		}

		directory.mergeSnapshot(tables, source);
	}

	/** The store answers a neighbour: if it has told this instance everything, both know the same. */
	function learnHeartbeat(peer: Address, other: RelayDigest, at: Milliseconds): void {
		if (other.storeAge === undefined) {
			return;
		}

		const isComplete = () => peers.isSynchronized(peer, other.change) && other.generation <= generation();
		if (isComplete()) {
			heardAt = as<Milliseconds>(Math.max(heardAt, at - other.storeAge));
			directory.recordContact(heardAt);
		} else {
			peers.fetch(peer, () => !isComplete(), () => as<Milliseconds>(tellingMs));
		}
	}

	function learnDigest({address, dataCentre}: Member, other: RelayDigest): void {
		const isNeighbour = dataCentre === options.dataCentre;
		peers.fetch(address, () => other.generation > generation(), () => as<Milliseconds>(isNeighbour ? 0 : otherDataCentreMs));
		if (isNeighbour && other.storeAge !== undefined) {
			learnHeartbeat(address, other, clock.now());
		} else {
			// No neighbour is in contact with the store, but another data centre may know newer changes.
			const delay = () => as<Milliseconds>(Math.max(0, fetchedAt + refetchMs - clock.now()));
			peers.fetch(address, () => duty.isStale() && other.endpointRevision > directory.revision(), delay);
		}
	}

	const watch = (kind: string, onEvent: (event: StoreWatchEvent) => void) => createStoreWatch({
		store: options.store, objects: kind, wait: as<Milliseconds>(watchMs), clock, random: options.random, onEvent,
	});
	const duty = createWatchSupervisor({
		probe: contact,
		watches: [watch(objects.configurationKind, onConfigurationEvent), watch(objects.endpointKind, directory.onStoreEvent)],
		isComplete: () => configuration !== undefined && directory.isListed(),
		isWatcher: options.isWatcher,
		peerSyncedAt: () => heardAt,
		clock,
		onHeartbeat() {
			peers.post(announcement());
		},
		onWatching(isWatching) {
			options.onEvent({
				kind: 'watching', isWatching, isWatcher: options.isWatcher(), sinceSync: as<Milliseconds>(clock.now() - heardAt),
			});
		},
	});

	return {
		digest,
		receiveDigest: learnDigest,
		receiveChanges(changes) {
			directory.merge(changes.entries, 'peer');
			peers.receiveChanges(changes);
		},
		tables: () => ({
			configuration, entries: directory.entries(), listedAt: directory.listedAt(), digest: digest(),
		}),
		age: () => as<Milliseconds>(clock.now() - Math.max(heardAt, duty.storeSyncedAt() ?? heardAt)),
		async run(signal) {
			await Promise.all([duty.run(signal), directory.run(signal)]);
		},
	};
}
