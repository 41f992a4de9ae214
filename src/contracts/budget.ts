/**
Budgets. A program and its sub-agents share one budget: an amount is reserved before a call starts and
settled to the actual usage afterwards, so that concurrent sub-agents cannot overspend.
*/
import {err, ok, type Result} from 'neverthrow';
import {type Failure, failure} from './failure.js';
import {as, type Milliseconds, type Tokens} from './id.js';

/** What a program and all of its sub-agents may spend together. */
export type Budget = {
	readonly tokens: Tokens;
	readonly calls: number;
	/** Maximum time for which the program may stay open. */
	readonly duration: Milliseconds;
};

/** An amount of a budget. */
export type Spend = {
	readonly tokens: Tokens;
	readonly calls: number;
};

/** Spent and reserved amounts of one budget, in tokens and calls. */
export type Account = {
	readonly budget: Budget;
	readonly spent: () => Spend;
	readonly reserved: () => Spend;
	/** Reserves an amount. Fails with `budget-exhausted` and changes nothing if the budget does not cover it. */
	readonly reserve: (amount: Spend) => Result<void, Failure>;
	/** Replaces a reservation by the amount that was actually used. */
	readonly settle: (reservation: Spend, used: Spend) => void;
	/** Adds an amount that the journal records as used. */
	readonly restore: (used: Spend) => void;
};

const nothingSpent: Spend = {tokens: as<Tokens>(0), calls: 0};

function add(left: Spend, right: Spend): Spend {
	return {tokens: as<Tokens>(left.tokens + right.tokens), calls: left.calls + right.calls};
}

function subtract(left: Spend, right: Spend): Spend {
	return {tokens: as<Tokens>(left.tokens - right.tokens), calls: left.calls - right.calls};
}

/** Creates an account with nothing spent or reserved. */
export function createAccount(budget: Budget): Account {
	let spent = nothingSpent;
	let reserved = nothingSpent;

	return {
		budget,
		spent: () => spent,
		reserved: () => reserved,
		reserve(amount) {
			const total = add(add(spent, reserved), amount);
			if (total.tokens > budget.tokens || total.calls > budget.calls) {
				const message = `Budget of ${budget.tokens} tokens and ${budget.calls} calls does not cover ${total.tokens} tokens and ${total.calls} calls`;
				return err(failure('budget-exhausted', message, {step: 'reserve', peer: 'home'}));
			}

			reserved = add(reserved, amount);
			return ok();
		},
		settle(reservation, used) {
			reserved = subtract(reserved, reservation);
			spent = add(spent, used);
		},
		restore(used) {
			spent = add(spent, used);
		},
	};
}
