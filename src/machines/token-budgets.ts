/**
Budgets of programs as a relay asks for them: tokens are reserved at their most before a model call and
settled to what the caller was really handed.
*/
import {type ReservationRequest} from '../contracts/token-ledger.js';
import {type Milliseconds, type Tokens} from '../contracts/id.js';
import {type PromptLocation} from './prompt-locations.js';

export type GrantedReservation = {
	readonly kind: 'granted';
	/** Where the program's prompts are probably in memory. */
	readonly places: readonly PromptLocation[];
	/** Ends the reservation with the tokens that were handed out, and says where the prompt is now in memory. */
	readonly settle: (used: Tokens, place?: PromptLocation) => void;
};

export type Reservation
	= | GrantedReservation
		| {readonly kind: 'exhausted'}
	/** What the program has used cannot be known now. */
		| {readonly kind: 'unknown'; readonly retryAfter: Milliseconds};

export type TokenBudgets = {
	readonly reserve: (request: ReservationRequest) => Promise<Reservation>;
};
