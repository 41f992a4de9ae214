/**
The tables that all instances share: the configuration and the directory of endpoints. A few instances
watch the store; they tell the others of each change, and whoever sees from a digest that it is behind
fetches a snapshot from a peer. A newcomer asks the store itself once, or its peers when the store is away.
*/
import {type Result} from 'neverthrow';
import {type Clock, type Random} from '../contracts/clock.js';
import {type Failure} from '../contracts/failure.js';
import {
	as, type Address, type ChangeNumber, type ConfigurationGeneration, type EndpointId, type Milliseconds, type ObjectVersion,
} from '../contracts/id.js';
import {type KindedObject, type ObjectStore} from '../contracts/object-store.js';
import {type ListedEndpoint, type RelayConfiguration} from '../contracts/relay.js';
import {type RelayDigest} from '../contracts/relay-digest.js';
import {createEndpointDirectory, type DirectoryEntry} from './endpoint-directory.js';
import {type EndpointChanges, type RelayPeers, type RelayTables} from './relay-peers.js';
import {createStoreWatch, type StoreWatchEvent} from './store-watch.js';
import {createTablePeers} from './table-peers.js';

/** Shortest time between two snapshots that are fetched because of the same digest. */
const refetchMs = 500;

/** Wait of one watch: a connection that fell silent may delay a change by no more than this. */
const watchMs = 2500;

/** How often removals that were held back are looked at. */
const expiryMs = 500;

/** Time after which an instance that could not reach the store may be tried as a watcher again. */
const unreachableMs = 4000;

/** How the store's objects are named and read; given by the adapter. */
export type SharedObjects = {
	readonly configurationKind: string;
	readonly endpointKind: string;
	readonly decodeConfiguration: (object: KindedObject) => Result<RelayConfiguration, Failure> | undefined;
	readonly decodeEndpoint: (object: KindedObject) => ListedEndpoint | undefined;
};

export type SharedTablesEvent
	= | {readonly kind: 'configuration'; readonly generation: ConfigurationGeneration; readonly previous: ConfigurationGeneration | undefined; readonly source: string}
		| {readonly kind: 'configuration-refused'; readonly failure: Failure}
		| {readonly kind: 'endpoint'; readonly id: EndpointId; readonly change: 'listed' | 'leaving' | 'removed'; readonly revision: ObjectVersion; readonly source: string}
		/** The store no longer lists an endpoint, which may only mean that the store was away. */
		| {readonly kind: 'removal-doubted'; readonly id: EndpointId; readonly revision: ObjectVersion}
		| {readonly kind: 'unreadable'; readonly id: EndpointId; readonly revision: ObjectVersion}
		| {readonly kind: 'store'; readonly objects: string; readonly change: 'lost' | 'back'; readonly reason: string}
		/** This instance watches the store itself from now on, or is told by others. */
		| {readonly kind: 'watching'; readonly objects: string; readonly isWatching: boolean}
		| {readonly kind: 'snapshot-failed'; readonly failure: Failure};

export type SharedTablesOptions = {
	readonly address: Address;
	readonly store: ObjectStore;
	readonly objects: SharedObjects;
	readonly peers: Pick<RelayPeers, 'ask' | 'tables'>;
	/** A number that grows from one life of this instance to the next. */
	readonly firstChange: ChangeNumber;
	/** Addresses of all other members that live. */
	readonly others: () => readonly Address[];
	/** Whether this instance is one of those that watch the store. */
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
	readonly learnDigest: (peer: Address, digest: RelayDigest) => void;
	readonly learnChanges: (changes: EndpointChanges) => void;
	readonly tables: () => RelayTables;
	readonly run: (signal: AbortSignal) => Promise<void>;
};

