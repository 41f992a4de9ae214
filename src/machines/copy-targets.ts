/**
Choice of the archives that take copies of a turn. A turn has to outlast the loss of several disks, and of data centres with
all of their disks, at once.
*/
import {type ListedArchive} from '../contracts/archive.js';
import {type DataCentreId} from '../contracts/id.js';
import {type Tolerance} from '../contracts/tolerance.js';

function dataCentresOf(archives: readonly ListedArchive[]): ReadonlySet<DataCentreId> {
	return new Set(archives.map(archive => archive.dataCentre));
}

/**
The archive that takes the next copy: one of the data centre `own` if it has none, then one of another data centre that has
none, then any. `ranked` has the candidates in the order of preference. Undefined if none of them adds what is missing.
*/
export function nextCopyTarget(ranked: readonly ListedArchive[], holders: readonly ListedArchive[], own: DataCentreId, tolerance: Tolerance): ListedArchive | undefined {
	const free = ranked.filter(archive => holders.every(holder => holder.id !== archive.id));
	const taken = dataCentresOf(holders);
	const elsewhere = free.filter(archive => !taken.has(archive.dataCentre));
	const preferred = elsewhere.find(archive => archive.dataCentre === own) ?? elsewhere[0];
	return preferred ?? (holders.length <= tolerance.machines ? free[0] : undefined);
}
