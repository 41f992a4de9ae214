/**
Events that the ledger of a shard handles, and the effects that it requests in response.
*/
import {type FencingNumber, type Milliseconds, type ObjectVersion} from './id.js';
import {type UpdateResult} from './platform.js';
import {type Batch, type JournalRecord} from './record.js';

/** First batch of the ring to replay, and the segments that hold all earlier batches. */
export type Head = {
	readonly base: number;
	readonly segments: readonly string[];
};

/** Content of one slot of the ring; `batch` is undefined if the slot contains none. */
export type Slot = {readonly version: ObjectVersion; readonly batch: Batch | undefined};

/**
When records are written: `immediate` ones at once, `windowed` ones within the commit window,
`deferred` ones with the next write, because no caller waits for them.
*/
export type Urgency = 'immediate' | 'windowed' | 'deferred';

export type LedgerEvent
	/** Acquire or reacquire ownership of the shard. */
	= | {readonly kind: 'claim'}
		| {readonly kind: 'ring-read'; readonly base: number; readonly slots: readonly Slot[]}
		| {readonly kind: 'ring-unavailable'}
		| {readonly kind: 'append'; readonly ticket: number; readonly records: readonly JournalRecord[]; readonly bytes: number; readonly urgency: Urgency}
		| {readonly kind: 'window-elapsed'}
		| {readonly kind: 'updated'; readonly update: UpdateResult}
		| {readonly kind: 'slot-read'; readonly slot: Slot}
		| {readonly kind: 'slot-unavailable'}
		| {readonly kind: 'checkpointed'; readonly base: number}
	/** Check whether the shard is still owned; sent after the process was paused. */
		| {readonly kind: 'verify'}
		| {readonly kind: 'retry'};

export type LedgerEffect
	= | {readonly kind: 'read-ring'}
		| {readonly kind: 'write'; readonly slot: number; readonly expected: ObjectVersion; readonly batch: Batch}
		| {readonly kind: 'read-slot'; readonly slot: number}
		/** The shard is owned; the batches of the ring have to be replayed after the segments. */
		| {readonly kind: 'opened'; readonly epoch: FencingNumber; readonly batches: readonly Batch[]}
		| {readonly kind: 'committed'; readonly tickets: readonly number[]; readonly sequence: number}
		| {readonly kind: 'wait-for-window'; readonly delay: Milliseconds}
		| {readonly kind: 'stalled'}
		| {readonly kind: 'checkpoint'; readonly sequence: number}
		| {readonly kind: 'deposed'}
		| {readonly kind: 'retry-later'; readonly delay: Milliseconds};
