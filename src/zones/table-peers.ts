/**
Keeps the tables of instances in sync. An instance numbers the changes that it broadcasts; a receiver that gets a
number without its predecessor has missed a change, and fetches the complete tables.
*/
import {type Clock} from '../contracts/clock.js';
import {type Failure, failure} from '../contracts/failure.js';
import {
	as, type Address, type ChangeNumber, type ConfigurationGeneration, type Milliseconds,
} from '../contracts/id.js';
import {type DirectoryEntry} from './endpoint-directory.js';
import {createTableFetches, type FetchReason, type FetchRequest} from './table-fetches.js';
import {
	type EndpointChanges, type RelayMessage, type RelayPeers, type RelayTables,
} from './relay-peers.js';

/** Maximum number of directory entries in one message, which has to fit into a datagram. */
const entriesPerMessage = 5;

/** Timeout of one attempt of a broadcast to one peer, and the number of attempts. */
const broadcastTimeoutMs = 200;
const broadcastAttempts = 4;

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
	/** Generation of the configuration that this instance has. */
	readonly generation: () => ConfigurationGeneration;
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
	/** Sends the addresses a message that has to reach them; it is retried. */
	readonly send: (addresses: readonly Address[], message: RelayMessage) => void;
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
	/** Fetches the tables of a peer if they are still needed when its turn comes. */
	readonly fetch: (request: FetchRequest) => void;
	/** Time for which the longest current fetch has waited for its peer; zero if there is none. */
	readonly fetchAge: () => Milliseconds;
};

/** Creates the state of an instance that has sent and received no changes. */
export function createTablePeers(options: TablePeersOptions): TablePeers {
	const {clock, peers} = options;
	const received = new Map<Address, ChangeNumber>();
	let change = options.firstChange;
	const fetches = createTableFetches({
		clock,
		run: runFetch,
		onUnanswered({peer, reason}, took) {
			options.onFailure(failure('peer-unreachable', `${peer} did not send its tables`, {step: 'configure', peer}), {
				peer, reason, waited: as<Milliseconds>(0), took,
			});
		},
	});

	function send(addresses: readonly Address[], message: RelayMessage): void {
		for (const address of addresses) {
			void peers.request(address, message, {timeout: as<Milliseconds>(broadcastTimeoutMs), attempts: broadcastAttempts});
		}
	}

	function broadcast(message: RelayMessage): void {
		send(options.others(), message);
	}

	function numberEntries(entries: readonly DirectoryEntry[]): void {
		if (entries.length > 0) {
			change = as<ChangeNumber>(change + 1);
		}
	}

	async function runFetch({peer, reason}: FetchRequest, waited: Milliseconds): Promise<void> {
		const askedAt = clock.now();
		// The entries are compared by their own numbers, and a configuration may be large.
		const result = await peers.tables(peer, {generation: options.generation(), withEntries: reason !== 'configuration'});
		const ended = {
			peer, reason, waited, took: as<Milliseconds>(clock.now() - askedAt),
		};
		result.match(tables => {
			if (tables.entries) {
				received.set(peer, tables.digest.change);
			}

			options.onTables(tables, ended, askedAt);
		}, problem => {
			options.onFailure(problem, ended);
		});
	}

	return {
		change: () => change,
		send,
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

			const requestedAt = clock.now();
			fetches.request({
				peer: from, reason: 'changes', isNeeded: () => (received.get(from) ?? -1) < next, notBefore: () => requestedAt,
			});
		},
		fetch: fetches.request,
		fetchAge: fetches.longest,
	};
}
