/**
Whether this instance's data centre is cut off from the others, as far as kept turns need them. An instance there cannot
keep a turn, and tells the load balancer that it is not ready, so that callers reach a data centre that can serve them.

The store alone does not tell, because it may be away for all; nor do the archives alone, because they may all be down
while the instance still serves other requests. So both have to be silent. Once turns are refused because too few archives
answer, one round of probes without an answer is enough. An instance that is cut off alone leaves the rotation as well, since its
neighbours can serve its callers.
*/
import {type ArchiveLink, type ListedArchive} from '../../contracts/archive.js';
import {type Clock, type Random} from '../../contracts/clock.js';
import {as, type DataCentreId, type Milliseconds} from '../../contracts/id.js';
import {isAnyAnswering} from './archive-probe.js';
import {type TurnEvent} from './turn-event.js';

/** Time without an answer of the store, known here or by neighbours, after which archives elsewhere are probed, in ms. */
const silenceMs = 700;

/** Interval at which the store's silence is looked at while it answers, in ms. */
const checkIntervalMs = 250;

/** Interval from one round of probes to the next, and the time for which this process runs until a probe has failed, in ms. */
const roundIntervalMs = 400;
const probeTimeoutMs = 150;

/** Rounds in a row without an answer from any other data centre that show that this one is cut off, and the same while turns are refused anyway. */
const unansweredRounds = 2;
const unansweredRoundsWhileRefusing = 1;

export type DataCentreContact = {
	readonly isCutOff: () => boolean;
	readonly run: (signal: AbortSignal) => Promise<void>;
};

export type DataCentreContactOptions = {
	readonly dataCentre: DataCentreId;
	readonly link: Pick<ArchiveLink, 'chain'>;
	/** Archives that exist; none while no turns are kept. */
	readonly archives: () => readonly ListedArchive[];
	/** Whether enough archives for a turn answer, as far as is known. */
	readonly canKeepTurns: () => boolean;
	/** Time since the store answered this instance or a neighbour. */
	readonly storeSilence: () => Milliseconds;
	readonly clock: Clock;
	readonly random: Random;
	readonly onEvent: (event: TurnEvent) => void;
};

/** Creates the contact of an instance that has not asked yet. */
export function createDataCentreContact(options: DataCentreContactOptions): DataCentreContact {
	const {clock, random} = options;
	const isStoreSilent = () => options.storeSilence() > silenceMs;
	let unanswered = 0;
	let isCutOff = false;

	/** One archive of each other data centre, drawn anew each time; the silence of one that is gone shows nothing. */
	function archivesToProbe(): readonly ListedArchive[] {
		const byDataCentre = new Map<DataCentreId, ListedArchive[]>();
		const others = options.archives().filter(({dataCentre, state}) => dataCentre !== options.dataCentre && state !== 'left' && state !== 'presumed-gone');
		for (const archive of others) {
			byDataCentre.set(archive.dataCentre, [...byDataCentre.get(archive.dataCentre) ?? [], archive]);
		}

		return [...byDataCentre.values()].flatMap(archives => archives[Math.floor(random.fraction() * archives.length)] ?? []);
	}

	/** Whether the store and the other data centres are silent; without archives there is nobody to ask. */
	async function isSilent(): Promise<boolean> {
		const archives = isStoreSilent() ? archivesToProbe() : [];
		const isAnswered = archives.length === 0 || await isAnyAnswering(archives, probeTimeoutMs, options);
		return !isAnswered && isStoreSilent();
	}

	async function update(): Promise<void> {
		unanswered = await isSilent() ? unanswered + 1 : 0;
		const isNow = unanswered >= (options.canKeepTurns() ? unansweredRounds : unansweredRoundsWhileRefusing);
		if (isNow !== isCutOff) {
			isCutOff = isNow;
			options.onEvent({kind: 'contact', isCutOff, storeSilence: options.storeSilence()});
		}
	}

	return {
		isCutOff: () => isCutOff,
		async run(signal) {
			while (!signal.aborted) {
				const interval = as<Milliseconds>(isStoreSilent() ? roundIntervalMs : checkIntervalMs);
				await Promise.all([update(), clock.sleep(interval, signal)]);
			}
		},
	};
}
