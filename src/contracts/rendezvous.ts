/**
Rendezvous hashing: everyone who knows the same items ranks them alike for a key, and an item that comes or
goes moves only what it owns.
*/
import {createHash} from 'node:crypto';

/** Bytes of the digest that are compared. */
const weightBytes = 6;

/** Weight of an item for a key; the largest owns it. */
function rendezvousWeight(item: string, key: string): number {
	return createHash('sha1').update(`${item}|${key}`).digest().readUIntBE(0, weightBytes);
}

/** Items in the order in which they would own the key. */
export function rankByRendezvous<Item>(items: readonly Item[], idOf: (item: Item) => string, key: string): readonly Item[] {
	return items
		.map(item => ({item, weight: rendezvousWeight(idOf(item), key)}))
		.toSorted((left, right) => right.weight - left.weight)
		.map(entry => entry.item);
}

/** The item that owns the key, or undefined when there is none. */
export function ownerByRendezvous<Item>(items: readonly Item[], idOf: (item: Item) => string, key: string): Item | undefined {
	let best: Item | undefined;
	let bestWeight = -1;
	for (const item of items) {
		const weight = rendezvousWeight(idOf(item), key);
		if (weight > bestWeight) {
			best = item;
			bestWeight = weight;
		}
	}

	return best;
}
