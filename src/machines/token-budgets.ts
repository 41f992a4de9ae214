/**
Budgets of programs as used by the relay: the maximum number of tokens is reserved before a model call, and
settled to the number that the caller actually received.
*/
import {type ReservationRequest} from '../contracts/reservation.js';
import {type Milliseconds, type Tokens} from '../contracts/id.js';
import {type PromptLocation} from './prompt-locations.js';

export type GrantedReservation = {
	readonly kind: 'granted';
	/** Endpoints that have probably cached the program's prompts. */
	readonly places: readonly PromptLocation[];
	/** Ends the reservation with the tokens that the caller received, and records where the prompt is now cached. */
	readonly settle: (used: Tokens, place?: PromptLocation) => void;
};

export type Reservation
	= | GrantedReservation
		| {readonly kind: 'exhausted'}
	/** The program's usage cannot be determined at present. */
		| {readonly kind: 'unknown'; readonly retryAfter: Milliseconds};

export type TokenBudgets = {
	readonly reserve: (request: ReservationRequest) => Promise<Reservation>;
};
