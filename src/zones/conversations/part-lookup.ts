/**
Looks up what a caller has received of a stream that it resumes. The instance where the stream broke off may still be
storing it, or have yet to notice, so the archives are asked again for a short while.
*/
import {type ListedArchive} from '../../contracts/archive.js';
import {type Clock} from '../../contracts/clock.js';
import {as, type DataCentreId, type Milliseconds} from '../../contracts/id.js';
import {type TurnRecord} from '../../contracts/turn.js';
import {type ReceivedPart, type TurnRequest, type TurnResumption} from '../../machines/kept-turns.js';
import {createRunTimeLimit} from '../run-time-limit.js';
import {type ArchiveSearch} from './archive-search.js';

/** Time for which the archives are asked, in ms. */
const lookupTimeoutMs = 500;

const retryIntervalMs = 80;

export type PartLookup = {
	/** The output that the caller has received, or more of it; undefined if it is not known by the time of the clock. */
	readonly find: (turn: TurnRequest, resumption: TurnResumption, ranked: readonly ListedArchive[], deadline: Milliseconds) => Promise<ReceivedPart | undefined>;
};

export type PartLookupOptions = {
	readonly dataCentre: DataCentreId;
	readonly search: ArchiveSearch;
	readonly clock: Clock;
};

/** The output in a record; undefined if it is not that of a turn. A whole turn has all events of its stream. */
function partOf({content}: TurnRecord): ReceivedPart | undefined {
	switch (content.kind) {
		case 'whole': {
			return {lastEvent: Infinity, output: content.output};
		}

		case 'partial': {
			return {lastEvent: content.lastEvent, output: content.output};
		}

		case 'used': {
			return undefined;
		}
	}
}

/** Creates the lookup of an instance. */
export function createPartLookup({dataCentre, search, clock}: PartLookupOptions): PartLookup {
	return {
		async find(turn, {firstAttempt, lastEvent}, ranked, deadline) {
			const limit = createRunTimeLimit(clock, lookupTimeoutMs, deadline, turn.signal);
			const isWanted = (record: TurnRecord) => (partOf(record)?.lastEvent ?? -Infinity) >= lastEvent && record.previous === turn.previous && record.workspace === turn.workspace;
			for (;;) {
				const {found} = await search.find(firstAttempt, search.wavesOf(ranked, dataCentre), limit, isWanted);
				const [record] = found?.records ?? [];
				if (record) {
					return partOf(record);
				}

				await limit.wait(clock.sleep(as<Milliseconds>(retryIntervalMs)));
				if (limit.isOver()) {
					return undefined;
				}
			}
		},
	};
}
