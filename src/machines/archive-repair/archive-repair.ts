/**
Repair of an archive that may have lost turns: it compares what it holds with what the others hold, and copies what is missing.
It is complete once those that have not told all they hold could not hold all copies of a turn between them. While that is not
known it goes on serving, and says with each answer that it is not complete.
*/
import {type ArchiveListing, type ArchiveRepairLink, type ListedArchive} from '../../contracts/archive.js';
import {type Clock} from '../../contracts/clock.js';
import {as, type Milliseconds} from '../../contracts/id.js';
import {copiesFor, type Tolerance} from '../../contracts/tolerance.js';
import {isProvenWithout} from '../../zones/conversations/copy-placement.js';
import {type TurnStore} from '../turn-store/turn-store.js';
import {walkInventories} from './inventory-walk.js';
import {findMissingTurns, joinInventories} from './missing-turns.js';
import {type ArchiveRepairEvent, type Doubt} from './repair-event.js';
import {copyTurns} from './turn-copying.js';

/**
Time from the start of the process to the first comparison. An instance that counts a copy which was lost just before waits up to
a second for the others; by then these hold the turn.
*/
const settlingMs = 1500;

/** Delay before the archives are compared again, unless the comparison took longer. */
const retryDelayMs = 500;

/** The same while the own store refuses copies; it doubles up to the maximum. */
const firstRefusedDelayMs = 2000;
const maximumRefusedDelayMs = 16_000;

export type ArchiveRepairOptions = {
	readonly own: ListedArchive;
	readonly store: Pick<TurnStore, 'isComplete' | 'complete' | 'keep' | 'syncedExtent'>;
	readonly link: ArchiveRepairLink;
	/** Reads the registered archives. */
	readonly list: () => Promise<ArchiveListing>;
	readonly tolerance: Tolerance;
	readonly startedAt: Milliseconds;
	readonly clock: Clock;
	readonly onEvent: (event: ArchiveRepairEvent) => void;
};

/** Repairs an archive. Resolves once it is complete, or the signal aborts. */
export async function repairArchive(options: ArchiveRepairOptions, signal: AbortSignal): Promise<void> {
	const {own, store, link, clock, onEvent} = options;
	const required = copiesFor(options.tolerance);
	let copied = 0;

	/** Compares all turns once. */
	async function pass(): Promise<'proven' | 'in-doubt' | 'refused'> {
		const listing = await options.list();
		if (listing.kind === 'failed' || !listing.isWhole) {
			onEvent({kind: 'archives-unavailable', reason: listing.kind === 'failed' ? listing.reason : 'an entry of an archive is invalid'});
			return 'in-doubt';
		}

		const doubts = new Map<ListedArchive, string>();
		// One that has left holds nothing that was not copied to others.
		const archives = listing.archives.filter(({id, state}) => id !== own.id && state !== 'left');
		const walk = walkInventories({
			archives,
			link,
			onDoubt(archive, reason) {
				doubts.set(archive, reason);
			},
		});
		let copiedNow = 0;
		let remaining = 0;
		let isRefused = false;
		for await (const inventories of walk) {
			const missing = findMissingTurns(joinInventories(inventories), store.syncedExtent, required);
			const outcome = await copyTurns(missing, {link, store, signal});
			copiedNow += outcome.held;
			remaining += missing.length - outcome.held;
			({isRefused} = outcome);
			if (signal.aborted || isRefused) {
				break;
			}
		}

		copied += copiedNow;
		const described: readonly Doubt[] = [...doubts].map(([{id}, reason]) => ({archive: id, reason}));
		onEvent({
			kind: 'passed', copied: copiedNow, remaining, doubts: described,
		});
		if (isRefused) {
			return 'refused';
		}

		return !signal.aborted && remaining === 0 && isProvenWithout([own, ...doubts.keys()], required) ? 'proven' : 'in-doubt';
	}

	if (store.isComplete()) {
		return;
	}

	if (!isProvenWithout([own], required)) {
		onEvent({kind: 'impossible'});
		return;
	}

	onEvent({kind: 'started'});
	await clock.sleep(as<Milliseconds>(Math.max(0, options.startedAt + settlingMs - clock.now())), signal);
	let refusedDelayMs = firstRefusedDelayMs;
	while (!signal.aborted && !store.isComplete()) {
		const passStartedAt = clock.now();
		const outcome = await pass();
		switch (outcome) {
			case 'proven': {
				const isRecorded = await store.complete('repair');
				onEvent({
					kind: 'finished', copied, isRecorded, took: as<Milliseconds>(clock.now() - options.startedAt),
				});
				return;
			}

			case 'in-doubt': {
				await clock.sleep(as<Milliseconds>(Math.max(retryDelayMs, clock.now() - passStartedAt)), signal);
				break;
			}

			case 'refused': {
				await clock.sleep(as<Milliseconds>(refusedDelayMs), signal);
				refusedDelayMs = Math.min(2 * refusedDelayMs, maximumRefusedDelayMs);
			}
		}
	}
}
