/**
The ledger of a shard: a fenced write-ahead log, stored in the platform as a ring of slots.

Batch n is written to slot n modulo the ring size, by an update that is conditional on the version of the
slot when its previous batch was read. A new owner claims the shard by writing the next batch itself. The
version of that slot then never again matches the one that the previous owner expects, so the store rejects
the writes of a paused or partitioned owner, whatever its clock shows. The head object names the first batch
to replay. This module makes the decisions; the journal does the reading and writing.
*/
import {createAppendQueue} from './append-queue.js';
import {
	as, type FencingNumber, type Incarnation, type InstanceId, type Milliseconds, type Nonce, type ObjectVersion,
} from './id.js';
import {
	type LedgerEffect, type LedgerEvent, type Slot, type Urgency,
} from './ledger-event.js';
import {type UpdateResult} from './platform.js';
import {type Batch, type JournalRecord} from './record.js';

/** Number of slots in the ring of one shard. */
export const slotsPerShard = 32;

/** Number of batches after which the owner advances the head, well before the ring is full. */
export const batchesPerCheckpoint = 16;

const initialRetryDelayMs = 50;
const maximumRetryDelayMs = 2000;

type WriteInFlight = {readonly batch: Batch; readonly tickets: readonly number[]};

type Phase
	= | {readonly kind: 'closed'}
		| {readonly kind: 'reading'}
		| {readonly kind: 'claiming'; readonly claim: Batch; readonly batches: readonly Batch[]}
		| {readonly kind: 'open'}
		| {readonly kind: 'deposed'};

export type Ledger = {
	readonly handle: (event: LedgerEvent) => readonly LedgerEffect[];
	readonly state: () => LedgerState;
};

/** State of a ledger, for operators. */
export type LedgerState = {
	readonly phase: Phase['kind'];
	readonly epoch: FencingNumber;
	/** First batch that a new owner would replay, and the next batch to be written. */
	readonly base: number;
	readonly next: number;
	/** Number of appends that are queued or being written. */
	readonly pending: number;
	/** Nonce of the batch that is being written. */
	readonly writing: Nonce | undefined;
};

export type LedgerOptions = {
	readonly instance: InstanceId;
	readonly incarnation: Incarnation;
	/** Returns a different nonce for every batch. */
	readonly nextNonce: () => Nonce;
	/** Maximum time for which `windowed` records wait to share a write with others. */
	readonly commitWindow: Milliseconds;
};

