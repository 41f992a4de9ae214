/**
Whether a store still holds all records of a kind that it ever acknowledged. After a loss it does again once the lost ones would
have expired.
*/
import {type Clock} from '../../contracts/clock.js';
import {type Milliseconds} from '../../contracts/id.js';

export type Completeness = {
	readonly isComplete: () => boolean;
	/** Returns whether the store has become complete since the last call. */
	readonly hasBecomeComplete: () => boolean;
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
	};
}
