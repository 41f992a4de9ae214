/**
Budgets. A program and its sub-agents spend from one budget: an amount is reserved before a call
starts and settled to the real amount afterwards, so that concurrent sub-agents cannot overspend.
*/
import {err, ok, type Result} from 'neverthrow';
import {type Failure, failure} from './failure.js';
import {as, type Milliseconds, type Tokens} from './id.js';

/** What a program and all of its sub-agents may spend together. */
export type Budget = {
	readonly tokens: Tokens;
	readonly calls: number;
	/** Longest time from open to close. */
	readonly duration: Milliseconds;
};

/** An amount of a budget. */
export type Spend = {
	readonly tokens: Tokens;
	readonly calls: number;
};

/** Running account of one budget. Amounts are in tokens and calls. */
export type Account = {
	readonly budget: Budget;
	readonly spent: () => Spend;
	readonly reserved: () => Spend;
	/** Sets an amount aside. Fails with `budget-exhausted` and changes nothing when it does not fit. */
	readonly reserve: (amount: Spend) => Result<void, Failure>;
	/** Replaces a reservation by what was really used. */
	readonly settle: (reservation: Spend, used: Spend) => void;
	/** Counts an amount that a journal records as used. */
	readonly restore: (used: Spend) => void;
};

const nothing: Spend = {tokens: as<Tokens>(0), calls: 0};

function add(left: Spend, right: Spend): Spend {
	return {tokens: as<Tokens>(left.tokens + right.tokens), calls: left.calls + right.calls};
}

function subtract(left: Spend, right: Spend): Spend {
	return {tokens: as<Tokens>(left.tokens - right.tokens), calls: left.calls - right.calls};
}

/** Opens an account with nothing spent. */
export function createAccount(budget: Budget): Account {
	let spent = nothing;
	let reserved = nothing;

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
