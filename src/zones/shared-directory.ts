/**
The directory of endpoints that instances share: applies changes from the store and from peers, and broadcasts the
store's changes if this instance watches the store for its data centre.
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

/** Interval at which deferred removals are checked, in ms. */
const expiryIntervalMs = 200;

/** A list or watch request failed; it is retried. */
export type WatchFailure = {readonly kind: 'watch-failed'; readonly objects: string; readonly failure: Failure; readonly took: Milliseconds};

export type SharedDirectoryEvent
	= | {readonly kind: 'endpoint'; readonly id: EndpointId; readonly change: 'listed' | 'leaving' | 'removed'; readonly revision: ObjectVersion; readonly source: string}
	/** The store no longer lists an endpoint, possibly only because of an outage; its removal is deferred. */
		| {readonly kind: 'removal-doubted'; readonly id: EndpointId; readonly revision: ObjectVersion}
		| {readonly kind: 'unreadable'; readonly id: EndpointId; readonly revision: ObjectVersion}
		| WatchFailure;

export type SharedDirectoryOptions = {
	readonly peers: Pick<TablePeers, 'broadcastEntries' | 'numberEntries'>;
	/** Interval at which endpoints renew their entries in the list. */
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
	/**
	Revision of the last list that was read from the store; zero while the list may lack entries that merely expired
	during an outage.
	*/
	readonly listedAt: () => ObjectVersion;
	/** Whether the list has been read once, from the store or from a peer. */
	readonly isListed: () => boolean;
	readonly hasDeferredRemovals: () => boolean;
	readonly recordContact: (at: Milliseconds) => void;
	readonly onStoreEvent: (event: StoreWatchEvent) => void;
	/** Merges entries that are in effect at a peer. */
	readonly merge: (entries: readonly DirectoryEntry[], source: string) => void;
	/** Merges the snapshot of a peer: its entries, and the revision of the list that it read. */
	readonly mergeSnapshot: (entries: readonly DirectoryEntry[], tables: Pick<RelayTables, 'listedAt' | 'digest'>, source: string) => void;
	/** Applies deferred removals when they are due, until the signal aborts. */
	readonly run: (signal: AbortSignal) => Promise<void>;
};

/** Creates an empty directory. */
export function createSharedDirectory(options: SharedDirectoryOptions): SharedDirectory {
	const {clock, peers} = options;
	const directory = createEndpointDirectory(options.endpointHeartbeat);
	let isListed = false;

	/** Reports changes of the directory to `onEntry` and `onEvent`. */
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

	/** Decodes an object of the list; an unreadable one counts as removed. */
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

	/** Advances the change number, and broadcasts the changes if this instance is the watcher. */
	function propagate(entries: readonly DirectoryEntry[]): void {
		if (options.isWatcher()) {
			peers.broadcastEntries(entries);
		} else {
			peers.numberEntries(entries);
		}
	}

	function reportDeferredRemovals(revision: ObjectVersion): void {
		for (const id of directory.deferredRemovals()) {
			options.onEvent({kind: 'removal-doubted', id, revision});
		}
	}

	function applyList({objects, revision}: ObjectList): void {
		const applied = directory.applyList(objects.map(object => toEntry(object, false)), revision, clock.now());
		publish(applied, 'store');
		reportDeferredRemovals(revision);
		// Instances that start together list at the same time, so only the changes of a later list are new to the others.
		if (isListed) {
			propagate(applied);
		} else {
			peers.numberEntries(applied);
		}

		isListed = true;
	}

	function applyChanges(changes: readonly ObjectChange[], revision: ObjectVersion): void {
		const applied = changes.flatMap(({object, isDeleted}) => directory.applyChange(toEntry(object, isDeleted), clock.now()));
		directory.advanceTo(revision);
		publish(applied, 'store');
		reportDeferredRemovals(revision);
		propagate(applied);
	}

	/** Publishes changes from a peer and advances the change number; the others receive them from elsewhere. */
	function applyFromPeer(applied: readonly DirectoryEntry[], source: string): void {
		publish(applied, source);
		peers.numberEntries(applied);
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
					applyList(event.list);
					return;
				}

				case 'changed': {
					applyChanges(event.changes, event.revision);
					return;
				}

				case 'lost': {
					options.onEvent({
						kind: 'watch-failed', objects: options.endpointKind, failure: event.failure, took: event.took,
					});
				}
			}
		},
		merge(entries, source) {
			applyFromPeer(directory.merge(entries, clock.now()), source);
		},
		mergeSnapshot(entries, {listedAt, digest}, source) {
			applyFromPeer(directory.mergeSnapshot(entries, listedAt, clock.now()), source);
			directory.advanceTo(digest.endpointRevision);
			isListed ||= entries.length > 0;
		},
		async run(signal) {
			while (!signal.aborted) {
				await clock.sleep(as<Milliseconds>(expiryIntervalMs), signal);
				const applied = directory.expire(clock.now());
				publish(applied, 'expiry');
				propagate(applied);
			}
		},
	};
}
