/**
Writes records of budgets to the store: directly or, while the store does not answer this instance, through a
neighbour that the store answers. An outage often affects only some instances. While it affects all, a record counts as
written once it is durable at archives.
*/
import {type Clock} from '../contracts/clock.js';
import {as, type InstanceId, type Milliseconds} from '../contracts/id.js';
import {type BudgetRecord, type DurableRecords} from './budget-records.js';
import {type Member} from './membership.js';
import {type PeerView, replicasFor} from './replicas.js';
import {anyOf} from './any-of.js';
import {withTimeout} from './with-timeout.js';
import {type RelayPeers} from './relay-peers.js';

/** Time after which a write counts as stalled; the store answers within milliseconds. */
const stalledMs = 60;

/** Timeout of a neighbour's reply, including its write, and the maximum number of neighbours that are asked in turn. */
const neighbourTimeoutMs = 80;
const maximumNeighbours = 2;

export type RecordWriter = {
	/** Resolves to whether the record is durable; to true as soon as any instance has written it, or archives hold it. */
	readonly write: (record: BudgetRecord) => Promise<boolean>;
	/** Writes to the store on behalf of a neighbour, which uses the archives itself. Resolves to false after a short timeout when the store does not answer. */
	readonly writeOnBehalf: (record: BudgetRecord) => Promise<boolean>;
};

export type RecordWriterOptions = PeerView & {
	readonly peers: Pick<RelayPeers, 'request'>;
	readonly records: DurableRecords;
	readonly clock: Clock;
};

/** Creates the writer of one instance. */
export function createRecordWriter(options: RecordWriterOptions): RecordWriter {
	const {clock, records, peers} = options;
	let isStalled = false;
	/** Neighbour that wrote the last record on behalf of this instance. */
	let lastWriter: InstanceId | undefined;

	/** Observes whether the store takes a record. */
	async function observe(inStore: Promise<boolean>): Promise<boolean> {
		const isWritten = await inStore;
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
			const {inStore, durable} = records.keep(record);
			const writing = observe(inStore);
			const isWritten = isStalled ? undefined : await waitForWrite(writing);
			return isWritten ?? anyOf([durable, writeThroughNeighbour(record)]);
		},
		async writeOnBehalf(record) {
			return isStalled ? false : await waitForWrite(observe(records.write(record))) ?? false;
		},
	};
}
