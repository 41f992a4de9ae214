/**
Settlements that have arrived lately. A question to an instance that is late may be decided after the instance that asked has given up and
settled it, so a decision has to look here before it takes effect.
*/
import {type Clock} from '../contracts/clock.js';
import {type AttemptId, type Milliseconds} from '../contracts/id.js';

/** Time for which a question may be under way, in ms, after it was given up. */
const lateQuestionMs = 5000;

export type RecentSettlements<Settlement> = {
	readonly record: (attempt: AttemptId, settlement: Settlement) => void;
	readonly of: (attempt: AttemptId) => Settlement | undefined;
	/** Drops those whose questions cannot be under way any more. */
	readonly prune: () => void;
};

/** Creates an empty record. */
export function createRecentSettlements<Settlement>(clock: Clock): RecentSettlements<Settlement> {
	const settlements = new Map<AttemptId, {readonly settlement: Settlement; readonly at: Milliseconds}>();
	return {
		record(attempt, settlement) {
			settlements.set(attempt, {settlement, at: clock.now()});
		},
		of: attempt => settlements.get(attempt)?.settlement,
		prune() {
			for (const [attempt, {at}] of settlements) {
				if (clock.now() - at > lateQuestionMs) {
					settlements.delete(attempt);
				}
			}
		},
	};
}
