/**
Whether a store still holds all records of a kind that it ever acknowledged, or enough others hold them without it. After a loss it
does again once it has been repaired, or at the latest when everything that was lost would have expired.
*/
import {type Clock} from '../../contracts/clock.js';
import {type Milliseconds} from '../../contracts/id.js';

export type Completeness = {
	readonly isComplete: () => boolean;
	/** Returns whether the store has become complete by expiry since the last call. */
	readonly hasBecomeComplete: () => boolean;
	/** Ends the doubt, as what was lost is held again. */
	readonly restore: () => void;
};

export type CompletenessOptions = {
	/** Whether records may have been lost before now. */
	readonly hasLoss: boolean;
	/** Longest time for which a lost record may have had to be held. */
	readonly lifetime: () => Milliseconds;
	readonly clock: Clock;
};

/** Creates the completeness of a store that has just been read. */
export function createCompleteness({hasLoss, lifetime, clock}: CompletenessOptions): Completeness {
	let incompleteSince = hasLoss ? clock.now() : undefined;
	const isComplete = () => incompleteSince === undefined || clock.now() >= incompleteSince + lifetime();
	return {
		isComplete,
		hasBecomeComplete() {
			const hasBecome = incompleteSince !== undefined && isComplete();
			incompleteSince = hasBecome ? undefined : incompleteSince;
			return hasBecome;
		},
		restore() {
			incompleteSince = undefined;
		},
	};
}
