/**
Broadcast queue: news that travels on gossip messages, each item a bounded number of times.
*/

/** How often one item is passed on by each instance. */
const transmissions = 12;

export type BroadcastQueue<Key, Value> = {
	/** Puts an item at the front; it replaces an older one with the same key. */
	readonly put: (key: Key, value: Value) => void;
	/** The items to attach to the next message, the least often sent first. */
	readonly take: (limit: number) => Value[];
};

/** Creates an empty queue. */
export function createBroadcastQueue<Key, Value>(): BroadcastQueue<Key, Value> {
	const items = new Map<Key, {readonly value: Value; remaining: number}>();
	return {
		put(key, value) {
			items.set(key, {value, remaining: transmissions});
		},
		take(limit) {
			const chosen = [...items].toSorted(([, left], [, right]) => right.remaining - left.remaining).slice(0, limit);
			for (const [key, item] of chosen) {
				item.remaining--;
				if (item.remaining === 0) {
					items.delete(key);
				}
			}

			return chosen.map(([, item]) => item.value);
		},
	};
}
