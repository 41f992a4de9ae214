/**
Budgets of programs as a relay asks for them: tokens are reserved at their most before a model call and
settled to what the caller was really handed.
*/
import {
	type AttemptId, type Milliseconds, type ProgramId, type Tokens,
} from '../contracts/id.js';

export type Reservation
	= | {
		readonly kind: 'granted';
		/** Ends the reservation with the tokens that were handed out. Only the first call counts. */
		readonly settle: (used: Tokens) => void;
	}
	| {readonly kind: 'exhausted'}
	/** What the program has used cannot be known now. */
	| {readonly kind: 'unknown'; readonly retryAfter: Milliseconds};

export type ReservationRequest = {
	readonly program: ProgramId;
	readonly attempt: AttemptId;
	readonly budget: Tokens;
	readonly most: Tokens;
	readonly retention: Milliseconds;
};

export type TokenBudgets = {
	readonly reserve: (request: ReservationRequest) => Promise<Reservation>;
};
