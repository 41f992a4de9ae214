/**
Queue of the records that a shard's ledger has yet to write: how long they wait for further records, and which of
them share a batch.
*/
import {as, type Milliseconds} from './id.js';
import {type Urgency} from './ledger-event.js';
import {type JournalRecord} from './record.js';

/** Maximum size of the encoded records of one batch, below the platform's limit of 1 MB per value. */
export const maximumBatchBytes = 900_000;

/** Time after which `deferred` records are written if no other write has included them. */
const deferralMs = 100;

export type PendingAppend = {readonly ticket: number; readonly records: readonly JournalRecord[]; readonly bytes: number; readonly urgency: Urgency};

export type AppendQueue = {
	readonly push: (append: PendingAppend) => void;
	/** Removes and returns the appends that fit into one batch, at least one if any is queued. */
	readonly take: () => readonly PendingAppend[];
	readonly length: () => number;
	/** Whether any queued append must be written without waiting for others. */
	readonly hasUrgent: () => boolean;
	/** Time for which an append waits to share a write; undefined if it is written at once. */
	readonly delayOf: (urgency: Urgency) => Milliseconds | undefined;
	readonly clear: () => void;
};

/** Creates an empty queue. `commitWindow` is the maximum time for which `windowed` records wait to share a write. */
export function createAppendQueue(commitWindow: Milliseconds): AppendQueue {
	let pending: PendingAppend[] = [];

	function delayOf(urgency: Urgency): Milliseconds | undefined {
		switch (urgency) {
			case 'immediate': {
				return undefined;
			}

			case 'windowed': {
				return commitWindow === 0 ? undefined : commitWindow;
			}

			case 'deferred': {
				return as<Milliseconds>(Math.max(commitWindow, deferralMs));
			}
		}
	}

	return {
		push(append) {
			pending.push(append);
		},
		take() {
			let bytes = 0;
			let count = 0;
			for (const entry of pending) {
				bytes += entry.bytes;
				if (count > 0 && bytes > maximumBatchBytes) {
					break;
				}

				count++;
			}

			return pending.splice(0, count);
		},
		length: () => pending.length,
		hasUrgent: () => pending.some(entry => delayOf(entry.urgency) === undefined),
		delayOf,
		clear() {
			pending = [];
		},
	};
}
