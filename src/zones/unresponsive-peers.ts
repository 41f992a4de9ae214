/**
Peers that recently failed to reply, so that requests skip them instead of waiting for a timeout each time.
*/
import {type Clock} from '../contracts/clock.js';
import {as, type Milliseconds} from '../contracts/id.js';

/** Time for which a peer that did not reply is skipped. */
const skipMs = 1500;

export type UnresponsivePeers<Id> = {
	/** Adds a peer that did not reply. */
	readonly add: (id: Id) => void;
	/** Whether the peer is to be skipped now. */
	readonly has: (id: Id) => boolean;
};

/** Creates an empty set of unresponsive peers. */
export function createUnresponsivePeers<Id>(clock: Clock): UnresponsivePeers<Id> {
	const skippedUntil = new Map<Id, Milliseconds>();
	return {
		add(id) {
			skippedUntil.set(id, as<Milliseconds>(clock.now() + skipMs));
		},
		has(id) {
			const end = skippedUntil.get(id);
			if (end !== undefined && end <= clock.now()) {
				skippedUntil.delete(id);
			}

			return skippedUntil.has(id);
		},
	};
}
