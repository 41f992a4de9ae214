/**
Probes the archives that have failed several times in a row with reads of a turn that does not exist. Turns are not begun
while those archives are needed to keep them, so no turn would show that they answer again.
*/
import {type ArchiveLink, type ListedArchive} from '../../contracts/archive.js';
import {type Clock} from '../../contracts/clock.js';
import {as, type AttemptId, type Milliseconds} from '../../contracts/id.js';
import {type ArchiveHealth} from './archive-health.js';

const probeIntervalMs = 500;
const probeTimeoutMs = 250;

/** Not the id of a turn. */
const probedTurn = as<AttemptId>('probe');

export type ArchiveProbeOptions = {
	readonly link: Pick<ArchiveLink, 'chain'>;
	readonly health: Pick<ArchiveHealth, 'isDown' | 'retry'>;
	readonly archives: () => readonly ListedArchive[];
	readonly clock: Clock;
};

/** Probes until the signal aborts. */
export async function probeArchives({link, health, archives, clock}: ArchiveProbeOptions, signal: AbortSignal): Promise<void> {
	while (!signal.aborted) {
		await clock.sleep(as<Milliseconds>(probeIntervalMs), signal);
		await Promise.all(archives().filter(({id}) => health.isDown(id)).map(async ({id, address}) => {
			if (await link.chain(address, probedTurn, as<Milliseconds>(probeTimeoutMs))) {
				health.retry(id);
			}
		}));
	}
}
