/**
Keeps the tables of instances in sync. An instance numbers the changes that it broadcasts; a receiver that gets a
number without its predecessor has missed a change, and fetches the complete tables.
*/
import PQueue from 'p-queue';
import {type Clock} from '../contracts/clock.js';
import {type Failure} from '../contracts/failure.js';
import {
	as, type Address, type ChangeNumber, type Milliseconds,
} from '../contracts/id.js';
import {type DirectoryEntry} from './endpoint-directory.js';
import {
	type EndpointChanges, type RelayMessage, type RelayPeers, type RelayTables,
} from './relay-peers.js';

/** Maximum number of directory entries in one message, which has to fit into a datagram. */
const entriesPerMessage = 5;

/** Timeout of one attempt of a broadcast to one peer, and the number of attempts. */
const broadcastTimeoutMs = 200;
const broadcastAttempts = 4;

/** What made an instance fetch the tables of a peer. */
export type FetchReason
	/** The peer has a newer configuration. */
	= | 'configuration'
	/** A change of the peer was missed. */
		| 'changes'
	/** The peer is in contact with the store, and its tables differ. */
		| 'contact'
	/** The peer has read a newer list of endpoints while no neighbour is in contact with the store. */
		| 'endpoints';

export type TablesFetch = {
	readonly peer: Address;
	readonly reason: FetchReason;
	/** Time for which other fetches, and the delay of this one, held it back. */
	readonly waited: Milliseconds;
	readonly took: Milliseconds;
};

export type TablePeersOptions = {
	readonly address: Address;
	readonly peers: Pick<RelayPeers, 'request' | 'post' | 'tables'>;
	/** Recipients of broadcasts. */
	readonly others: () => readonly Address[];
	/** Number before the first change, which no earlier incarnation of this instance has used. */
	readonly firstChange: ChangeNumber;
	readonly clock: Clock;
	/** `askedAt` is when the peer was asked: the tables are no older. */
	readonly onTables: (tables: RelayTables, fetch: TablesFetch, askedAt: Milliseconds) => void;
	readonly onFailure: (failure: Failure, fetch: TablesFetch) => void;
};

export type TablePeers = {
	/** Number of the last change of this instance. */
	readonly change: () => ChangeNumber;
	/** Sends the others a message that has to reach them; it is retried. */
	readonly broadcast: (message: RelayMessage) => void;
	/** Sends the others a message that is repeated soon; it is not retried. */
	readonly post: (message: RelayMessage) => void;
	/** Whether all changes of the peer up to the number, and none beyond, have been received. */
	readonly isSynchronized: (peer: Address, change: ChangeNumber) => boolean;
	/** Advances the change number for changes of the directory, and broadcasts them. */
	readonly broadcastEntries: (entries: readonly DirectoryEntry[]) => void;
	/** Advances the change number for changes of the directory that the others receive from elsewhere. */
	readonly numberEntries: (entries: readonly DirectoryEntry[]) => void;
	/** Records changes received from a peer, and fetches its tables when an earlier change was missed. */
	readonly receiveChanges: (changes: EndpointChanges) => void;
	/**
	Fetches the tables of a peer after a delay, if they are still needed then. Fetches run one at a time, and at most
	one waits.
	*/
	readonly fetch: (peer: Address, reason: FetchReason, isNeeded: () => boolean, delay: () => Milliseconds) => void;
	/** Time for which the current fetch has waited for its peer; zero if there is none. */
	readonly fetchAge: () => Milliseconds;
};

/** Creates the state of an instance that has sent and received no changes. */
export function createTablePeers(options: TablePeersOptions): TablePeers {
	const {clock, peers} = options;
	const fetches = new PQueue({concurrency: 1});
	const received = new Map<Address, ChangeNumber>();
	let change = options.firstChange;
	let fetchStartedAt: Milliseconds | undefined;

	function broadcast(message: RelayMessage): void {
		for (const address of options.others()) {
			void peers.request(address, message, {timeout: as<Milliseconds>(broadcastTimeoutMs), attempts: broadcastAttempts});
		}
	}

	function numberEntries(entries: readonly DirectoryEntry[]): void {
		if (entries.length > 0) {
			change = as<ChangeNumber>(change + 1);
		}
	}

	async function fetchNow(peer: Address, reason: FetchReason, waited: Milliseconds): Promise<void> {
		const askedAt = clock.now();
		fetchStartedAt = askedAt;
		const result = await peers.tables(peer);
		fetchStartedAt = undefined;
		const ended = {
			peer, reason, waited, took: as<Milliseconds>(clock.now() - askedAt),
		};
		result.match(tables => {
			received.set(peer, tables.digest.change);
			options.onTables(tables, ended, askedAt);
		}, failure => {
			options.onFailure(failure, ended);
		});
	}

	function fetch(peer: Address, reason: FetchReason, isNeeded: () => boolean, delay: () => Milliseconds): void {
		if (!isNeeded() || fetches.size > 0) {
			return;
		}

		const requestedAt = clock.now();
		void fetches.add(async () => {
			await clock.sleep(delay());
			if (isNeeded()) {
				await fetchNow(peer, reason, as<Milliseconds>(clock.now() - requestedAt));
			}
		});
	}

	return {
		change: () => change,
		broadcast,
		post(message) {
			for (const address of options.others()) {
				peers.post(address, message);
			}
		},
		isSynchronized: (peer, number) => received.get(peer) === number,
		broadcastEntries(entries) {
			for (let index = 0; index < entries.length; index += entriesPerMessage) {
				const part = entries.slice(index, index + entriesPerMessage);
				const previous = change;
				numberEntries(part);
				broadcast({
					kind: 'endpoints', changes: {
						from: options.address, previous, change, entries: part,
					},
				});
			}
		},
		numberEntries,
		receiveChanges({from, previous, change: next}) {
			if (received.get(from) === previous) {
				received.set(from, next);
				return;
			}

			fetch(from, 'changes', () => (received.get(from) ?? -1) < next, () => as<Milliseconds>(0));
		},
		fetch,
		fetchAge: () => as<Milliseconds>(fetchStartedAt === undefined ? 0 : clock.now() - fetchStartedAt),
	};
}
