/**
Inventory of a store, for archives that compare theirs with it. It is read in pages, which follow each other in the order of names. The
names are sorted once for the pages of a walk; what each page says of a turn is as of its own time.
*/
import {type HeldTurn, type InventoryPage} from '../../contracts/archive.js';
import {type Clock} from '../../contracts/clock.js';
import {as, type AttemptId, type Milliseconds} from '../../contracts/id.js';
import {type IndexEntry} from './turn-index.js';

/** Encoded size of the turns of a page. */
const maximumPageBytes = 128 * 1024;

/** Encoded size of a turn besides its name, which takes up to three bytes a character. */
const turnBytes = 24;
const bytesPerCharacter = 3;

/** Turns of a page, however short their names are. */
export const maximumPageTurns = Math.ceil(maximumPageBytes / turnBytes);

/** Time for which sorted names are used by walks that are under way. */
const sortedLifetimeMs = 10_000;

export type Inventory = {
	/** A page of the turns after a name; the first page if it is undefined. */
	readonly page: (after: AttemptId | undefined) => InventoryPage;
};

export type InventoryOptions = {
	readonly entries: () => Iterable<readonly [AttemptId, IndexEntry]>;
	readonly get: (turn: AttemptId) => IndexEntry | undefined;
	readonly isComplete: () => boolean;
	readonly clock: Clock;
};

/** Position of the first name after another one. */
function positionAfter(names: readonly AttemptId[], after: AttemptId): number {
	let low = 0;
	let high = names.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if ((names[middle] ?? after) > after) {
			high = middle;
		} else {
			low = middle + 1;
		}
	}

	return low;
}

/** Creates the inventory of a store. */
export function createInventory({entries, get, isComplete, clock}: InventoryOptions): Inventory {
	let names: readonly AttemptId[] = [];
	let sortedAt = -Infinity;

	function sort(): void {
		names = Array.from(entries(), ([turn]) => turn).toSorted((left, right) => left < right ? -1 : 1);
		sortedAt = clock.now();
	}

	return {
		page(after) {
			const now = clock.now();
			// A first page lists what is held when it is asked for, as a walk relies on.
			if (after === undefined || now > sortedAt + sortedLifetimeMs) {
				sort();
			}

			const turns: HeldTurn[] = [];
			let bytes = 0;
			let position = after === undefined ? 0 : positionAfter(names, after);
			for (; position < names.length; position++) {
				const turn = names[position];
				const entry = turn === undefined ? undefined : get(turn);
				if (turn === undefined || !entry || entry.expiresAt <= now) {
					continue;
				}

				bytes += turnBytes + (bytesPerCharacter * turn.length);
				// One that is larger than a page has one of its own.
				if (turns.length > 0 && bytes > maximumPageBytes) {
					break;
				}

				turns.push({
					turn, extent: entry.extent, isSynced: entry.isSynced, remaining: as<Milliseconds>(entry.expiresAt - now),
				});
			}

			return {turns, isLast: position >= names.length, isComplete: isComplete()};
		},
	};
}
