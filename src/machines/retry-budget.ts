/**
Retry budget: limits retries to a fraction of the calls, so that a failing pool is not overloaded by retries.
*/

const retriesPerCall = 0.2;
const maximumBalance = 20;
const initialBalance = 5;

export type RetryBudget = {
	/** Counts a first attempt. */
	readonly deposit: () => void;
	/** Takes one retry. Returns false if the budget is exhausted. */
	readonly withdraw: () => boolean;
};

/** Creates a budget that allows one retry for every five calls, and a few at the start. */
export function createRetryBudget(): RetryBudget {
	let balance = initialBalance;
	return {
		deposit() {
			balance = Math.min(maximumBalance, balance + retriesPerCall);
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
