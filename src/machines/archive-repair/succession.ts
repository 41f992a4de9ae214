/**
Succession of machines that are gone for good. An archive that is new in the deployment watches for a while whether others fall
silent. It then sees to it that enough archives without the silent ones hold each turn, and registers these as presumed gone, so that
their silence no longer leaves doubts. One that lives registers itself again.
*/
import {
	type ArchiveCopyLink, type ArchiveListing, type ArchiveRepairLink, type ListedArchive,
} from '../../contracts/archive.js';
import {type Clock} from '../../contracts/clock.js';
import {as, type InstanceId, type Milliseconds} from '../../contracts/id.js';
import {copiesFor, type Tolerance} from '../../contracts/tolerance.js';
import {isProvenWithout} from '../../zones/conversations/copy-placement.js';
import {type TurnStore} from '../turn-store/turn-store.js';
import {createSilenceWatch} from './silence-watch.js';
import {takeOver, type TakeoverResult} from './takeover.js';

/** Time for which an archive that is new watches the others: a machine that it replaces may end later than it begins. */
const watchMs = 60_000;

/** Time from one question to the next; one that is not answered takes part of it. */
const probeIntervalMs = 800;

/** Delay before another attempt after one that left doubts. */
const retryDelayMs = 2000;

/** Interval at which the list of archives is read. */
const listIntervalMs = 10_000;

export type SuccessionEvent
	= | {readonly kind: 'watching'; readonly archives: number}
		| {readonly kind: 'silent'; readonly archive: InstanceId}
		/** All turns have been compared once. Silent archives are registered as presumed gone only if that is proven to lose nothing. */
		| ({readonly kind: 'compared'} & TakeoverResult)
		| {readonly kind: 'copy-failed'; readonly archive: InstanceId; readonly reason: string}
		| {readonly kind: 'presumed-gone'; readonly archive: InstanceId; readonly isWritten: boolean};

export type SuccessionOptions = {
	readonly own: ListedArchive;
	readonly store: Pick<TurnStore, 'inventory' | 'keep' | 'read' | 'syncedExtent'>;
	readonly link: ArchiveRepairLink & ArchiveCopyLink;
	/** Reads the registered archives. */
	readonly list: () => Promise<ArchiveListing>;
	/** Registers another archive as presumed gone, unless its registration has changed since it was listed. */
	readonly presumeGone: (archive: ListedArchive) => Promise<boolean>;
	readonly tolerance: Tolerance;
	readonly clock: Clock;
	readonly onEvent: (event: SuccessionEvent) => void;
};

/** Watches the other archives and takes over from those that are gone. Resolves after the watch, or when the signal aborts. */
export async function succeedArchives(options: SuccessionOptions, signal: AbortSignal): Promise<void> {
	const {own, clock, onEvent} = options;
	const required = copiesFor(options.tolerance);
	const watchUntil = clock.now() + watchMs;
	const watch = createSilenceWatch({
		dataCentre: own.dataCentre,
		link: options.link,
		onSilent(archive) {
			onEvent({kind: 'silent', archive});
		},
	});
	/** Archives that were presumed gone once. One that is registered as serving after that lives, whatever this archive hears of it. */
	const presumed = new Set<InstanceId>();
	let listed: readonly ListedArchive[] = [];
	let listedAt = -Infinity;
	let nextAttemptAt = -Infinity;

	async function refreshList(): Promise<void> {
		const listing = await options.list();
		if (listing.kind === 'listed') {
			listedAt = clock.now();
			// An entry that cannot be read may be one of any archive, so nobody is presumed gone beside it.
			listed = listing.isWhole ? listing.archives.filter(({id, state}) => id !== own.id && state !== 'left') : [];
		}
	}

	/** Archives from which this one may take over now. */
	function findSilent(): readonly ListedArchive[] {
		const silent = listed.filter(archive => archive.state !== 'presumed-gone' && !presumed.has(archive.id) && watch.isSilent(archive));
		// Where more do not answer than may be lost at once, this archive cannot tell who is cut off.
		const isPossible = isProvenWithout(listed.filter(archive => !watch.isAnswering(archive)), required);
		return isPossible ? silent : [];
	}

	async function succeed(): Promise<void> {
		if (clock.now() < nextAttemptAt || findSilent().length === 0) {
			return;
		}

		// Another new archive may have taken over meanwhile.
		await refreshList();
		const silent = findSilent();
		if (silent.length === 0 || signal.aborted) {
			return;
		}

		const result = await takeOver({
			...options,
			answering: listed.filter(archive => watch.isAnswering(archive)),
			silent: listed.filter(archive => !watch.isAnswering(archive)),
			onFailure(archive, reason) {
				onEvent({kind: 'copy-failed', archive, reason});
			},
		}, signal);
		onEvent({kind: 'compared', ...result});
		nextAttemptAt = clock.now() + retryDelayMs;
		if (!result.isProven) {
			return;
		}

		await watch.probe(silent);
		for (const archive of silent.filter(other => !watch.isAnswering(other) && !signal.aborted)) {
			const isWritten = await options.presumeGone(archive);
			if (isWritten) {
				presumed.add(archive.id);
			}

			onEvent({kind: 'presumed-gone', archive: archive.id, isWritten});
		}
	}

	await refreshList();
	onEvent({kind: 'watching', archives: listed.length});
	while (!signal.aborted && clock.now() < watchUntil) {
		if (clock.now() >= listedAt + listIntervalMs) {
			await refreshList();
		}

		const askedAt = clock.now();
		await watch.probe(listed);
		await succeed();
		await clock.sleep(as<Milliseconds>(Math.max(0, askedAt + probeIntervalMs - clock.now())), signal);
	}
}
