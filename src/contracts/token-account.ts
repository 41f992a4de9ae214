/**
Account of a program's tokens, as instances exchange it: one slot for each instance that has granted tokens, and one for
what the store has recorded.
*/
import {
	as, type AttemptId, type CounterId, type DataCentreId, type Milliseconds, type ProgramId, type Tokens,
} from './id.js';

/** An attempt in progress, and the maximum number of tokens that it may return. */
export type OpenAttempt = readonly [attempt: AttemptId, most: Tokens];

/** Tokens that one instance has granted, or that the store has recorded. */
export type LedgerSlot = {
	readonly counter: CounterId;
	/** Data centre of the instance; undefined for the store's record. */
	readonly dataCentre?: DataCentreId | undefined;
	/** Increases with each change. */
	readonly version: number;
	/** Tokens of calls that have ended. */
	readonly settled: Tokens;
	/** Upper bound of the tokens of calls in progress. */
	readonly reserved: Tokens;
	/** The attempts that make up `reserved`; absent in a slot of an earlier build. */
	readonly open?: readonly OpenAttempt[] | undefined;
	/** Set if these are the tokens of a record that the instance wrote, which stand for its slot until that is known. */
	readonly isStandIn?: true | undefined;
};

/** Account of a program, as it is exchanged between instances. */
export type TokenAccount = {
	readonly program: ProgramId;
	/** Data centre in which the program was first seen; it alone may grant the entire budget. */
	readonly home?: DataCentreId | undefined;
	/** The home has reached the second half of the budget: no other data centre may grant any more. */
	readonly isSecondHalf: boolean;
	/**
	Whether the slots are all that was granted at home. Instances outside the home, and those at home that hold no replica,
	know only the home and the record, up to which others may have granted.
	*/
	readonly isComplete: boolean;
	/** Tokens that the store has recorded as used. */
	readonly recorded: Tokens;
	/** Wall-clock time at which that record expires. */
	readonly recordedUntil: Milliseconds;
	readonly retention: Milliseconds;
	readonly slots: readonly LedgerSlot[];
	/** Attempts that are over although instances may still have them reserved; absent if there are none. */
	readonly over?: readonly AttemptId[] | undefined;
};

/** Counter of the amount that is recorded in the store. */
export const storeCounter = as<CounterId>('store');

/** Tokens of calls in progress. An attempt that several instances have reserved counts once, and one that is over does not count. */
export function reservedTokens(slots: Iterable<LedgerSlot>, over: ReadonlySet<AttemptId>): number {
	const open = new Map<AttemptId, number>();
	let unnamed = 0;
	for (const slot of slots) {
		let named = 0;
		for (const [attempt, most] of slot.open ?? []) {
			named += most;
			open.set(attempt, Math.max(most, open.get(attempt) ?? 0));
		}

		unnamed += Math.max(0, slot.reserved - named);
	}

	let total = unnamed;
	for (const [attempt, most] of open) {
		total += over.has(attempt) ? 0 : most;
	}

	return total;
}

/** Tokens that the instances with these slots have granted, used and reserved. */
export function grantedBy(slots: readonly LedgerSlot[], over: ReadonlySet<AttemptId>): number {
	return slots.reduce((sum, {settled}) => sum + settled, reservedTokens(slots, over));
}

/** Whether the slot holds what the store has recorded, rather than what an instance has counted. */
export function isFromRecord({counter, isStandIn}: LedgerSlot): boolean {
	return counter === storeCounter || isStandIn === true;
}

/** The part of an account that instances outside its home need: the home, the amount recorded in the store, and whether they may grant. */
export function withStoreSlotOnly(account: TokenAccount): TokenAccount {
	return {
		...account, isComplete: false, slots: account.slots.filter(slot => isFromRecord(slot)), over: undefined,
	};
}
