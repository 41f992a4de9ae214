/**
Peers that did not answer lately, so that nobody waits for them again and again.
*/
import {type Clock} from '../contracts/clock.js';
import {as, type Milliseconds} from '../contracts/id.js';

/** Time for which a peer that did not answer is passed over. */
const unansweredMs = 1500;

export type Silence<Id> = {
	/** The peer did not answer. */
	readonly note: (id: Id) => void;
	/** Whether it is to be passed over now. */
	readonly has: (id: Id) => boolean;
};

/** Creates an empty set of silent peers. */
export function createSilence<Id>(clock: Clock): Silence<Id> {
	const until = new Map<Id, Milliseconds>();
	return {
		note(id) {
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
