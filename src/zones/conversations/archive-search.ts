/**
Searches the archives for one turn, in waves: each wave starts when all archives that were asked have answered that they do
not have the turn, or have not answered in time. The first archive that has it ends the search.
*/
import {type ArchiveLink, type ListedArchive} from '../../contracts/archive.js';
import {type Clock} from '../../contracts/clock.js';
import {createDeferred} from '../../contracts/deferred.js';
import {
	as, type AttemptId, type DataCentreId, type Milliseconds,
} from '../../contracts/id.js';
import {type TurnRecord} from '../../contracts/turn.js';
import {type RunTimeLimit} from '../run-time-limit.js';
import {type ArchiveHealth} from './archive-health.js';

export type SearchResult = {
	/** The turn and those before it, the newest first, as far as the archive holds them. */
	readonly found: {readonly archive: ListedArchive; readonly records: readonly TurnRecord[]} | undefined;
	/** Archives that answered without the turn, but may have lost turns that they acknowledged. */
	readonly incomplete: readonly ListedArchive[];
	/** Archives that did not answer in time, or were not asked before the time was over. */
	readonly silent: readonly ListedArchive[];
};

export type ArchiveSearch = {
	/** Searches until the limit is over; `isWanted` tells whether a record of the turn is of the wanted kind. */
	readonly find: (turn: AttemptId, waves: ReadonlyArray<readonly ListedArchive[]>, limit: RunTimeLimit, isWanted: (record: TurnRecord) => boolean) => Promise<SearchResult>;
	/** Divides archives, given in the order in which they are preferred, into waves. */
	readonly wavesOf: (ranked: readonly ListedArchive[], own: DataCentreId) => ReadonlyArray<readonly ListedArchive[]>;
};

export type ArchiveSearchOptions = {
	readonly link: Pick<ArchiveLink, 'chain'>;
	readonly health: ArchiveHealth;
	readonly clock: Clock;
};

/** The records as far as each is the one that the record before it names; an archive that sends others is not trusted. */
function continuousPart(turn: AttemptId, records: readonly TurnRecord[]): readonly TurnRecord[] {
	let expected: AttemptId | undefined = turn;
	const gap = records.findIndex(record => {
		const isExpected = record.turn === expected;
		expected = record.previous;
		return !isExpected;
	});
	return gap === -1 ? records : records.slice(0, gap);
}

/** Creates the search of an instance. */
export function createArchiveSearch({link, health, clock}: ArchiveSearchOptions): ArchiveSearch {
	return {
		async find(turn, waves, limit, isWanted) {
			const found = createDeferred<SearchResult['found']>();
			const incomplete: ListedArchive[] = [];
			const silent = new Set<ListedArchive>(waves.flat());
			const answers: Array<Promise<void>> = [];
			let isEnded = false;

			/** Resolves when the archive has answered or is late; a late answer still counts. */
			async function ask(archive: ListedArchive): Promise<void> {
				const late = createDeferred<true>();
				const request = link.chain(archive.address, turn, as<Milliseconds>(Math.max(1, limit.deadline - clock.now())));
				const answering = health.observe(archive.id, request, reply => reply !== undefined, () => {
					late.resolve(true);
				}).then(reply => {
					if (!reply) {
						return;
					}

					silent.delete(archive);
					const records = continuousPart(turn, reply.records);
					const [first] = records;
					if (first && isWanted(first)) {
						isEnded = true;
						found.resolve({archive, records});
					} else if (!reply.isComplete) {
						incomplete.push(archive);
					}
				});
				answers.push(answering);
				await Promise.race([answering, late.promise]);
			}

			async function askAll(): Promise<undefined> {
				for (const wave of waves) {
					if (isEnded || limit.isOver()) {
						return;
					}

					await Promise.all(wave.map(async archive => ask(archive)));
				}

				await Promise.all(answers);
			}

			const result = await limit.wait(Promise.race([found.promise, askAll()]));
			isEnded = true;
			return {found: result, incomplete: [...incomplete], silent: [...silent]};
		},
		wavesOf(ranked, own) {
			const isLikely = ({id, state}: ListedArchive) => !health.isSkipped(id) && state !== 'presumed-gone';
			const answering = ranked.filter(archive => isLikely(archive));
			const [first, ...otherNear] = answering.filter(({dataCentre}) => dataCentre === own);
			// The turns of a program have a copy at the first archive outside, unless it did not answer.
			const [firstOutside, ...otherOutside] = answering.filter(({dataCentre}) => dataCentre !== own);
			const waves = [[first], [...otherNear, firstOutside], otherOutside, ranked.filter(archive => !isLikely(archive))];
			return waves.map(wave => wave.filter(archive => archive !== undefined)).filter(wave => wave.length > 0);
		},
	};
}
