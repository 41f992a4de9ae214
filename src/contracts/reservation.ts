/**
Reservation of the tokens of a call before it is sent: the request, how much of a budget an instance may grant, and what its ledger decides.
*/
import {
	type AttemptId, type Milliseconds, type ProgramId, type Tokens,
} from './id.js';

export type ReservationRequest = {
	readonly program: ProgramId;
	readonly attempt: AttemptId;
	readonly budget: Tokens;
	/** Maximum number of tokens that the call may return. */
	readonly most: Tokens;
	/** Time for which the account of an inactive program is kept, because the program may resume. */
	readonly retention: Milliseconds;
};

/**
How much of a budget an instance may grant. Until all instances know that a program has reached the second half of
its budget, each side of a partition may grant half of the budget and half of a call, so that both sides together
overrun the budget by at most one call. Once all instances know, the home may grant the entire budget, and the other
data centres nothing.
*/
export type Entitlement = 'whole' | 'half';

export type LedgerDecision
	= | {readonly kind: 'granted'}
	/** Granted once the store has recorded that the program may have used `upTo` tokens. */
		| {readonly kind: 'record-first'; readonly upTo: Tokens}
		| {readonly kind: 'exhausted'; readonly used: Tokens}
	/** The budget covers the call, but this instance is not entitled to grant it. */
		| {readonly kind: 'withheld'};