/** Creates tables that are empty. */
export function createSharedTables(options: SharedTablesOptions): SharedTables {
	const {clock, objects} = options;
	const directory = createEndpointDirectory();
	const peers = createTablePeers({
		address: options.address,
		peers: options.peers,
		others: options.others,
		firstChange: options.firstChange,
		clock,
		onTables(tables, source) {
			fetchedAt = clock.now();
			learnTables(tables, source);
		},
		onFailure(failure) {
			fetchedAt = clock.now();
			options.onEvent({kind: 'snapshot-failed', failure});
		},
	});
	const lost = new Set<string>();
	let configuration: RelayConfiguration | undefined;
	let hasListing = false;
	let failedAt = as<Milliseconds>(-unreachableMs);
	let fetchedAt = as<Milliseconds>(-refetchMs);

	function digest(): RelayDigest {
		return {
			generation: configuration?.generation ?? as<ConfigurationGeneration>(0),
			endpointRevision: directory.revision(),
			isStoreReachable: lost.size === 0 || clock.now() - failedAt > unreachableMs,
			isWarm: options.isWarm(),
		};
	}

	function announce(): void {
		peers.tell({kind: 'announce', from: options.address, digest: digest()});
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

	/** Carries out what the directory decided. */
	function publish(entries: readonly DirectoryEntry[], source: string): void {
		for (const entry of entries) {
			options.onEntry(entry);
			options.onEvent(entry.kind === 'removed'
				? {
					kind: 'endpoint', id: entry.id, change: 'removed', revision: entry.revision, source,
				}
				: {
					kind: 'endpoint', id: entry.endpoint.id, change: entry.endpoint.isLeaving ? 'leaving' : 'listed', revision: entry.revision, source,
				});
		}
	}

	/** Reads an object of the list; one that cannot be read names no endpoint. */
	function toEntry(object: KindedObject, isDeleted: boolean): DirectoryEntry {
		const endpoint = isDeleted ? undefined : objects.decodeEndpoint(object);
		if (endpoint) {
			return {kind: 'listed', revision: object.revision, endpoint};
		}

		const id = as<EndpointId>(object.name);
		if (!isDeleted) {
			options.onEvent({kind: 'unreadable', id, revision: object.revision});
		}

		return {kind: 'removed', revision: object.revision, id};
	}

	function noteStore(kind: string, event: StoreWatchEvent): void {
		if (event.kind === 'begun' || event.kind === 'ended') {
			options.onEvent({kind: 'watching', objects: kind, isWatching: event.kind === 'begun'});
		} else if (event.kind === 'lost') {
			failedAt = clock.now();
			directory.noteTrouble(failedAt);
			if (!lost.has(kind)) {
				lost.add(kind);
				options.onEvent({
					kind: 'store', objects: kind, change: 'lost', reason: event.failure.message,
				});
				announce();
			}
		} else if (lost.delete(kind)) {
			options.onEvent({
				kind: 'store', objects: kind, change: 'back', reason: event.kind,
			});
		}
	}

	function learnConfiguration(object: KindedObject): void {
		objects.decodeConfiguration(object)?.match(next => {
			const isUpdate = configuration !== undefined;
			if (adopt(next, 'store') && isUpdate) {
				announce();
			}
		}, failure => {
			options.onEvent({kind: 'configuration-refused', failure});
		});
	}

	function onConfigurationEvent(event: StoreWatchEvent): void {
		noteStore(objects.configurationKind, event);
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

			case 'begun':
			case 'ended':
			case 'lost': {
				break;
			}
		}
	}

	function noteDoubts(revision: ObjectVersion): void {
		for (const id of directory.doubted()) {
			options.onEvent({kind: 'removal-doubted', id, revision});
		}
	}

	function onEndpointEvent(event: StoreWatchEvent): void {
		noteStore(objects.endpointKind, event);
		const now = clock.now();
		switch (event.kind) {
			case 'listed': {
				const news = directory.replace(event.list.objects.map(object => toEntry(object, false)), event.list.revision, now);
				publish(news, 'store');
				noteDoubts(event.list.revision);
				// Newcomers list at the same time, so only what a later list brings is news to others.
				if (hasListing) {
					peers.tellEntries(news);
				} else {
					peers.countEntries(news);
				}

				hasListing = true;
				break;
			}

			case 'changed': {
				// A deleted object bears the revision of its last change, not of its removal.
				const news = event.changes.flatMap(({object, isDeleted}) => directory.learn(toEntry(isDeleted ? {...object, revision: event.revision} : object, isDeleted), now));
				publish(news, 'store');
				noteDoubts(event.revision);
				peers.tellEntries(news);
				break;
			}

			case 'begun':
			case 'ended':
			case 'lost': {
				break;
			}
		}
	}

	/** Takes entries that a peer has decided on. */
	function merge(entries: readonly DirectoryEntry[], source: string): void {
		const news = directory.merge(entries, clock.now());
		publish(news, source);
		peers.countEntries(news);
	}

	function learnTables(tables: RelayTables, source: string): void {
		if (tables.configuration) {
			adopt(tables.configuration, source);
		}

		merge(tables.entries, source);
		directory.reach(tables.revision);
		hasListing ||= tables.entries.length > 0;
	}

	function isBehind(other: RelayDigest): boolean {
		return other.generation > digest().generation || other.endpointRevision > directory.revision();
	}

	function learnDigest(peer: Address, other: RelayDigest): void {
		if (!other.isStoreReachable) {
			directory.noteTrouble(clock.now());
		}

		// What is behind by a moment is usually told at once; the whole tables are for what got lost.
		const delay = () => as<Milliseconds>(other.generation > digest().generation ? 0 : Math.max(0, fetchedAt + refetchMs - clock.now()));
		peers.fetch(peer, () => isBehind(other), delay);
	}

	async function expire(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await clock.sleep(as<Milliseconds>(expiryMs), signal);
			const news = directory.expire(clock.now());
			publish(news, 'expiry');
			peers.tellEntries(news);
		}
	}

	const watch = (kind: string, isKnown: () => boolean, onEvent: (event: StoreWatchEvent) => void) => createStoreWatch({
		store: options.store, objects: kind, wait: as<Milliseconds>(watchMs), clock, random: options.random, isNeeded: () => !isKnown() || options.isWatcher(), onEvent,
	});

	return {
		digest,
		learnDigest,
		learnChanges(changes) {
			merge(changes.entries, 'peer');
			peers.learnChanges(changes);
		},
		tables: () => ({
			configuration, entries: directory.entries(), revision: directory.revision(), change: peers.change(),
		}),
		async run(signal) {
			await Promise.all([
				watch(objects.configurationKind, () => configuration !== undefined, onConfigurationEvent).run(signal),
				watch(objects.endpointKind, () => hasListing, onEndpointEvent).run(signal),
				expire(signal),
			]);
		},
	};
}
