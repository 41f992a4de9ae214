/**
Rendezvous hashing: all instances that know the same items rank them identically for a key, and adding or
removing an item only moves the keys that it owns.
*/
import {hash} from 'node:crypto';

/** Number of bytes of the digest that are compared. */
const weightBytes = 6;

/** Weight of an item for a key; the item with the largest weight owns the key. */
function rendezvousWeight(item: string, key: string): number {
	return Number.parseInt(hash('sha1', `${item}|${key}`).slice(0, 2 * weightBytes), 16);
}

/** Items in the order in which they would own the key, the owner first. */
export function rankByRendezvous<Item>(items: readonly Item[], idOf: (item: Item) => string, key: string): readonly Item[] {
	return items
		.map(item => ({item, weight: rendezvousWeight(idOf(item), key)}))
		.toSorted((left, right) => right.weight - left.weight)
		.map(entry => entry.item);
}

/** The item that owns the key, or undefined if there are no items. */
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
