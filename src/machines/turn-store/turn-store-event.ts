/**
Events of a turn store, for logs and metrics.
*/
import {type DiskFailure} from '../../contracts/disk.js';
import {type AttemptId, type Milliseconds} from '../../contracts/id.js';

/** What the start found in a segment. */
export type RecoveredSegment = {
	readonly segment: string;
	readonly bytes: number;
	readonly turns: number;
	/** Bytes that belong to no intact record. */
	readonly droppedBytes: number;
	/** Records that are intact, but cannot be decoded or entered into the index. */
	readonly droppedRecords: number;
	/** Why something was dropped; undefined if nothing was. */
	readonly reason: string | undefined;
	/** Whether records were lost that may have been acknowledged. */
	readonly hasLoss: boolean;
};

export type DiskOperation = 'list' | 'write' | 'remove';

export type TurnStoreEvent
	= | ({readonly kind: 'segment-recovered'} & RecoveredSegment)
		| {readonly kind: 'recovered'; readonly segments: number; readonly turns: number; readonly isComplete: boolean; readonly took: Milliseconds}
	/** What may have been lost has expired, or is held again; or nothing was, as the machine is new. */
		| {readonly kind: 'complete'; readonly by: 'expiry' | 'repair' | 'first-registration'}
		| {readonly kind: 'segment-opened'; readonly segment: string}
		| {readonly kind: 'segment-dropped'; readonly segment: string; readonly turns: number}
	/** Records are refused since no sync ended within the time limit. */
		| {readonly kind: 'disk-hanging'; readonly refused: number}
		| {readonly kind: 'disk-responding'; readonly after: Milliseconds}
	/** The first failure after a success; those that follow are only counted. */
		| {readonly kind: 'disk-failed'; readonly operation: DiskOperation; readonly failure: DiskFailure}
	/** The space that the store may use is taken; reported once until there is space again. */
		| {readonly kind: 'space-used-up'; readonly bytes: number}
		| {readonly kind: 'record-unreadable'; readonly turn: AttemptId; readonly segment: string; readonly reason: string};
