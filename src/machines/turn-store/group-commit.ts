/**
Group commit: one write and one sync cover all records that arrived while the previous ones were written. A disk that does
not respond must not make callers wait, so what waits is refused after a time limit, and what arrives too until the disk
has responded.
*/
import {type Result} from 'neverthrow';
import {type Clock} from '../../contracts/clock.js';
import {createDeferred} from '../../contracts/deferred.js';
import {type DiskFailure} from '../../contracts/disk.js';
import {as, type Milliseconds} from '../../contracts/id.js';
import {type KeepResult} from '../../contracts/turn.js';
import {withTimeout} from '../../zones/with-timeout.js';
import {type TurnStoreEvent} from './turn-store-event.js';

/** Time without a sync after which records are refused. */
const syncLimitMs = 1000;

/** Bytes of one batch, unless it is a single record; several fit into a segment. */
const maximumBatchBytes = 1024 * 1024;

/** Records of one batch: the system writes at most 1,024 parts at once, two for each record. */
const maximumBatchRecords = 500;

/** Bytes of records that wait for the disk. */
const maximumWaitingBytes = 8 * 1024 * 1024;

export type GroupCommit<Item> = {
	/** Resolves once the item is synced, or refused. */
	readonly add: (item: Item) => Promise<KeepResult>;
	readonly waitingBytes: () => number;
	readonly isHanging: () => boolean;
	/** Refuses what waits, and resolves when the disk has nothing to do, at the latest after the time limit. */
	readonly close: () => Promise<void>;
};

export type GroupCommitOptions<Item> = {
	/** Writes and syncs items; never rejects. */
	readonly write: (items: readonly Item[]) => Promise<Result<unknown, DiskFailure>>;
	readonly bytesOf: (item: Item) => number;
	readonly clock: Clock;
	readonly onEvent: (event: TurnStoreEvent) => void;
};

type Waiting<Item> = {readonly item: Item; readonly bytes: number; readonly resolve: (result: KeepResult) => void};

function refusal(reason: string): KeepResult {
	return {kind: 'refused', reason};
}

/** Creates a group commit with nothing to write. */
export function createGroupCommit<Item>(options: GroupCommitOptions<Item>): GroupCommit<Item> {
	const {clock} = options;
	let waiting: Array<Waiting<Item>> = [];
	let waitingBytes = 0;
	let running: Promise<void> | undefined;
	let isHanging = false;
	let isFailing = false;
	let isClosed = false;

	function settle(entries: ReadonlyArray<Waiting<Item>>, result: KeepResult): void {
		for (const entry of entries) {
			waitingBytes -= entry.bytes;
			entry.resolve(result);
		}
	}

	function takeBatch(): ReadonlyArray<Waiting<Item>> {
		let bytes = 0;
		let count = 0;
		for (const entry of waiting) {
			bytes += entry.bytes;
			if (count > 0 && (bytes > maximumBatchBytes || count >= maximumBatchRecords)) {
				break;
			}

			count++;
		}

		return waiting.splice(0, count);
	}

	function refuseWaiting(reason: string): number {
		const refused = waiting;
		waiting = [];
		settle(refused, refusal(reason));
		return refused.length;
	}

	function noteResult(result: Result<unknown, DiskFailure>): KeepResult {
		if (result.isOk()) {
			isFailing = false;
			return {kind: 'kept'};
		}

		if (!isFailing) {
			isFailing = true;
			options.onEvent({kind: 'disk-failed', operation: 'write', failure: result.error});
		}

		return refusal(result.error.kind === 'full' ? `the disk is full: ${result.error.reason}` : `the disk failed: ${result.error.reason}`);
	}

	async function commitBatch(): Promise<void> {
		const batch = takeBatch();
		const startedAt = clock.now();
		const written = options.write(batch.map(entry => entry.item));
		const result = await withTimeout(clock, syncLimitMs, written);
		if (result) {
			settle(batch, noteResult(result));
			return;
		}

		isHanging = true;
		const reason = `the disk has not synced for ${syncLimitMs} ms`;
		settle(batch, refusal(reason));
		options.onEvent({kind: 'disk-hanging', refused: batch.length + refuseWaiting(reason)});
		noteResult(await written);
		isHanging = false;
		options.onEvent({kind: 'disk-responding', after: as<Milliseconds>(clock.now() - startedAt)});
	}

	async function run(): Promise<void> {
		while (waiting.length > 0) {
			await commitBatch();
		}

		running = undefined;
	}

	return {
		async add(item) {
			const bytes = options.bytesOf(item);
			if (isClosed || isHanging) {
				return refusal(isClosed ? 'the archive is shutting down' : 'the disk does not respond');
			}

			if (waitingBytes > 0 && waitingBytes + bytes > maximumWaitingBytes) {
				return refusal(`${waitingBytes} bytes wait for the disk`);
			}

			const {promise, resolve} = createDeferred<KeepResult>();
			waiting.push({item, bytes, resolve});
			waitingBytes += bytes;
			running ??= run();
			return promise;
		},
		waitingBytes: () => waitingBytes,
		isHanging: () => isHanging,
		async close() {
			isClosed = true;
			refuseWaiting('the archive is shutting down');
			if (running) {
				await withTimeout(clock, syncLimitMs, running);
			}
		},
	};
}
