/**
Takeover of what archives hold that do not answer: every turn is copied until enough of those that answer hold it.
*/
import {type ArchiveCopyLink, type ArchiveRepairLink, type ListedArchive} from '../../contracts/archive.js';
import {type AttemptId, type InstanceId} from '../../contracts/id.js';
import {copiesFor, type Tolerance} from '../../contracts/tolerance.js';
import {isEnough, isProvenWithout} from '../../zones/conversations/copy-placement.js';
import {type Copy, createCopySpreading} from '../copy-spreading.js';
import {contentBytes} from '../turn-store/turn-encoding.js';
import {type TurnStore} from '../turn-store/turn-store.js';
import {walkInventories} from './inventory-walk.js';
import {findMissingTurns, joinInventories, type TurnHolders} from './missing-turns.js';
import {copyTurns} from './turn-copying.js';

/** Turns that are sent on together, and their bytes. */
const turnsPerGroup = 100;
const bytesPerGroup = 1024 * 1024;

export type TakeoverOptions = {
	readonly own: ListedArchive;
	readonly answering: readonly ListedArchive[];
	/** Archives that did not answer. */
	readonly silent: readonly ListedArchive[];
	readonly store: Pick<TurnStore, 'inventory' | 'keep' | 'read' | 'syncedExtent'>;
	readonly link: ArchiveRepairLink & ArchiveCopyLink;
	readonly tolerance: Tolerance;
	readonly onFailure: (archive: InstanceId, reason: string) => void;
};

export type TakeoverResult = {
	/** Turns copied to this archive, and copies sent on to others. */
	readonly copied: number;
	readonly spread: number;
	/** Turns that too few archives hold. */
	readonly remaining: number;
	readonly doubts: readonly InstanceId[];
	/** Whether the silent archives hold nothing that others need. */
	readonly isProven: boolean;
};

type ScarceTurn = {readonly turn: AttemptId; readonly holders: readonly ListedArchive[]};

/** Makes enough copies once. */
export async function takeOver(options: TakeoverOptions, signal: AbortSignal): Promise<TakeoverResult> {
	const {own, answering, store, link, tolerance} = options;
	const required = copiesFor(tolerance);
	const doubts = new Set(options.silent);
	const spreading = createCopySpreading({
		targets: answering.filter(({state}) => state === 'serving'),
		dataCentre: own.dataCentre,
		link,
		tolerance,
		onFailure: options.onFailure,
	});
	let copied = 0;
	let spread = 0;
	let remaining = 0;

	/** Sends copies on. Counts the turns that too few archives hold even so. */
	async function send(copies: readonly Copy[]): Promise<void> {
		spread += await spreading.spread(copies, signal);
		remaining += copies.filter(({holders}) => !isEnough(holders, required)).length;
	}

	async function spreadTurns(scarce: readonly ScarceTurn[]): Promise<void> {
		let group: Copy[] = [];
		let bytes = 0;
		for (const {turn, holders} of scarce) {
			const record = await store.read(turn);
			if (!record) {
				remaining++;
				continue;
			}

			const size = contentBytes(record.content);
			if (group.length >= turnsPerGroup || (group.length > 0 && bytes + size > bytesPerGroup)) {
				await send(group);
				group = [];
				bytes = 0;
			}

			group.push({record, chain: record.previous ?? record.turn, holders: [...holders]});
			bytes += size;
		}

		await send(group);
	}

	/** Archives that hold the longest record of a turn, with this one if it does by now. */
	function holdersOf(turn: AttemptId, {extent, lasting}: TurnHolders): readonly ListedArchive[] {
		const isOwn = (store.syncedExtent(turn) ?? -Infinity) >= extent && lasting.every(({id}) => id !== own.id);
		return isOwn ? [...lasting, own] : lasting;
	}

	const walk = walkInventories({
		archives: [own, ...answering],
		link: {
			inventory: async (address, after, timeout) => address === own.address ? store.inventory(after) : link.inventory(address, after, timeout),
		},
		onDoubt(archive) {
			doubts.add(archive);
		},
	});
	for await (const inventories of walk) {
		const held = joinInventories(inventories);
		const outcome = await copyTurns(findMissingTurns(held, store.syncedExtent, required), {link, store, signal});
		copied += outcome.held;
		await spreadTurns(Array.from(held, ([turn, holders]) => ({turn, holders: holdersOf(turn, holders)})).filter(({holders}) => !isEnough(holders, required)));
		if (signal.aborted) {
			break;
		}
	}

	return {
		copied, spread, remaining, doubts: [...doubts].map(({id}) => id), isProven: !signal.aborted && remaining === 0 && isProvenWithout([...doubts], required),
	};
}
