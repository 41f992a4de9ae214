/**
The ledger of a shard: a fenced journal kept in the platform as a ring of slots.

Batch n goes to slot n modulo the ring size by an update that is conditional on the version the slot
had when its previous batch was read. A new owner claims the shard by writing the next batch itself;
the version of that slot then never matches the old owner's expectation again, so a paused or cut-off
owner fails at the store, whatever its clock says. The head object names the first batch that a
reader has to replay. This module decides; reading and writing is done by the journal.
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

/** Slots of one shard's ring. */
export const slotsPerShard = 32;

/** Batches after which the owner moves the head forward, well before the ring is full. */
export const batchesPerCheckpoint = 16;

const firstRetryMs = 50;
const longestRetryMs = 2000;

type Flight = {readonly batch: Batch; readonly tickets: readonly number[]};

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

/** What an operator may see of a ledger. */
export type LedgerState = {
	readonly phase: Phase['kind'];
	readonly epoch: FencingNumber;
	/** First batch that a successor would replay, and the next to be written. */
	readonly base: number;
	readonly next: number;
	/** Appends that are waiting or being written. */
	readonly pending: number;
	/** Nonce of the batch that is being written. */
	readonly writing: Nonce | undefined;
};

export type LedgerOptions = {
	readonly instance: InstanceId;
	readonly incarnation: Incarnation;
	/** Unique for every batch that is written. */
	readonly nextNonce: () => Nonce;
	/** Longest time that records which are not urgent wait to share a write. */
	readonly commitWindow: Milliseconds;
};

/** Creates the decision state of one shard's ledger. It starts closed; nothing can be appended before it opens. */
export function createLedger(options: LedgerOptions): Ledger {
	const queue = createAppendQueue(options.commitWindow);
	let phase: Phase = {kind: 'closed'};
	let epoch = as<FencingNumber>(0);
	let versions: ObjectVersion[] = [];
	let base = 0;
	let next = 0;
	let flight: Flight | undefined;
	let isWaiting = false;
	let retryMs = firstRetryMs;

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
		const delay = as<Milliseconds>(retryMs);
		retryMs = Math.min(retryMs * 2, longestRetryMs);
		return {kind: 'retry-later', delay};
	}

	function flush(): LedgerEffect[] {
		const ringIsFull = next - base >= slotsPerShard;
		const isBusy = flight !== undefined || ringIsFull;
		if (phase.kind !== 'open' || isBusy || queue.length() === 0) {
			return [];
		}

		const taken = queue.take();
		const batch = createBatch(taken.flatMap(entry => entry.records));
		flight = {batch, tickets: taken.map(entry => entry.ticket)};
		return [write(batch)];
	}

	function append(urgency: Urgency): LedgerEffect[] {
		const delay = queue.delayOf(urgency);
		return delay === undefined ? flush() : waitForWindow(delay);
	}

	function waitForWindow(delay: Milliseconds): LedgerEffect[] {
		if (isWaiting) {
			return [];
		}

		isWaiting = true;
		return [{kind: 'wait-for-window', delay}];
	}

	function depose(): LedgerEffect[] {
		phase = {kind: 'deposed'};
		flight = undefined;
		queue.clear();
		return [{kind: 'deposed'}];
	}

	/** The batch that a write is under way for, as claim or as append. */
	function outstanding(): Batch | undefined {
		return phase.kind === 'claiming' ? phase.claim : flight?.batch;
	}

	function succeed(batch: Batch, version: ObjectVersion): LedgerEffect[] {
		versions[batch.sequence % slotsPerShard] = version;
		next = batch.sequence + 1;
		retryMs = firstRetryMs;
		const effects: LedgerEffect[] = [];
		const mayFlush = phase.kind === 'claiming' || queue.hasUrgent();
		if (phase.kind === 'claiming') {
			effects.push({kind: 'opened', epoch, batches: phase.batches});
			phase = {kind: 'open'};
		} else if (flight) {
			effects.push({kind: 'committed', tickets: flight.tickets, sequence: batch.sequence});
			flight = undefined;
		}

		if (next - base >= batchesPerCheckpoint) {
			effects.push({kind: 'checkpoint', sequence: batch.sequence});
		}

		// What came in during this write waits for its window.
		return mayFlush ? [...effects, ...flush()] : effects;
	}

	function lose(): LedgerEffect[] {
		if (phase.kind === 'claiming') {
			// Another writer appended first; read what it wrote and claim again after that.
			phase = {kind: 'reading'};
			return [{kind: 'read-ring'}];
		}

		return depose();
	}

	function readRing(event: Extract<LedgerEvent, {kind: 'ring-read'}>): LedgerEffect[] {
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

	function updated(update: UpdateResult): LedgerEffect[] {
		const batch = outstanding();
		if (!batch) {
			return [];
		}

		switch (update.kind) {
			case 'written': {
				return succeed(batch, update.version);
			}

			case 'conflict':
			case 'doubtful': {
				// An earlier try may have taken effect although its answer was lost.
				const stalled: LedgerEffect[] = update.kind === 'doubtful' ? [{kind: 'stalled'}] : [];
				return [...stalled, {kind: 'read-slot', slot: batch.sequence % slotsPerShard}];
			}

			case 'unavailable': {
				return [{kind: 'stalled'}, retryLater()];
			}
		}
	}

	function verify(): LedgerEffect[] {
		// A write under way finds out by itself.
		return phase.kind === 'open' && !flight ? [{kind: 'read-slot', slot: next % slotsPerShard}] : [];
	}

	function readBack(slot: Slot): LedgerEffect[] {
		const batch = outstanding();
		if (!batch) {
			const isTaken = phase.kind === 'open' && slot.batch?.sequence === next;
			return isTaken ? depose() : [];
		}

		if (slot.batch?.nonce === batch.nonce) {
			return succeed(batch, slot.version);
		}

		const unchanged = slot.version === versions[batch.sequence % slotsPerShard];
		return unchanged ? [retryLater()] : lose();
	}

	function retry(): LedgerEffect[] {
		if (phase.kind === 'reading') {
			return [{kind: 'read-ring'}];
		}

		const batch = outstanding();
		return batch ? [write(batch)] : flush();
	}

	function handle(event: LedgerEvent): readonly LedgerEffect[] {
		switch (event.kind) {
			case 'claim': {
				phase = {kind: 'reading'};
				return [{kind: 'read-ring'}];
			}

			case 'ring-read': {
				return readRing(event);
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
				isWaiting = false;
				return flush();
			}

			case 'updated': {
				return updated(event.update);
			}

			case 'slot-read': {
				return readBack(event.slot);
			}

			case 'slot-unavailable': {
				return outstanding() ? [{kind: 'stalled'}, retryLater()] : [];
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
			pending: queue.length() + (flight?.tickets.length ?? 0),
			writing: outstanding()?.nonce,
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
