/**
Writes records of budgets to the store: directly or, while the store does not answer this instance, through a
neighbour that the store answers. An outage often affects only some instances.
*/
import {type Clock} from '../contracts/clock.js';
import {as, type InstanceId, type Milliseconds} from '../contracts/id.js';
import {type BudgetRecord, type BudgetRecords} from './budget-records.js';
import {type Member} from './membership.js';
import {type PeerView, replicasFor} from './replicas.js';
import {withTimeout} from './with-timeout.js';
import {type RelayPeers} from './relay-peers.js';

/** Time after which a write counts as stalled; the store answers within milliseconds. */
const stalledMs = 60;

/** Timeout of a neighbour's reply, including its write, and the maximum number of neighbours that are asked in turn. */
const neighbourTimeoutMs = 80;
const maximumNeighbours = 2;

export type RecordWriter = {
	/** Resolves to whether the store holds the record; to true as soon as any instance has written it. */
	readonly write: (record: BudgetRecord) => Promise<boolean>;
	/** Writes on behalf of a neighbour. Resolves to false after a short timeout when the store does not answer. */
	readonly writeOnBehalf: (record: BudgetRecord) => Promise<boolean>;
};

export type RecordWriterOptions = PeerView & {
	readonly peers: Pick<RelayPeers, 'request'>;
	readonly records: BudgetRecords;
	readonly clock: Clock;
};

/** Creates the writer of one instance. */
export function createRecordWriter(options: RecordWriterOptions): RecordWriter {
	const {clock, records, peers} = options;
	let isStalled = false;
	/** Neighbour that wrote the last record on behalf of this instance. */
	let lastWriter: InstanceId | undefined;

	async function writeDirectly(record: BudgetRecord): Promise<boolean> {
		const isWritten = await records.write(record);
		isStalled = !isWritten;
		return isWritten;
	}

	/** Resolves to undefined when the write stalls; it is not cancelled. */
	async function waitForWrite(writing: Promise<boolean>): Promise<boolean | undefined> {
		const outcome = await withTimeout(clock, stalledMs, writing);
		if (outcome === undefined) {
			isStalled = true;
		}

		return outcome;
	}

	/** Neighbours in the order in which they are asked, starting with the one that wrote last. */
	function neighbours(record: BudgetRecord): readonly Member[] {
		const candidates = replicasFor(options, options.self().dataCentre, record.program, options.members().length);
		return candidates.toSorted((left, right) => Number(right.id === lastWriter) - Number(left.id === lastWriter)).slice(0, maximumNeighbours);
	}

	async function writeThroughNeighbour(record: BudgetRecord): Promise<boolean> {
		for (const neighbour of neighbours(record)) {
			const reply = await peers.request(neighbour.address, {kind: 'record', record}, {timeout: as<Milliseconds>(neighbourTimeoutMs), attempts: 1});
			if (reply?.kind === 'recorded' && reply.isWritten) {
				lastWriter = neighbour.id;
				return true;
			}
		}

		return false;
	}

	return {
		async write(record) {
			const writing = writeDirectly(record);
			const isWritten = isStalled ? undefined : await waitForWrite(writing);
			return isWritten ?? (await writeThroughNeighbour(record) || writing);
		},
		async writeOnBehalf(record) {
			return isStalled ? false : await waitForWrite(writeDirectly(record)) ?? false;
		},
	};
}
