/**
Succession of machines that are gone for good. An archive that is new in the deployment watches for a while whether others fall
silent. It then sees to it that enough archives without the silent ones hold each turn, and registers these as left, so that their silence
no longer leaves doubts. One that answers after all is registered as serving again.
*/
import {
	type ArchiveCopyLink, type ArchiveListing, type ArchiveRepairLink, type ArchiveState, type ListedArchive,
} from '../../contracts/archive.js';
import {type Clock} from '../../contracts/clock.js';
import {
	as, type AttemptId, type InstanceId, type Milliseconds,
} from '../../contracts/id.js';
import {copiesFor, type Tolerance} from '../../contracts/tolerance.js';
import {isAllKnown, isEnough} from '../../zones/conversations/copy-placement.js';
import {type Copy, createCopySpreading} from '../copy-spreading.js';
import {type TurnStore} from '../turn-store/turn-store.js';
import {walkInventories} from './inventory-walk.js';
import {findMissingTurns, joinInventories, type TurnHolders} from './missing-turns.js';
import {copyTurns} from './turn-copying.js';

/** Time for which an archive that is new watches the others: a machine that it replaces may end later than it begins. */
const watchMs = 60_000;

/** Interval at which the others are asked, and the same for those that are registered as left, after the watch. */
const probeIntervalMs = 1000;
const returnIntervalMs = 5000;

const probeTimeoutMs = 500;

/**
Time without an answer after which an archive counts as silent. A restart takes about two seconds. Archives of other data centres
leave the work to one of its own, if there is one that is new.
*/
const silenceMs = {nearby: 3000, elsewhere: 6000} as const;

/** Delay before another attempt after one that left doubts. */
const retryDelayMs = 2000;

/** Interval at which the list of archives is read. */
const listIntervalMs = 10_000;

/** Turns that are spread together. */
const turnsPerGroup = 100;

export type SuccessionEvent
	= | {readonly kind: 'watching'; readonly archives: number}
		| {readonly kind: 'silent'; readonly archive: InstanceId}
		/** A pass over all turns has ended. Silent archives are registered as left unless turns remain or others are in doubt as well. */
		| {readonly kind: 'passed'; readonly copied: number; readonly spread: number; readonly remaining: number; readonly doubts: readonly InstanceId[]}
		| {readonly kind: 'copy-failed'; readonly archive: InstanceId; readonly reason: string}
		| {readonly kind: 'registered'; readonly archive: InstanceId; readonly state: ArchiveState; readonly isWritten: boolean};

export type SuccessionOptions = {
	readonly own: ListedArchive;
	readonly store: Pick<TurnStore, 'inventory' | 'keep' | 'read' | 'syncedExtent'>;
	readonly link: ArchiveRepairLink & ArchiveCopyLink;
	/** Reads the registered archives. */
	readonly list: () => Promise<ArchiveListing>;
	/** Writes the state of another archive unless its registration has changed since it was listed or written. */
	readonly register: (archive: ListedArchive, state: ArchiveState) => Promise<boolean>;
	readonly tolerance: Tolerance;
	readonly clock: Clock;
	readonly onEvent: (event: SuccessionEvent) => void;
};

