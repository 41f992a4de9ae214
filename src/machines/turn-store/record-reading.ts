/**
Reading of records: from the cache, otherwise from the disk, one by one, along a chain, or as many as fit into a reply.
*/
import {type TurnCopies} from '../../contracts/archive.js';
import {type Clock} from '../../contracts/clock.js';
import {type AttemptId} from '../../contracts/id.js';
import {type TurnRecord} from '../../contracts/turn.js';
import {withTimeout} from '../../zones/with-timeout.js';
import {isIntact} from './frame.js';
import {type RecordCache} from './record-cache.js';
import {type Retention} from './retention.js';
import {contentBytes, decodeTurn} from './turn-encoding.js';
import {type IndexEntry, type TurnIndex} from './turn-index.js';
import {type TurnStoreEvent} from './turn-store-event.js';

/** Limits of one reply: the rest of a longer chain is asked for by its own turn. */
const maximumChainRecords = 64;
const maximumChainBytes = 1024 * 1024;

/** Time limit for reading a chain. */
const readLimitMs = 1000;

/** Size at which a reply with copies ends. */
const maximumCopiesBytes = 1024 * 1024;

/** Records of a chain as far as they were read; `isWhole` tells whether all of them that are held could be. */
export type ReadChain = {readonly records: readonly TurnRecord[]; readonly isWhole: boolean};

export type RecordReading = {
	/** Reads one record; undefined if it is gone or cannot be read. */
	readonly read: (turn: AttemptId) => Promise<TurnRecord | undefined>;
	readonly chain: (turn: AttemptId) => Promise<ReadChain>;
	/** Reads records, with the retention that they have left, up to the size of a reply. */
	readonly copies: (turns: readonly AttemptId[]) => Promise<TurnCopies>;
	/** Number of reads from the disk. */
	readonly reads: () => number;
};

export type RecordReadingOptions = {
	readonly index: TurnIndex;
	readonly cache: RecordCache;
	readonly retention: Pick<Retention, 'remaining'>;
	readonly clock: Clock;
	readonly onEvent: (event: TurnStoreEvent) => void;
};

type Reading = {readonly kind: 'read'; readonly bytes: Uint8Array} | {readonly kind: 'absent'} | {readonly kind: 'unreadable'};

/** Creates the reading of a store. */
export function createRecordReading({
	index, cache, retention, clock, onEvent,
}: RecordReadingOptions): RecordReading {
	let reads = 0;

	async function readEntry(turn: AttemptId, entry: IndexEntry): Promise<Reading> {
		const cached = cache.get(turn);
		if (cached) {
			return {kind: 'read', bytes: cached};
		}

		reads++;
		const {segment, position, length, checksum} = entry;
		const result = await segment.file.read(position, length);
		if (result.isOk() && result.value.length === length && isIntact(result.value, checksum)) {
			if (index.get(turn) === entry) {
				cache.put(turn, result.value);
			}

			return {kind: 'read', bytes: result.value};
		}

		const current = index.get(turn);
		if (current !== entry) {
			// The segment was dropped meanwhile, or the turn was stored again.
			return current ? readEntry(turn, current) : {kind: 'absent'};
		}

		onEvent({
			kind: 'record-unreadable', turn, segment: segment.name, reason: result.isErr() ? result.error.reason : 'the bytes are damaged',
		});
		return {kind: 'unreadable'};
	}

	async function readRecord(turn: AttemptId): Promise<TurnRecord | 'absent' | 'unreadable'> {
		const entry = index.get(turn);
		const reading: Reading = entry ? await readEntry(turn, entry) : {kind: 'absent'};
		return reading.kind === 'read' ? decodeTurn(reading.bytes) ?? 'unreadable' : reading.kind;
	}

	/** Reads one record with the retention that it has left; undefined if it is gone or cannot be read. */
	async function copyOf(turn: AttemptId): Promise<TurnRecord | undefined> {
		const entry = index.get(turn);
		const record = await readRecord(turn);
		return entry && record !== 'absent' && record !== 'unreadable'
			? {...record, retention: retention.remaining(entry.expiresAt)}
			: undefined;
	}

	/** Adds the records of a chain to a list. Resolves to whether all of them that are held could be read. */
	async function collectChain(turn: AttemptId, records: TurnRecord[]): Promise<boolean> {
		const seen = new Set<AttemptId>();
		let bytes = 0;
		let next: AttemptId | undefined = turn;
		// Attempt ids are chosen by callers, who can make turns continue each other in a circle.
		while (next !== undefined && !seen.has(next) && records.length < maximumChainRecords && bytes < maximumChainBytes) {
			seen.add(next);
			const record: TurnRecord | 'absent' | 'unreadable' = await readRecord(next);
			if (record === 'absent' || record === 'unreadable') {
				return record === 'absent';
			}

			records.push(record);
			bytes += contentBytes(record.content);
			next = record.previous;
		}

		return true;
	}

	return {
		reads: () => reads,
		async read(turn) {
			const record = await readRecord(turn);
			return record === 'absent' || record === 'unreadable' ? undefined : record;
		},
		async chain(turn) {
			const records: TurnRecord[] = [];
			const isWhole = await withTimeout(clock, readLimitMs, collectChain(turn, records));
			return {records: [...records], isWhole: isWhole ?? false};
		},
		async copies(wanted) {
			const records: TurnRecord[] = [];
			let count = 0;
			let bytes = 0;
			for (const turn of wanted) {
				if (bytes >= maximumCopiesBytes) {
					break;
				}

				const record = await copyOf(turn);
				count++;
				bytes += record ? contentBytes(record.content) : 0;
				records.push(...record ? [record] : []);
			}

			return {read: count, records};
		},
	};
}
