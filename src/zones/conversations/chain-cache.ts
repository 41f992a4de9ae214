/**
Cache of turns that this instance has kept or read. A turn never changes once it is whole, so a cached one is always
correct; the least recently used ones are dropped.
*/
import {type AttemptId} from '../../contracts/id.js';
import {type TurnRecord} from '../../contracts/turn.js';

/** Memory that a record takes besides its input and output, in bytes. */
const recordOverheadBytes = 500;

export type WholeTurn = TurnRecord & {readonly content: Extract<TurnRecord['content'], {kind: 'whole'}>};

export type ChainCache = {
	readonly get: (turn: AttemptId) => WholeTurn | undefined;
	readonly put: (record: WholeTurn) => void;
	readonly bytes: () => number;
};

/** Whether a record is that of a turn that was answered completely. */
export function isWhole(record: TurnRecord): record is WholeTurn {
	return record.content.kind === 'whole';
}

/** Size of a turn's input and output, in bytes. */
export function contentBytes({content}: WholeTurn): number {
	return content.input.length + content.output.length;
}

/** Creates an empty cache; `limit` is in bytes. */
export function createChainCache(limit: number): ChainCache {
	/** The least recently used one first. */
	const records = new Map<AttemptId, WholeTurn>();
	let bytes = 0;

	const sizeOf = (record: WholeTurn) => contentBytes(record) + recordOverheadBytes;

	function remove(record: WholeTurn): void {
		if (records.delete(record.turn)) {
			bytes -= sizeOf(record);
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
		put(record) {
			if (records.has(record.turn) || sizeOf(record) > limit) {
				return;
			}

			// The bytes are copied because they may be views of larger buffers, which they would keep alive.
			const {input, output} = record.content;
			records.set(record.turn, {...record, content: {kind: 'whole', input: new Uint8Array(input), output: new Uint8Array(output)}});
			bytes += sizeOf(record);
			for (const oldest of records.values()) {
				if (bytes <= limit) {
					break;
				}

				remove(oldest);
			}
		},
		bytes: () => bytes,
	};
}