/** Watches the other archives and takes over from those that are gone. Resolves when there is nothing left to watch, or the signal aborts. */
export async function succeedArchives(options: SuccessionOptions, signal: AbortSignal): Promise<void> {
	const {own, store, link, clock, onEvent} = options;
	const required = copiesFor(options.tolerance);
	const watchUntil = clock.now() + watchMs;
	const silentSince = new Map<InstanceId, Milliseconds>();
	/** Archives that this one has registered as left. */
	const succeeded = new Map<InstanceId, ListedArchive>();
	let listed: readonly ListedArchive[] = [];
	let listedAt = -Infinity;
	let nextPassAt = -Infinity;

	function isSilent({id, dataCentre}: ListedArchive): boolean {
		const silence = clock.now() - (silentSince.get(id) ?? clock.now());
		return silence >= (dataCentre === own.dataCentre ? silenceMs.nearby : silenceMs.elsewhere);
	}

	async function refreshList(): Promise<void> {
		if (clock.now() < listedAt + listIntervalMs) {
			return;
		}

		const listing = await options.list();
		if (listing.kind === 'listed') {
			listedAt = clock.now();
			listed = listing.archives.filter(({id, state}) => id !== own.id && state !== 'left');
			// One that has registered itself again needs no help.
			for (const {id} of listed) {
				succeeded.delete(id);
			}
		}
	}

	async function probe(archive: ListedArchive): Promise<void> {
		const isAnswering = await link.holds(archive.address, [], as<Milliseconds>(probeTimeoutMs)) !== undefined;
		if (isAnswering) {
			silentSince.delete(archive.id);
			return;
		}

		const wasSilent = isSilent(archive);
		silentSince.set(archive.id, silentSince.get(archive.id) ?? clock.now());
		if (isSilent(archive) && !wasSilent) {
			onEvent({kind: 'silent', archive: archive.id});
		}
	}

	async function register(archive: ListedArchive, state: ArchiveState): Promise<void> {
		const isWritten = await options.register(archive, state);
		onEvent({
			kind: 'registered', archive: archive.id, state, isWritten,
		});
		listedAt = -Infinity;
		if (isWritten && state === 'left') {
			succeeded.set(archive.id, archive);
		} else {
			succeeded.delete(archive.id);
		}
	}

	/** Copies turns that too few hold to further archives. Resolves to the numbers of copies made and of turns that remain. */
	async function spreadTurns(scarce: ReadonlyArray<readonly [AttemptId, readonly ListedArchive[]]>, targets: readonly ListedArchive[]) {
		const spreading = createCopySpreading({
			targets,
			dataCentre: own.dataCentre,
			link,
			tolerance: options.tolerance,
			onFailure(archive, reason) {
				onEvent({kind: 'copy-failed', archive, reason});
			},
		});
		let made = 0;
		let remaining = 0;
		for (let at = 0; at < scarce.length && !signal.aborted; at += turnsPerGroup) {
			const group = scarce.slice(at, at + turnsPerGroup);
			const read = await Promise.all(group.map(async ([turn, holders]) => ({record: await store.read(turn), holders})));
			const copies = read.flatMap(({record, holders}): readonly Copy[] => record ? [{record, chain: record.previous ?? record.turn, holders: [...holders]}] : []);
			made += await spreading.spread(copies, signal);
			remaining += group.length - copies.filter(({holders}) => isEnough(holders, required)).length;
		}

		return {made, remaining};
	}

	/** Archives that hold the longest record of a turn, with this one if it does by now. */
	function holdersOf(turn: AttemptId, {extent, lasting}: TurnHolders): readonly ListedArchive[] {
		const isOwn = (store.syncedExtent(turn) ?? -Infinity) >= extent && lasting.every(({id}) => id !== own.id);
		return isOwn ? [...lasting, own] : lasting;
	}

	/** Makes enough copies of all turns at the archives that answer. Resolves to whether nothing is missing for certain. */
	async function pass(): Promise<boolean> {
		const answering = listed.filter(archive => !silentSince.has(archive.id));
		const doubts = new Set(listed.filter(archive => silentSince.has(archive.id)));
		const walk = walkInventories({
			archives: [own, ...answering],
			link: {
				inventory: async (address, after, timeout) => address === own.address ? store.inventory(after) : link.inventory(address, after, timeout),
			},
			onDoubt(archive) {
				doubts.add(archive);
			},
		});
		let copied = 0;
		let spread = 0;
		let remaining = 0;
		for await (const inventories of walk) {
			const held = joinInventories(inventories);
			copied += await copyTurns(findMissingTurns(held, store.syncedExtent, required), {link, store, signal});
			const scarce = [...held].map(([turn, holders]) => [turn, holdersOf(turn, holders)] as const).filter(([, holders]) => !isEnough(holders, required));
			const result = await spreadTurns(scarce, answering.filter(({state}) => state === 'serving'));
			spread += result.made;
			remaining += result.remaining;
			if (signal.aborted) {
				return false;
			}
		}

		onEvent({
			kind: 'passed', copied, spread, remaining, doubts: [...doubts].map(({id}) => id),
		});
		return remaining === 0 && isAllKnown([...doubts], required);
	}

	async function takeOver(): Promise<void> {
		if (clock.now() < nextPassAt || !listed.some(archive => isSilent(archive))) {
			return;
		}

		// Another new archive may have taken over meanwhile.
		listedAt = -Infinity;
		await refreshList();
		const silent = listed.filter(archive => isSilent(archive));
		// Where more do not answer than may be lost at once, this archive cannot tell who is cut off.
		const isPossible = isAllKnown(listed.filter(({id}) => silentSince.has(id)), required);
		if (silent.length > 0 && isPossible && await pass()) {
			for (const archive of silent) {
				await register(archive, 'left');
			}
		}

		nextPassAt = clock.now() + retryDelayMs;
	}

	async function step(isWatching: boolean): Promise<void> {
		await refreshList();
		const left = [...succeeded.values()];
		await Promise.all([...isWatching ? listed : [], ...left].map(async archive => probe(archive)));
		for (const archive of left.filter(({id}) => !silentSince.has(id))) {
			await register(archive, 'serving');
		}

		if (isWatching && !signal.aborted) {
			await takeOver();
		}
	}

	await refreshList();
	onEvent({kind: 'watching', archives: listed.length});
	while (!signal.aborted && (clock.now() < watchUntil || succeeded.size > 0)) {
		const isWatching = clock.now() < watchUntil;
		await step(isWatching);
		await clock.sleep(as<Milliseconds>(isWatching ? probeIntervalMs : returnIntervalMs), signal);
	}
}
