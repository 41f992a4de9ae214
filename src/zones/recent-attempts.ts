/**
What was lately recorded of attempts, such as that an attempt was settled. A question to an instance that is late may be decided after the
instance that asked has given up, and a copy of it may arrive after the first one was answered, so a decision has to look here before it takes effect.
*/
import {type Clock} from '../contracts/clock.js';
import {type AttemptId, type Milliseconds} from '../contracts/id.js';

/** Time for which a question may be under way, in ms, after it was given up. */
const lateQuestionMs = 5000;

export type RecentAttempts<Value> = {
	readonly record: (attempt: AttemptId, value: Value) => void;
	readonly of: (attempt: AttemptId) => Value | undefined;
	/** Drops those whose questions cannot be under way any more. */
	readonly prune: () => void;
};

/** Creates an empty record. */
export function createRecentAttempts<Value>(clock: Clock): RecentAttempts<Value> {
	const values = new Map<AttemptId, {readonly value: Value; readonly at: Milliseconds}>();
	return {
		record(attempt, value) {
			values.set(attempt, {value, at: clock.now()});
		},
		of: attempt => values.get(attempt)?.value,
		prune() {
			for (const [attempt, {at}] of values) {
				if (clock.now() - at > lateQuestionMs) {
					values.delete(attempt);
				}
			}
		},
	};
}
