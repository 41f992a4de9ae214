/**
Peers that did not answer lately, so that nobody waits for them again and again.
*/
import {type Clock} from '../contracts/clock.js';
import {as, type Milliseconds} from '../contracts/id.js';

/** Time for which a peer that did not answer is passed over. */
const unansweredMs = 1500;

export type UnresponsivePeers<Id> = {
	/** The peer did not answer. */
	readonly add: (id: Id) => void;
	/** Whether it is to be passed over now. */
	readonly has: (id: Id) => boolean;
};

/** Creates an empty set of silent peers. */
export function createUnresponsivePeers<Id>(clock: Clock): UnresponsivePeers<Id> {
	const until = new Map<Id, Milliseconds>();
	return {
		add(id) {
			until.set(id, as<Milliseconds>(clock.now() + unansweredMs));
		},
		has(id) {
			const end = until.get(id);
			if (end !== undefined && end <= clock.now()) {
				until.delete(id);
			}

			return until.has(id);
		},
	};
}
