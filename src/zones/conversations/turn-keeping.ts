/**
Keeps a turn: stores copies at as many archives as the tolerance requires. Another archive is asked beside one that does
not answer in time, and in place of one that refuses, until there are enough copies or the time is over.
*/
import {type ArchiveLink, type ListedArchive} from '../../contracts/archive.js';
import {type Clock} from '../../contracts/clock.js';
import {createDeferred} from '../../contracts/deferred.js';
import {as, type Milliseconds} from '../../contracts/id.js';
import {type CopyRequirement} from '../../contracts/tolerance.js';
import {type KeepResult, type TurnRecord} from '../../contracts/turn.js';
import {withTimeout} from '../with-timeout.js';
import {type ArchiveHealth} from './archive-health.js';
import {isEnough, nextArchive} from './copy-placement.js';

/**
Time after which a turn without enough copies is given up, in ms. It is shorter if the caller waits for less, but not so short
that a turn which ends at the last moment is lost.
*/
const keepTimeoutMs = 1000;
const minimumTimeoutMs = 100;

export type KeepOutcome = {
	readonly isKept: boolean;
	/** Archives that have a copy. */
	readonly copies: readonly ListedArchive[];
	/** Number of archives that had not answered in time, so that others were asked beside them. */
	readonly late: number;
	/** Archives that were asked and have no copy, each with the reason. */
	readonly missing: readonly string[];
	readonly took: Milliseconds;
};

export type TurnKeeping = {
	/** Stores a record at archives, given in the order in which they are preferred, for a caller that still waits for some time. */
	readonly keep: (record: TurnRecord, ranked: readonly ListedArchive[], timeLeft: Milliseconds) => Promise<KeepOutcome>;
	/** Whether copies at these archives would be enough, leaving out those that are known to be down. */
	readonly isPossible: (archives: readonly ListedArchive[]) => boolean;
};

export type TurnKeepingOptions = {
	readonly link: Pick<ArchiveLink, 'keep'>;
	readonly required: CopyRequirement;
	readonly health: ArchiveHealth;
	readonly clock: Clock;
};

/** Creates the keeping of an instance. */
export function createTurnKeeping({link, required, health, clock}: TurnKeepingOptions): TurnKeeping {
	async function keep(record: TurnRecord, ranked: readonly ListedArchive[], timeLeft: Milliseconds): Promise<KeepOutcome> {
		const startedAt = clock.now();
		const timeoutMs = Math.max(minimumTimeoutMs, Math.min(keepTimeoutMs, timeLeft));
		const isEnded = createDeferred<boolean>();
		/** Those that did not answer lately are the last resort. */
		const candidates = [...ranked.filter(({id}) => !health.isSkipped(id)), ...ranked.filter(({id}) => health.isSkipped(id))];
		const copies: ListedArchive[] = [];
		/** Archives that have been asked and may still answer in time. */
		const awaited = new Set<ListedArchive>();
		const unanswered = new Map<ListedArchive, string>();
		let late = 0;
		let inFlight = 0;
		let isOver = false;

		/** The next archive to ask; undefined if enough have been asked, provided that all those answer that may still do so in time. */
		function choose(): ListedArchive | undefined {
			const expected = [...copies, ...awaited];
			return isOver || isEnough(expected, required) ? undefined : nextArchive(candidates, expected, required);
		}

		function fill(): void {
			for (let next = choose(); next; next = choose()) {
				candidates.splice(candidates.indexOf(next), 1);
				awaited.add(next);
				unanswered.set(next, 'no answer');
				void ask(next);
			}

			if (isEnough(copies, required) || inFlight === 0) {
				isEnded.resolve(true);
			}
		}

		function settle(archive: ListedArchive, result: KeepResult): void {
			awaited.delete(archive);
			switch (result.kind) {
				case 'kept': {
					unanswered.delete(archive);
					copies.push(archive);
					break;
				}

				case 'refused':
				case 'unreachable': {
					unanswered.set(archive, `${result.kind}: ${result.reason}`);
				}
			}
		}

		async function ask(archive: ListedArchive): Promise<void> {
			inFlight++;
			const request = link.keep(archive.address, record, as<Milliseconds>(timeoutMs - (clock.now() - startedAt)));
			const result = await health.observe(archive.id, request, ({kind}) => kind === 'kept', () => {
				late++;
				awaited.delete(archive);
				fill();
			});
			inFlight--;
			settle(archive, result);
			fill();
		}

		fill();
		await withTimeout(clock, timeoutMs, isEnded.promise);
		isOver = true;
		return {
			isKept: isEnough(copies, required),
			copies: [...copies],
			late,
			missing: [...unanswered].map(([archive, reason]) => `${archive.id}: ${reason}`),
			took: as<Milliseconds>(clock.now() - startedAt),
		};
	}

	return {
		keep,
		isPossible: archives => isEnough(archives.filter(({id}) => !health.isDown(id)), required),
	};
}
