/**
The directory of endpoints that instances share: what the store and peers say of it is carried out here and, by
the instance that watches for its data centre, told to the others.
*/
import {type Clock} from '../contracts/clock.js';
import {type Failure} from '../contracts/failure.js';
import {
	as, type EndpointId, type Milliseconds, type ObjectVersion,
} from '../contracts/id.js';
import {type VersionedObject, type ObjectChange, type ObjectList} from '../contracts/object-store.js';
import {type ListedEndpoint} from '../contracts/relay.js';
import {createEndpointDirectory, type DirectoryEntry} from './endpoint-directory.js';
import {type RelayTables} from './relay-peers.js';
import {type StoreWatchEvent} from './store-watch.js';
import {type TablePeers} from './table-peers.js';

/** How often removals that were held back are looked at, in ms. */
const expiryMs = 200;

export type SharedDirectoryEvent
	= | {readonly kind: 'endpoint'; readonly id: EndpointId; readonly change: 'listed' | 'leaving' | 'removed'; readonly revision: ObjectVersion; readonly source: string}
	/** The store no longer lists an endpoint, which may only mean that the store was away. */
		| {readonly kind: 'removal-doubted'; readonly id: EndpointId; readonly revision: ObjectVersion}
		| {readonly kind: 'unreadable'; readonly id: EndpointId; readonly revision: ObjectVersion}
	/** A list or a watch was not answered; it is made again. */
		| {readonly kind: 'watch-failed'; readonly objects: string; readonly failure: Failure};

export type SharedDirectoryOptions = {
	readonly peers: Pick<TablePeers, 'broadcastEntries' | 'numberEntries'>;
	/** Interval in which endpoints renew their entries in the list. */
	readonly endpointHeartbeat: Milliseconds;
	readonly endpointKind: string;
	readonly decodeEndpoint: (object: VersionedObject) => ListedEndpoint | undefined;
	/** Whether this instance watches the store for its data centre. */
	readonly isWatcher: () => boolean;
	readonly clock: Clock;
	readonly onEntry: (entry: DirectoryEntry) => void;
	readonly onEvent: (event: SharedDirectoryEvent) => void;
};

export type SharedDirectory = {
	readonly entries: () => readonly DirectoryEntry[];
	readonly revision: () => ObjectVersion;
	/** Revision of the last list that was read from the store; zero while it may lack what has only lapsed. */
	readonly listedAt: () => ObjectVersion;
	/** Whether the list has been read once, here or by a peer. */
	readonly isListed: () => boolean;
	readonly hasDeferredRemovals: () => boolean;
	readonly recordContact: (at: Milliseconds) => void;
	readonly onStoreEvent: (event: StoreWatchEvent) => void;
	/** Takes entries that a peer has decided on. */
	readonly merge: (entries: readonly DirectoryEntry[], source: string) => void;
	/** Takes all that a peer has: its entries, and the revision of the list that it read. */
	readonly mergeSnapshot: (tables: Pick<RelayTables, 'entries' | 'listedAt' | 'digest'>, source: string) => void;
	/** Carries out removals that were held back, until the signal aborts. */
	readonly run: (signal: AbortSignal) => Promise<void>;
};

/** Creates a directory that is empty. */
export function createSharedDirectory(options: SharedDirectoryOptions): SharedDirectory {
	const {clock, peers} = options;
	const directory = createEndpointDirectory(options.endpointHeartbeat);
	let isListed = false;

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
	function toEntry(object: VersionedObject, isDeleted: boolean): DirectoryEntry {
		const endpoint = isDeleted ? undefined : options.decodeEndpoint(object);
		if (endpoint) {
			return {kind: 'listed', revision: object.revision, endpoint};
		}

		const id = as<EndpointId>(object.name);
		if (!isDeleted) {
			options.onEvent({kind: 'unreadable', id, revision: object.revision});
		}

		return {kind: 'removed', revision: object.revision, id};
	}

	/** Tells the others of changes, if that falls to this instance. */
	function pass(entries: readonly DirectoryEntry[]): void {
		if (options.isWatcher()) {
			peers.broadcastEntries(entries);
		} else {
			peers.numberEntries(entries);
		}
	}

	function noteDoubts(revision: ObjectVersion): void {
		for (const id of directory.deferredRemovals()) {
			options.onEvent({kind: 'removal-doubted', id, revision});
		}
	}

	function learnList({objects, revision}: ObjectList): void {
		const news = directory.applyList(objects.map(object => toEntry(object, false)), revision, clock.now());
		publish(news, 'store');
		noteDoubts(revision);
		// Newcomers list at the same time, so only what a later list brings is news to others.
		if (isListed) {
			pass(news);
		} else {
			peers.numberEntries(news);
		}

		isListed = true;
	}

	function learnChanges(changes: readonly ObjectChange[], revision: ObjectVersion): void {
		const news = changes.flatMap(({object, isDeleted}) => directory.applyChange(toEntry(object, isDeleted), clock.now()));
		directory.advanceTo(revision);
		publish(news, 'store');
		noteDoubts(revision);
		pass(news);
	}

	/** Carries out what came from a peer; others learn it elsewhere. */
	function apply(news: readonly DirectoryEntry[], source: string): void {
		publish(news, source);
		peers.numberEntries(news);
	}

	return {
		entries: directory.entries,
		revision: directory.revision,
		listedAt: () => directory.isDeferringRemovals(clock.now()) ? as<ObjectVersion>(0) : directory.listedAt(),
		isListed: () => isListed,
		hasDeferredRemovals: () => directory.deferredRemovals().length > 0 || directory.isDeferringRemovals(clock.now()),
		recordContact(at) {
			directory.recordContact(at, clock.now());
		},
		onStoreEvent(event) {
			switch (event.kind) {
				case 'listed': {
					learnList(event.list);
					return;
				}

				case 'changed': {
					learnChanges(event.changes, event.revision);
					return;
				}

				case 'lost': {
					options.onEvent({kind: 'watch-failed', objects: options.endpointKind, failure: event.failure});
				}
			}
		},
		merge(entries, source) {
			apply(directory.merge(entries, clock.now()), source);
		},
		mergeSnapshot({entries, listedAt, digest}, source) {
			apply(directory.mergeSnapshot(entries, listedAt, clock.now()), source);
			directory.advanceTo(digest.endpointRevision);
			isListed ||= entries.length > 0;
		},
		async run(signal) {
			while (!signal.aborted) {
				await clock.sleep(as<Milliseconds>(expiryMs), signal);
				const news = directory.expire(clock.now());
				publish(news, 'expiry');
				pass(news);
			}
		},
	};
}
