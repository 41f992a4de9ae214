/**
Ranks of the members of each data centre for the keys that an instance works with. They are computed once for a key and kept until
the members of that data centre that can own something change: a rank takes a hash for each member, and a program needs it several times
for each call.
*/
import {type DataCentreId} from '../contracts/id.js';
import {type Member} from './membership.js';
import {candidatesIn, rankOwners} from './ownership.js';

/** Maximum number of keys whose ranks are kept for each data centre. */
const maximumKeys = 2000;

export type OwnerRanks = {
	/** The members of a data centre that can own something, in the order in which they would own the key. */
	readonly of: (dataCentre: DataCentreId, key: string, members: readonly Member[]) => readonly Member[];
	/** Whether the member is among the first `count` that would own the key in its own data centre. */
	readonly isAmongOwners: (member: Member, key: string, members: readonly Member[], count?: number) => boolean;
};

/** Candidates of a data centre, and for each key their positions in that list, in the order of the ranks. */
type Ranking = {candidates: readonly Member[]; readonly positions: Map<string, readonly number[]>};

/** Whether the lists have the same members, in whatever state. */
function isSame(left: readonly Member[], right: readonly Member[]): boolean {
	return left.length === right.length && left.every((member, index) => member === right[index] || member.id === right[index]?.id);
}

/** Creates ranks of which none is known yet. */
export function createOwnerRanks(): OwnerRanks {
	const rankings = new Map<DataCentreId, Ranking>();

	function rankingOf(dataCentre: DataCentreId, candidates: readonly Member[]): Ranking {
		const known = rankings.get(dataCentre);
		if (known && isSame(known.candidates, candidates)) {
			known.candidates = candidates;
			return known;
		}

		const ranking = {candidates, positions: new Map<string, readonly number[]>()};
		rankings.set(dataCentre, ranking);
		return ranking;
	}

	function positionsFor(key: string, candidates: readonly Member[], {positions}: Ranking): readonly number[] {
		const known = positions.get(key);
		if (known) {
			return known;
		}

		const [oldest] = positions.keys();
		if (positions.size >= maximumKeys && oldest !== undefined) {
			positions.delete(oldest);
		}

		const computed = rankOwners(key, candidates).map(member => candidates.indexOf(member));
		positions.set(key, computed);
		return computed;
	}

	function of(dataCentre: DataCentreId, key: string, members: readonly Member[]): readonly Member[] {
		const candidates = candidatesIn(dataCentre, members);
		return positionsFor(key, candidates, rankingOf(dataCentre, candidates)).flatMap(position => candidates[position] ?? []);
	}

	return {
		of,
		isAmongOwners: (member, key, members, count = 1) => of(member.dataCentre, key, members).slice(0, count).some(({id}) => id === member.id),
	};
}
