/**
Where the copies of a turn go. The archives are ranked by rendezvous hashing of the program, so that the turns of a chain
lie together: the first archive of the instance's own data centre, then the first of each other one, then their
second ones. Whichever instance serves a turn, it keeps a copy at the first archive of the program's first data centre or
of the one after it.
*/
import {type ListedArchive} from '../../contracts/archive.js';
import {type DataCentreId} from '../../contracts/id.js';
import {rankByRendezvous} from '../../contracts/rendezvous.js';
import {type CopyRequirement} from '../../contracts/tolerance.js';

/** Archives in the order in which an instance of a data centre uses them for the turns with a key. */
export function rankArchives(archives: readonly ListedArchive[], key: string, own: DataCentreId): readonly ListedArchive[] {
	const byDataCentre = new Map<DataCentreId, ListedArchive[]>([[own, []]]);
	for (const archive of rankByRendezvous(archives, ({id}) => id, key)) {
		byDataCentre.set(archive.dataCentre, [...byDataCentre.get(archive.dataCentre) ?? [], archive]);
	}

	const groups = [...byDataCentre.values()];
	const rounds = Math.max(...groups.map(group => group.length));
	return Array.from({length: rounds}, (_, round) => groups.flatMap(group => group[round] ?? [])).flat();
}

function dataCentresOf(archives: readonly ListedArchive[]): ReadonlySet<DataCentreId> {
	return new Set(archives.map(({dataCentre}) => dataCentre));
}

/** Whether copies at these archives are enough. */
export function isEnough(archives: readonly ListedArchive[], required: CopyRequirement): boolean {
	return archives.length >= required.copies && dataCentresOf(archives).size >= required.dataCentres;
}

/**
Whether all that is kept is known although these archives have not told everything that they hold: they cannot hold all copies of any
record between them, so at least one of the others has told of it. What those that are presumed gone hold is held elsewhere.
*/
export function isProvenWithout(untold: readonly ListedArchive[], required: CopyRequirement): boolean {
	return !isEnough(untold.filter(({state}) => state !== 'presumed-gone'), required);
}

/** The first candidate that brings the copies closer to what is required; undefined if there is none. */
export function nextArchive(candidates: readonly ListedArchive[], chosen: readonly ListedArchive[], required: CopyRequirement): ListedArchive | undefined {
	const covered = dataCentresOf(chosen);
	const missingCopies = required.copies - chosen.length;
	const missingDataCentres = required.dataCentres - covered.size;
	return missingCopies > missingDataCentres
		? candidates[0]
		: candidates.find(({dataCentre}) => !covered.has(dataCentre));
}
