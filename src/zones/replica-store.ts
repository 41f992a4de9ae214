/**
Replicas of other instances' journal records, held in memory until the records are written to the
platform. The owner of the shard then releases them; if the owner is lost before that, the next owner collects them.
*/
import {err, ok, type Result} from 'neverthrow';
import {type Failure, failure} from '../contracts/failure.js';
import {type FencingNumber, type Home} from '../contracts/id.js';
import {type JournalRecord} from '../contracts/record.js';
import {shardKey} from './ownership.js';

/** Maximum total size of all replicas, in encoded bytes. */
export const replicaStoreLimitBytes = 64 * 1024 * 1024;

type ShardReplicas = {epoch: FencingNumber; bytes: number; readonly records: JournalRecord[]};

export type ReplicaStore = {
	/** Fails with `overloaded` when full and with `not-owner` when records of a later epoch are held. */
	readonly hold: (home: Home, epoch: FencingNumber, records: readonly JournalRecord[]) => Result<void, Failure>;
	readonly collect: (home: Home) => readonly JournalRecord[];
	readonly release: (home: Home) => void;
	readonly bytes: () => number;
};

/** Creates an empty store. */
export function createReplicaStore(): ReplicaStore {
	const replicas = new Map<string, ShardReplicas>();
	let total = 0;

	function hold(home: Home, epoch: FencingNumber, records: readonly JournalRecord[]): Result<void, Failure> {
		const bytes = JSON.stringify(records).length;
		if (total + bytes > replicaStoreLimitBytes) {
			return err(failure('overloaded', `The store for replicas of records is full: ${total} of ${replicaStoreLimitBytes} bytes used, ${bytes} more requested`, {
				step: 'commit', peer: shardKey(home),
			}));
		}

		const shardReplicas = replicas.get(shardKey(home)) ?? {epoch, bytes: 0, records: []};
		if (epoch < shardReplicas.epoch) {
			return err(failure('not-owner', `Epoch ${epoch} of the shard was superseded by a later owner`, {step: 'commit', peer: shardKey(home)}));
		}

		shardReplicas.epoch = epoch;
		shardReplicas.bytes += bytes;
		shardReplicas.records.push(...records);
		replicas.set(shardKey(home), shardReplicas);
		total += bytes;
		return ok();
	}

	return {
		hold,
		collect: home => replicas.get(shardKey(home))?.records ?? [],
		release(home) {
			total -= replicas.get(shardKey(home))?.bytes ?? 0;
			replicas.delete(shardKey(home));
		},
		bytes: () => total,
	};
}
