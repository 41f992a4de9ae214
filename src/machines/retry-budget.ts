/**
Retry budget: retries may be at most a share of the calls, so that a failing pool is not buried
under its own repetitions.
*/

const retriesPerCall = 0.2;
const largestBalance = 20;
const firstBalance = 5;

export type RetryBudget = {
	/** Counts a first attempt. */
	readonly deposit: () => void;
	/** Takes one retry. Returns false when the budget is used up. */
	readonly withdraw: () => boolean;
};

/** Creates a budget that allows one retry for every five calls, and a few to begin with. */
export function createRetryBudget(): RetryBudget {
	let balance = firstBalance;
	return {
		deposit() {
			balance = Math.min(largestBalance, balance + retriesPerCall);
		},
		withdraw() {
			if (balance < 1) {
				return false;
			}

			balance--;
			return true;
		},
	};
}
