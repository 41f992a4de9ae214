/**
Keeps the tables of instances in step. An instance numbers the changes that it tells the others; whoever gets a
number without the one before has missed something, and fetches the tables whole.
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

/** Entries of the directory in one message, which has to fit into a datagram. */
const entriesPerMessage = 5;

/** Timeout and tries of telling a peer. */
const tellTimeoutMs = 200;
const tellTries = 4;

export type TablePeersOptions = {
	readonly address: Address;
	readonly peers: Pick<RelayPeers, 'request' | 'post' | 'tables'>;
	/** Whom to tell. */
	readonly others: () => readonly Address[];
	/** Number before the first change, which no earlier life of this instance has used. */
	readonly firstChange: ChangeNumber;
	readonly clock: Clock;
	/** `askedAt` is when the peer was asked: the tables are no older. */
	readonly onTables: (tables: RelayTables, source: Address, askedAt: Milliseconds) => void;
	readonly onFailure: (failure: Failure) => void;
};

export type TablePeers = {
	/** Number of the last change here. */
	readonly change: () => ChangeNumber;
	/** Tells the others something that has to reach them. */
	readonly broadcast: (message: RelayMessage) => void;
	/** Tells the others something that is soon said again. */
	readonly post: (message: RelayMessage) => void;
	/** Whether the peer has told this instance all its changes up to the number. */
	readonly isSynchronized: (peer: Address, change: ChangeNumber) => boolean;
	/** Numbers changes of the directory and tells the others of them. */
	readonly broadcastEntries: (entries: readonly DirectoryEntry[]) => void;
	/** Numbers changes of the directory that others learn elsewhere. */
	readonly numberEntries: (entries: readonly DirectoryEntry[]) => void;
	/** Notes what a peer told, and fetches its tables when something before was missed. */
	readonly receiveChanges: (changes: EndpointChanges) => void;
	/** Fetches the tables of a peer, one peer after the other, if they are still needed when it comes to that. */
	readonly fetch: (peer: Address, isNeeded: () => boolean, delay: () => Milliseconds) => void;
};

/** Creates an instance's side, which has told nobody and heard of nobody. */
export function createTablePeers(options: TablePeersOptions): TablePeers {
	const {clock, peers} = options;
	const fetches = new PQueue({concurrency: 1});
	const heard = new Map<Address, ChangeNumber>();
	let change = options.firstChange;

	function tell(message: RelayMessage): void {
		for (const address of options.others()) {
			void peers.request(address, message, {timeout: as<Milliseconds>(tellTimeoutMs), tries: tellTries});
		}
	}

	function countEntries(entries: readonly DirectoryEntry[]): void {
		if (entries.length > 0) {
			change = as<ChangeNumber>(change + 1);
		}
	}

	async function fetchNow(peer: Address): Promise<void> {
		const askedAt = clock.now();
		const result = await peers.tables(peer);
		result.match(tables => {
			heard.set(peer, tables.digest.change);
			options.onTables(tables, peer, askedAt);
		}, options.onFailure);
	}

	function fetch(peer: Address, isNeeded: () => boolean, delay: () => Milliseconds): void {
		if (!isNeeded() || fetches.size > 0) {
			return;
		}

		void fetches.add(async () => {
			await clock.sleep(delay());
			if (isNeeded()) {
				await fetchNow(peer);
			}
		});
	}

	return {
		change: () => change,
		broadcast: tell,
		post(message) {
			for (const address of options.others()) {
				peers.post(address, message);
			}
		},
		isSynchronized: (peer, number) => heard.get(peer) === number,
		broadcastEntries(entries) {
			for (let index = 0; index < entries.length; index += entriesPerMessage) {
				const part = entries.slice(index, index + entriesPerMessage);
				const previous = change;
				countEntries(part);
				tell({
					kind: 'endpoints', changes: {
						from: options.address, previous, change, entries: part,
					},
				});
			}
		},
		numberEntries: countEntries,
		receiveChanges({from, previous, change: next}) {
			if (heard.get(from) === previous) {
				heard.set(from, next);
				return;
			}

			fetch(from, () => (heard.get(from) ?? -1) < next, () => as<Milliseconds>(0));
		},
		fetch,
	};
}
