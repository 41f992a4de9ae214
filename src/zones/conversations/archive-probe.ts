/**
Probes of archives: reads of a turn that does not exist. A probe fails only once this process has run for long enough to read an
answer. By the clock, a process that is short of processor time would miss answers that have arrived.

Archives that have failed several times in a row are probed all the time. Turns are not begun while those archives are needed to
keep them, so no turn would show that they answer again.
*/
import {type ArchiveLink, type ListedArchive} from '../../contracts/archive.js';
import {type Clock} from '../../contracts/clock.js';
import {as, type AttemptId, type Milliseconds} from '../../contracts/id.js';
import {anyOf} from '../any-of.js';
import {createRunTimeLimit} from '../run-time-limit.js';
import {type ArchiveHealth} from './archive-health.js';

const probeIntervalMs = 500;
const probeTimeoutMs = 250;

/** Limit by the clock, in ms. It is longer than most pauses of a process, so that none of them ends a probe. */
const maximumTimeout = as<Milliseconds>(10_000);

/** Not the id of a turn. */
const probedTurn = as<AttemptId>('probe');

export type ArchiveProbe = {
	readonly link: Pick<ArchiveLink, 'chain'>;
	readonly clock: Clock;
};

export type ArchiveProbeOptions = ArchiveProbe & {
	readonly health: Pick<ArchiveHealth, 'isDown' | 'retry'>;
	readonly archives: () => readonly ListedArchive[];
};

/** Whether one of the archives answers within a time for which this process runs. */
export async function isAnyAnswering(archives: readonly ListedArchive[], runTimeMs: number, {link, clock}: ArchiveProbe): Promise<boolean> {
	const ended = new AbortController();
	const limit = createRunTimeLimit(clock, runTimeMs, as<Milliseconds>(Infinity));
	const answers = archives.map(async ({address}) => await link.chain(address, probedTurn, maximumTimeout, ended.signal) !== undefined);
	const isAnswered = await limit.wait(anyOf(answers));
	ended.abort();
	return isAnswered ?? false;
}

/** Probes until the signal aborts. */
export async function probeArchives({link, health, archives, clock}: ArchiveProbeOptions, signal: AbortSignal): Promise<void> {
	async function probe(archive: ListedArchive): Promise<void> {
		if (await isAnyAnswering([archive], probeTimeoutMs, {link, clock})) {
			health.retry(archive.id);
		}
	}

	while (!signal.aborted) {
		const down = archives().filter(({id}) => health.isDown(id));
		await Promise.all([...down.map(async archive => probe(archive)), clock.sleep(as<Milliseconds>(probeIntervalMs), signal)]);
	}
}
