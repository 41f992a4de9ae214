/**
Calls of a program: the request of a caller, and the events that make up the answer.
*/
import {type Failure} from './failure.js';
import {
	type AttemptId, type CallId, type CustomerId, type IdempotencyKey, type Milliseconds, type ProgramId, type RouteName, type Tokens,
} from './id.js';
import {type Outcome} from './outcome.js';

/** One message of a conversation with a model. */
export type Message = {
	readonly role: 'system' | 'user' | 'assistant' | 'tool';
	readonly content: string;
};

/** Request to a back end. Model calls may be repeated; service calls only if their route allows it. */
export type Request
	= | {readonly kind: 'model'; readonly messages: readonly Message[]; readonly limit: Tokens}
		| {readonly kind: 'service'; readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE'; readonly path: string; readonly body: string};

/** A request as one step of a program. `turn`, if given, is the number of earlier calls that the caller expects the program to have. */
export type Call = {
	readonly id: CallId;
	readonly program: ProgramId;
	readonly customer: CustomerId;
	readonly route: RouteName;
	readonly key: IdempotencyKey;
	readonly request: Request;
	readonly timeout: Milliseconds;
	readonly turn?: number;
};

/** Position in an answer: the stream that the caller was reading, and the index of the next token to send. */
export type Position = {
	readonly stream?: AttemptId;
	readonly index: number;
};

/** Position at the start of any answer. */
export const answerStart: Position = {index: 0};

/** Events of an answer, in the order in which the caller receives them. Token indexes are consecutive and start at zero. */
export type CallEvent
	= | {readonly kind: 'token'; readonly stream: AttemptId; readonly index: number; readonly text: string}
		| {readonly kind: 'settled'; readonly outcome: Outcome}
	/** Nothing was recorded about the call; `failure` gives the reason. */
		| {readonly kind: 'refused'; readonly failure: Failure};
