/**
Decision which turns an archive copies from others when it repairs itself: those whose longest record neither it nor
enough others hold. Its own copy of any other turn is not needed to outlast the losses that the deployment tolerates.
*/
import {type HeldTurn, type ListedArchive} from '../../contracts/archive.js';
import {type AttemptId} from '../../contracts/id.js';
import {type CopyRequirement} from '../../contracts/tolerance.js';
import {type Extent, isUsedRecordId} from '../../contracts/turn.js';
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
	readonly extent: Extent;
	/** Archives that hold it. */
	readonly sources: readonly ListedArchive[];
	/** Those of them that count as holders: the record outlasts a loss of power there, and the archive stays. */
	readonly lasting: readonly ListedArchive[];
};

type Holding = HeldTurn & {readonly archive: ListedArchive};

/** Difference of the expiry of copies that were made together. */
const expirySlackMs = 5000;

/** The holdings that do not expire before others of the same record. */
function longestHeld(holdings: readonly Holding[]): readonly Holding[] {
	const longest = Math.max(...holdings.map(({remaining}) => remaining));
	return holdings.filter(({remaining}) => remaining >= longest - expirySlackMs);
}

function toHolders(turn: AttemptId, holdings: readonly Holding[]): TurnHolders {
	const extent = Math.max(...holdings.map(holding => holding.extent));
	const longest = holdings.filter(holding => holding.extent === extent);
	// An amount may be recorded again without a change, at other archives, which then hold it for longer.
	const current = isUsedRecordId(turn) ? longestHeld(longest) : longest;
	return {
		extent,
		sources: current.map(({archive}) => archive),
		lasting: current.filter(({isSynced, archive}) => isSynced && archive.state === 'serving').map(({archive}) => archive),
	};
}

/** Joins inventories: where the longest record of each turn is held. */
export function joinInventories(inventories: readonly Inventory[]): ReadonlyMap<AttemptId, TurnHolders> {
	const held = new Map<AttemptId, Holding[]>();
	for (const {archive, turns} of inventories) {
		for (const heldTurn of turns) {
			const holdings = held.get(heldTurn.turn) ?? [];
			holdings.push({...heldTurn, archive});
			held.set(heldTurn.turn, holdings);
		}
	}

	return new Map(Array.from(held, ([turn, holdings]) => [turn, toHolders(turn, holdings)]));
}

/** Finds the turns to copy. `ownExtent` tells what the archive itself holds synced. */
export function findMissingTurns(held: ReadonlyMap<AttemptId, TurnHolders>, ownExtent: (turn: AttemptId) => Extent | undefined, required: CopyRequirement): readonly MissingTurn[] {
	return [...held]
		.filter(([turn, {extent, lasting}]) => (ownExtent(turn) ?? -Infinity) < extent && !isEnough(lasting, required))
		.map(([turn, {extent, sources}]) => ({turn, extent, sources}));
}
