/**
Account of a program's tokens, as instances exchange it: one slot for each instance that has granted tokens, and one for
what the store has recorded.
*/
import {
	as, type CounterId, type DataCentreId, type Milliseconds, type ProgramId, type Tokens,
} from './id.js';

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
};

/** Counter of the amount that is recorded in the store. */
export const storeCounter = as<CounterId>('store');

/** The part of an account that instances outside its home need: the home, the amount recorded in the store, and whether they may grant. */
export function withStoreSlotOnly(account: TokenAccount): TokenAccount {
	return {...account, isComplete: false, slots: account.slots.filter(slot => slot.counter === storeCounter)};
}
