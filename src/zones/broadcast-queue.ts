/**
Queue of updates that are piggybacked on gossip messages, each a bounded number of times.
*/

/** Messages to which each instance attaches an item before it drops the item. */
const transmissionsPerItem = 12;

export type BroadcastQueue<Key, Value> = {
	/** Queues an item ahead of those already sent, replacing an older one with the same key. */
	readonly put: (key: Key, value: Value) => void;
	/** Items to attach to the next message, least often sent first. */
	readonly take: (limit: number) => Value[];
};

/** Creates an empty queue. */
export function createBroadcastQueue<Key, Value>(): BroadcastQueue<Key, Value> {
	const items = new Map<Key, {readonly value: Value; remaining: number}>();
	return {
		put(key, value) {
			items.set(key, {value, remaining: transmissionsPerItem});
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