/** Creates the state machine of one shard's ledger. It starts closed; nothing is written before it is claimed. */
export function createLedger(options: LedgerOptions): Ledger {
	const queue = createAppendQueue(options.commitWindow);
	let phase: Phase = {kind: 'closed'};
	let epoch = as<FencingNumber>(0);
	let versions: ObjectVersion[] = [];
	let base = 0;
	let next = 0;
	let writeInFlight: WriteInFlight | undefined;
	let isWaitingForWindow = false;
	let retryDelayMs = initialRetryDelayMs;

	function createBatch(records: readonly JournalRecord[]): Batch {
		return {
			sequence: next,
			epoch,
			owner: options.instance,
			incarnation: options.incarnation,
			nonce: options.nextNonce(),
			records,
		};
	}

	function write(batch: Batch): LedgerEffect {
		const slot = batch.sequence % slotsPerShard;
		return {
			kind: 'write', slot, expected: versions[slot] ?? as<ObjectVersion>(0), batch,
		};
	}

	function retryLater(): LedgerEffect {
		const delay = as<Milliseconds>(retryDelayMs);
		retryDelayMs = Math.min(retryDelayMs * 2, maximumRetryDelayMs);
		return {kind: 'retry-later', delay};
	}

	function flush(): LedgerEffect[] {
		const ringIsFull = next - base >= slotsPerShard;
		const isBusy = writeInFlight !== undefined || ringIsFull;
		if (phase.kind !== 'open' || isBusy || queue.length() === 0) {
			return [];
		}

		const taken = queue.take();
		const batch = createBatch(taken.flatMap(entry => entry.records));
		writeInFlight = {batch, tickets: taken.map(entry => entry.ticket)};
		return [write(batch)];
	}

	function append(urgency: Urgency): LedgerEffect[] {
		const delay = queue.delayOf(urgency);
		return delay === undefined ? flush() : waitForWindow(delay);
	}

	function waitForWindow(delay: Milliseconds): LedgerEffect[] {
		if (isWaitingForWindow) {
			return [];
		}

		isWaitingForWindow = true;
		return [{kind: 'wait-for-window', delay}];
	}

	function depose(): LedgerEffect[] {
		phase = {kind: 'deposed'};
		writeInFlight = undefined;
		queue.clear();
		return [{kind: 'deposed'}];
	}

	/** The batch that is being written, as a claim or as an append. */
	function batchInFlight(): Batch | undefined {
		return phase.kind === 'claiming' ? phase.claim : writeInFlight?.batch;
	}

	function completeWrite(batch: Batch, version: ObjectVersion): LedgerEffect[] {
		versions[batch.sequence % slotsPerShard] = version;
		next = batch.sequence + 1;
		retryDelayMs = initialRetryDelayMs;
		const effects: LedgerEffect[] = [];
		const mayFlush = phase.kind === 'claiming' || queue.hasUrgent();
		if (phase.kind === 'claiming') {
			effects.push({kind: 'opened', epoch, batches: phase.batches});
			phase = {kind: 'open'};
		} else if (writeInFlight) {
			effects.push({kind: 'committed', tickets: writeInFlight.tickets, sequence: batch.sequence});
			writeInFlight = undefined;
		}

		if (next - base >= batchesPerCheckpoint) {
			effects.push({kind: 'checkpoint', sequence: batch.sequence});
		}

		// Records that were appended during this write wait for their own window.
		return mayFlush ? [...effects, ...flush()] : effects;
	}

	function handleLostWrite(): LedgerEffect[] {
		if (phase.kind === 'claiming') {
			// Another writer appended first: read its batches and claim again after them.
			phase = {kind: 'reading'};
			return [{kind: 'read-ring'}];
		}

		return depose();
	}

	function handleRingRead(event: Extract<LedgerEvent, {kind: 'ring-read'}>): LedgerEffect[] {
		if (phase.kind !== 'reading') {
			return [];
		}

		versions = event.slots.map(slot => slot.version);
		base = event.base;
		next = base;
		const batches: Batch[] = [];
		for (;;) {
			const batch = event.slots[next % slotsPerShard]?.batch;
			if (batch?.sequence !== next) {
				break;
			}

			batches.push(batch);
			next++;
		}

		epoch = as<FencingNumber>(highestEpoch(event.slots) + 1);
		const claim = createBatch([]);
		phase = {kind: 'claiming', claim, batches};
		return [write(claim)];
	}

	function handleUpdateResult(update: UpdateResult): LedgerEffect[] {
		const batch = batchInFlight();
		if (!batch) {
			return [];
		}

		switch (update.kind) {
			case 'written': {
				return completeWrite(batch, update.version);
			}

			case 'conflict':
			case 'doubtful': {
				// An earlier attempt may have taken effect although its response was lost.
				const stalled: LedgerEffect[] = update.kind === 'doubtful' ? [{kind: 'stalled'}] : [];
				return [...stalled, {kind: 'read-slot', slot: batch.sequence % slotsPerShard}];
			}

			case 'unavailable': {
				return [{kind: 'stalled'}, retryLater()];
			}
		}
	}

	function verify(): LedgerEffect[] {
		// A write in flight detects the loss of the shard by itself.
		return phase.kind === 'open' && !writeInFlight ? [{kind: 'read-slot', slot: next % slotsPerShard}] : [];
	}

	function handleSlotRead(slot: Slot): LedgerEffect[] {
		const batch = batchInFlight();
		if (!batch) {
			const isTaken = phase.kind === 'open' && slot.batch?.sequence === next;
			return isTaken ? depose() : [];
		}

		if (slot.batch?.nonce === batch.nonce) {
			return completeWrite(batch, slot.version);
		}

		const isUnchanged = slot.version === versions[batch.sequence % slotsPerShard];
		return isUnchanged ? [retryLater()] : handleLostWrite();
	}

	function retry(): LedgerEffect[] {
		if (phase.kind === 'reading') {
			return [{kind: 'read-ring'}];
		}

		const batch = batchInFlight();
		return batch ? [write(batch)] : flush();
	}

	function handle(event: LedgerEvent): readonly LedgerEffect[] {
		switch (event.kind) {
			case 'claim': {
				phase = {kind: 'reading'};
				return [{kind: 'read-ring'}];
			}

			case 'ring-read': {
				return handleRingRead(event);
			}

			case 'ring-unavailable': {
				return phase.kind === 'reading' ? [retryLater()] : [];
			}

			case 'append': {
				if (phase.kind === 'deposed') {
					return [{kind: 'deposed'}];
				}

				queue.push(event);
				return append(event.urgency);
			}

			case 'window-elapsed': {
				isWaitingForWindow = false;
				return flush();
			}

			case 'updated': {
				return handleUpdateResult(event.update);
			}

			case 'slot-read': {
				return handleSlotRead(event.slot);
			}

			case 'slot-unavailable': {
				return batchInFlight() ? [{kind: 'stalled'}, retryLater()] : [];
			}

			case 'checkpointed': {
				base = Math.max(base, event.base);
				return flush();
			}

			case 'verify': {
				return verify();
			}

			case 'retry': {
				return retry();
			}
		}
	}

	return {
		handle,
		state: () => ({
			phase: phase.kind,
			epoch,
			base,
			next,
			pending: queue.length() + (writeInFlight?.tickets.length ?? 0),
			writing: batchInFlight()?.nonce,
		}),
	};
}

function highestEpoch(slots: readonly Slot[]): number {
	let highest = 0;
	for (const slot of slots) {
		highest = Math.max(highest, slot.batch?.epoch ?? 0);
	}

	return highest;
}
