/**
Decision which turns an archive copies from others when it repairs itself: those whose longest record neither it nor
enough others hold. Its own copy of any other turn is not needed to outlast the losses that the deployment tolerates.
*/
import {type HeldTurn, type ListedArchive} from '../../contracts/archive.js';
import {type AttemptId} from '../../contracts/id.js';
import {type CopyRequirement} from '../../contracts/tolerance.js';
import {type Extent} from '../../contracts/turn.js';
import {isEnough} from '../../zones/conversations/copy-placement.js';

/** What another archive told of the turns that it holds. */
export type Inventory = {readonly archive: ListedArchive; readonly turns: readonly HeldTurn[]};

export type MissingTurn = {
	readonly turn: AttemptId;
	/** Extent of the longest record. */
	readonly extent: Extent;
	/** Archives that hold it. */
	readonly sources: readonly ListedArchive[];
};

export type TurnHolders = {
	/** Extent of the longest record. */
	extent: Extent;
	/** Archives that hold it. */
	sources: ListedArchive[];
	/** Those of them whose record outlasts a loss of power. */
	lasting: ListedArchive[];
};

/** Joins inventories: where the longest record of each turn is held. */
export function joinInventories(inventories: readonly Inventory[]): ReadonlyMap<AttemptId, TurnHolders> {
	const held = new Map<AttemptId, TurnHolders>();
	for (const {archive, turns} of inventories) {
		for (const {turn, extent, isSynced} of turns) {
			const known = held.get(turn);
			const lasting = isSynced ? [archive] : [];
			if (!known || extent > known.extent) {
				held.set(turn, {extent, sources: [archive], lasting});
			} else if (extent === known.extent) {
				known.sources.push(archive);
				known.lasting.push(...lasting);
			}
		}
	}

	return held;
}

/** Finds the turns to copy. `ownExtent` tells what the archive itself holds synced. */
export function findMissingTurns(held: ReadonlyMap<AttemptId, TurnHolders>, ownExtent: (turn: AttemptId) => Extent | undefined, required: CopyRequirement): readonly MissingTurn[] {
	return [...held]
		.filter(([turn, {extent, lasting}]) => (ownExtent(turn) ?? -Infinity) < extent && !isEnough(lasting, required))
		.map(([turn, {extent, sources}]) => ({turn, extent, sources}));
}
