/**
Page of the turns that a store holds, for archives that compare theirs with it. Pages follow each other in the order of names,
so that no state is held between them and turns may come and go meanwhile.
*/
import {type HeldTurn, type InventoryPage} from '../../contracts/archive.js';
import {type AttemptId, type Milliseconds} from '../../contracts/id.js';
import {type IndexEntry} from './turn-index.js';

/** Encoded size of the turns of a page. */
const maximumPageBytes = 128 * 1024;

/** Encoded size of a turn besides its name, which takes up to three bytes a character. */
const turnBytes = 16;
const bytesPerCharacter = 3;

/** Turns of a page, however short their names are. */
export const maximumPageTurns = maximumPageBytes / turnBytes;

export type InventoryPageOptions = {
	readonly entries: Iterable<readonly [AttemptId, IndexEntry]>;
	/** The turns of the page come after this one; undefined for the first page. */
	readonly after: AttemptId | undefined;
	readonly now: Milliseconds;
	readonly isComplete: boolean;
};

/** Creates a page of the turns that have not expired. */
export function createInventoryPage({entries, after, now, isComplete}: InventoryPageOptions): InventoryPage {
	const held: HeldTurn[] = [];
	for (const [turn, {extent, isSynced, expiresAt}] of entries) {
		if (expiresAt > now && (after === undefined || turn > after)) {
			held.push({turn, extent, isSynced});
		}
	}

	held.sort((left, right) => left.turn < right.turn ? -1 : 1);
	let bytes = 0;
	const turns = held.filter(({turn}, position) => {
		bytes += turnBytes + (bytesPerCharacter * turn.length);
		// One that is larger than a page has one of its own.
		return position === 0 || bytes <= maximumPageBytes;
	});
	return {turns, isLast: turns.length === held.length, isComplete};
}
