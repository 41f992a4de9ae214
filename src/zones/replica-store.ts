/**
Copies of other instances' records, kept in memory while the platform cannot take them. The owner of
the shard releases them once they are written; a successor collects them first.
*/
import {err, ok, type Result} from 'neverthrow';
import {type Failure, failure} from '../contracts/failure.js';
import {type FencingNumber, type Home} from '../contracts/id.js';
import {type JournalRecord} from '../contracts/record.js';
import {shardKey} from './ownership.js';

/** Upper bound of all copies together, in encoded bytes. */
export const replicaStoreLimitBytes = 64 * 1024 * 1024;

type Holding = {epoch: FencingNumber; bytes: number; readonly records: JournalRecord[]};

export type ReplicaStore = {
	/** Fails with `overloaded` when full and with `not-owner` when a later owner is known. */
	readonly hold: (home: Home, epoch: FencingNumber, records: readonly JournalRecord[]) => Result<void, Failure>;
	readonly collect: (home: Home) => readonly JournalRecord[];
	readonly release: (home: Home) => void;
	readonly bytes: () => number;
};

/** Creates an empty store. */
export function createReplicaStore(): ReplicaStore {
	const holdings = new Map<string, Holding>();
	let total = 0;

	function hold(home: Home, epoch: FencingNumber, records: readonly JournalRecord[]): Result<void, Failure> {
		const bytes = JSON.stringify(records).length;
		if (total + bytes > replicaStoreLimitBytes) {
			return err(failure('overloaded', 'No room for copies of records', {step: 'commit', peer: shardKey(home)}));
		}

		const holding = holdings.get(shardKey(home)) ?? {epoch, bytes: 0, records: []};
		if (epoch < holding.epoch) {
			return err(failure('not-owner', `Epoch ${epoch} of the shard is over`, {step: 'commit', peer: shardKey(home)}));
		}

		holding.epoch = epoch;
		holding.bytes += bytes;
		holding.records.push(...records);
		holdings.set(shardKey(home), holding);
		total += bytes;
		return ok();
	}

	return {
		hold,
		collect: home => holdings.get(shardKey(home))?.records ?? [],
		release(home) {
			total -= holdings.get(shardKey(home))?.bytes ?? 0;
			holdings.delete(shardKey(home));
		},
		bytes: () => total,
	};
}
