/**
Index of a turn store: where the newest record of each turn lies. It is kept in memory, so its size is bounded.
*/
import {as, type AttemptId, type Milliseconds} from '../../contracts/id.js';
import {
	type Extent, isUsedRecord, type TurnContent, type TurnRecord, type UsedRecord,
} from '../../contracts/turn.js';
import {type Segment} from './segment.js';

/** Memory that the index may take, a third of the heap that the process may use. */
const maximumBytes = 16 * 1024 * 1024;

/** Memory of an entry besides its name. */
const entryBytes = 240;

/** The same of an entry that holds its record, whose names are short. */
const usedEntryBytes = 1000;

const wholeExtent = Number.POSITIVE_INFINITY;

export type IndexEntry = {
	readonly segment: Segment;
	readonly position: number;
	readonly length: number;
	readonly checksum: number;
	readonly extent: Extent;
	readonly expiresAt: Milliseconds;
	/** The record itself if it is one of used tokens. They are few and are all read at once, so they need no read from the disk. */
	readonly used: UsedRecord | undefined;
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
	/** Entries with records of used tokens. */
	readonly used: () => readonly IndexEntry[];
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

		case 'used': {
			return content.tokens;
		}
	}
}

/** The record that the index holds itself; undefined for those that lie on the disk only. */
export function usedPartOf(record: TurnRecord): UsedRecord | undefined {
	return isUsedRecord(record) ? record : undefined;
}

export function isWhole({extent}: IndexEntry): boolean {
	return extent === wholeExtent;
}

/** Creates an empty index. */
export function createTurnIndex(): TurnIndex {
	const entries = new Map<AttemptId, IndexEntry>();
	/** Those entries that have records of used tokens. */
	const used = new Map<AttemptId, IndexEntry>();
	let bytes = 0;

	function set(turn: AttemptId, entry: IndexEntry): void {
		entries.set(turn, entry);
		if (entry.used) {
			used.set(turn, entry);
		}
	}

	const sizeOf = (turn: AttemptId, entry: IndexEntry) => turn.length + (entry.used ? usedEntryBytes : entryBytes);

	return {
		get: turn => entries.get(turn),
		put(turn, entry) {
			entry.segment.turns.push(turn);
			const existing = entries.get(turn);
			if (existing && existing.extent > entry.extent) {
				// The longer record takes the place of the shorter one for the retention of both.
				const expiresAt = as<Milliseconds>(Math.max(existing.expiresAt, entry.expiresAt));
				existing.segment.expiresAt = as<Milliseconds>(Math.max(existing.segment.expiresAt, expiresAt));
				set(turn, {...existing, expiresAt});
				return false;
			}

			set(turn, entry);
			bytes += existing ? 0 : sizeOf(turn, entry);
			return true;
		},
		removeSegment(segment) {
			const removed = segment.turns.filter(turn => {
				const entry = entries.get(turn);
				if (entry?.segment !== segment) {
					return false;
				}

				entries.delete(turn);
				used.delete(turn);
				bytes -= sizeOf(turn, entry);
				return true;
			});
			segment.turns.length = 0;
			return removed;
		},
		entries: () => entries,
		used: () => [...used.values()],
		isFull: () => bytes >= maximumBytes,
		size: () => entries.size,
	};
}
