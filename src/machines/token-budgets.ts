/**
Budgets of programs as a relay asks for them: tokens are reserved at their most before a model call and
settled to what the caller was really handed.
*/
import {type ReservationRequest} from '../contracts/token-ledger.js';
import {type Milliseconds, type Tokens} from '../contracts/id.js';

export type Reservation
	= | {
		readonly kind: 'granted';
		/** Ends the reservation with the tokens that were handed out. */
		readonly settle: (used: Tokens) => void;
	}
	| {readonly kind: 'exhausted'}
	/** What the program has used cannot be known now. */
	| {readonly kind: 'unknown'; readonly retryAfter: Milliseconds};

export type TokenBudgets = {
	readonly reserve: (request: ReservationRequest) => Promise<Reservation>;
};
