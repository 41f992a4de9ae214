/**
Cache of encoded turns, so that the chain of a recent turn needs no read from the disk. The least recently used one is
removed first.
*/
import {type AttemptId} from '../../contracts/id.js';

/** Memory of an entry besides its bytes: the name, the map and the array buffer. */
const overheadBytes = 300;

export type RecordCache = {
	readonly get: (turn: AttemptId) => Uint8Array | undefined;
	readonly put: (turn: AttemptId, record: Uint8Array) => void;
	readonly remove: (turn: AttemptId) => void;
	readonly bytes: () => number;
};

/** Creates an empty cache of at most `limit` bytes. */
export function createRecordCache(limit: number): RecordCache {
	// In the order of use: a Map iterates in the order of insertion.
	const records = new Map<AttemptId, Uint8Array>();
	let bytes = 0;

	function remove(turn: AttemptId): void {
		const record = records.get(turn);
		if (record) {
			records.delete(turn);
			bytes -= overheadBytes + record.length;
		}
	}

	return {
		get(turn) {
			const record = records.get(turn);
			if (record) {
				records.delete(turn);
				records.set(turn, record);
			}

			return record;
		},
		put(turn, record) {
			remove(turn);
			records.set(turn, record);
			bytes += overheadBytes + record.length;
			for (const oldest of records.keys()) {
				if (bytes <= limit) {
					break;
				}

				remove(oldest);
			}
		},
		remove,
		bytes: () => bytes,
	};
}
