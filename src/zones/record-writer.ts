/**
Who writes a budget's record: this instance, or, while the store does not answer it, a neighbour that the store
answers. An outage often concerns only some instances.
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

/** Time for a neighbour's answer, its write included, and neighbours that are asked in turn. */
const neighbourTimeoutMs = 80;
const mostNeighbours = 2;

export type RecordWriter = {
	/** Resolves to whether the store holds the record; to true as soon as anyone has written it. */
	readonly write: (record: BudgetRecord) => Promise<boolean>;
	/** Writes for a neighbour. Resolves to false soon when the store does not answer. */
	readonly writeOnBehalf: (record: BudgetRecord) => Promise<boolean>;
};

export type RecordWriterOptions = PeerView & {
	readonly peers: Pick<RelayPeers, 'request'>;
	readonly records: BudgetRecords;
	readonly clock: Clock;
};

/** Creates the writers as one instance sees them. */
export function createRecordWriter(options: RecordWriterOptions): RecordWriter {
	const {clock, records, peers} = options;
	let isStalled = false;
	/** Neighbour that wrote last. */
	let helper: InstanceId | undefined;

	async function writeHere(record: BudgetRecord): Promise<boolean> {
		const isWritten = await records.write(record);
		isStalled = !isWritten;
		return isWritten;
	}

	/** Resolves to undefined when the write takes too long; it goes on. */
	async function writeSoon(writing: Promise<boolean>): Promise<boolean | undefined> {
		const outcome = await withTimeout(clock, stalledMs, writing);
		if (outcome === undefined) {
			isStalled = true;
		}

		return outcome;
	}

	/** Neighbours in the order in which they are asked, the one that wrote last first. */
	function neighbours(record: BudgetRecord): readonly Member[] {
		const candidates = replicasFor(options, options.self().dataCentre, record.program, options.members().length);
		return candidates.toSorted((left, right) => Number(right.id === helper) - Number(left.id === helper)).slice(0, mostNeighbours);
	}

	async function writeThere(record: BudgetRecord): Promise<boolean> {
		for (const neighbour of neighbours(record)) {
			const reply = await peers.request(neighbour.address, {kind: 'record', record}, {timeout: as<Milliseconds>(neighbourTimeoutMs), tries: 1});
			if (reply?.kind === 'recorded' && reply.isWritten) {
				helper = neighbour.id;
				return true;
			}
		}

		return false;
	}

	return {
		async write(record) {
			const writing = writeHere(record);
			const isWritten = isStalled ? undefined : await writeSoon(writing);
			return isWritten ?? (await writeThere(record) || writing);
		},
		async writeOnBehalf(record) {
			return isStalled ? false : await writeSoon(writeHere(record)) ?? false;
		},
	};
}
