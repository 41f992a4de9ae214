/**
Walk over the turns that other archives hold. The archives are read in step, a range of names at a time, so that all that is
known of a turn is at hand at once and little is held in memory.
*/
import {type ArchiveRepairLink, type InventoryPage, type ListedArchive} from '../../contracts/archive.js';
import {as, type AttemptId, type Milliseconds} from '../../contracts/id.js';
import {type Inventory} from './missing-turns.js';

const pageTimeoutMs = 1000;

export type InventoryWalkOptions = {
	readonly archives: readonly ListedArchive[];
	readonly link: Pick<ArchiveRepairLink, 'inventory'>;
	/** Called for an archive that may hold turns which it has not told. */
	readonly onDoubt: (archive: ListedArchive, reason: string) => void;
};

/** Whether the turns of a page continue the walk, each after the one before. */
function isContinuation({turns, isLast}: InventoryPage, after: AttemptId | undefined): boolean {
	const isOrdered = turns.every(({turn}, index) => {
		const previous = index === 0 ? after : turns[index - 1]?.turn;
		return previous === undefined || turn > previous;
	});
	return isOrdered && (isLast || turns.length > 0);
}

/** Yields what the archives hold in one range of names after the other. An archive that does not answer is left out from then on. */
export async function * walkInventories({archives, link, onDoubt}: InventoryWalkOptions): AsyncGenerator<readonly Inventory[]> {
	let answering = archives;
	let after: AttemptId | undefined;
	do {
		const position = after;
		const answers = await Promise.all(answering.map(async archive => ({archive, page: await link.inventory(archive.address, position, as<Milliseconds>(pageTimeoutMs))})));
		const pages: Array<{readonly archive: ListedArchive; readonly page: InventoryPage}> = [];
		for (const {archive, page} of answers) {
			if (!page || !isContinuation(page, position)) {
				onDoubt(archive, page ? 'its inventory is out of order' : 'no inventory');
				continue;
			}

			pages.push({archive, page});
			if (!page.isComplete) {
				onDoubt(archive, 'it may have lost turns');
			}
		}

		answering = pages.map(({archive}) => archive);
		const ends = pages.flatMap(({page}) => page.isLast ? [] : page.turns.at(-1)?.turn ?? []);
		const [end] = ends.toSorted((left, right) => left < right ? -1 : 1);
		yield pages.map(({archive, page}) => ({archive, turns: end === undefined ? page.turns : page.turns.filter(({turn}) => turn <= end)}));
		after = end;
	} while (after !== undefined);
}
