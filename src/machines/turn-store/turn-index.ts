/**
Index of a turn store: where the newest record of each turn lies. It is kept in memory, so its size is bounded.
*/
import {as, type AttemptId, type Milliseconds} from '../../contracts/id.js';
import {type TurnContent} from '../../contracts/turn.js';
import {type Segment} from './segment.js';

/** Memory that the index may take, a third of the heap that the process may use. */
const maximumBytes = 16 * 1024 * 1024;

/** Memory of an entry besides its name. */
const entryBytes = 240;

/** How much of a turn a record holds: a whole one replaces any part, and a longer part a shorter one. */
export type Extent = number;

const wholeExtent = Number.POSITIVE_INFINITY;

export type IndexEntry = {
	readonly segment: Segment;
	readonly position: number;
	readonly length: number;
	readonly checksum: number;
	readonly extent: Extent;
	readonly expiresAt: Milliseconds;
	/** Whether the record is known to be synced. The last one that an ended process wrote may not be. */
	readonly isSynced: boolean;
};

export type TurnIndex = {
	readonly get: (turn: AttemptId) => IndexEntry | undefined;
	/** Records where a turn lies. Returns whether the entry is now the one of the turn. */
	readonly put: (turn: AttemptId, entry: IndexEntry) => boolean;
	/** Removes the entries of a segment and returns their turns. */
	readonly removeSegment: (segment: Segment) => readonly AttemptId[];
	readonly entries: () => Iterable<readonly [AttemptId, IndexEntry]>;
	readonly isFull: () => boolean;
	readonly size: () => number;
};

/** Extent of a content. */
export function extentOf(content: TurnContent): Extent {
	switch (content.kind) {
		case 'whole': {
			return wholeExtent;
		}

		case 'partial': {
			return content.lastEvent;
		}
	}
}

export function isWhole({extent}: IndexEntry): boolean {
	return extent === wholeExtent;
}

/** Creates an empty index. */
export function createTurnIndex(): TurnIndex {
	const entries = new Map<AttemptId, IndexEntry>();
	let bytes = 0;
	return {
		get: turn => entries.get(turn),
		put(turn, entry) {
			entry.segment.turns.push(turn);
			const existing = entries.get(turn);
			if (existing && existing.extent > entry.extent) {
				// The longer record takes the place of the shorter one for the retention of both.
				const expiresAt = as<Milliseconds>(Math.max(existing.expiresAt, entry.expiresAt));
				existing.segment.expiresAt = as<Milliseconds>(Math.max(existing.segment.expiresAt, expiresAt));
				entries.set(turn, {...existing, expiresAt});
				return false;
			}

			entries.set(turn, entry);
			bytes += existing ? 0 : entryBytes + turn.length;
			return true;
		},
		removeSegment(segment) {
			const removed = segment.turns.filter(turn => {
				const isOfSegment = entries.get(turn)?.segment === segment;
				if (isOfSegment) {
					entries.delete(turn);
					bytes -= entryBytes + turn.length;
				}

				return isOfSegment;
			});
			segment.turns.length = 0;
			return removed;
		},
		entries: () => entries,
		isFull: () => bytes >= maximumBytes,
		size: () => entries.size,
	};
}
