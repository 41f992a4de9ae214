/**
Calls of a program: what a caller asks for, and the events that the answer consists of.
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

/** What is asked of a back end. Model calls may be repeated; service calls only where their route says so. */
export type Request
	= | {readonly kind: 'model'; readonly messages: readonly Message[]; readonly limit: Tokens}
		| {readonly kind: 'service'; readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE'; readonly path: string; readonly body: string};

/** A request as a step of a program. `turn`, when given, is the number of calls that the caller believes have gone before. */
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

/** Place in an answer: the stream that a caller was reading and the index of the next token it wants. */
export type Position = {
	readonly stream?: AttemptId;
	readonly index: number;
};

/** The start of any answer. */
export const answerStart: Position = {index: 0};

/** Parts of an answer in the order in which a caller receives them. Token indexes are dense and start at zero. */
export type CallEvent
	= | {readonly kind: 'token'; readonly stream: AttemptId; readonly index: number; readonly text: string}
		| {readonly kind: 'settled'; readonly outcome: Outcome}
	/** Nothing was recorded about the call; `failure` says what is known. */
		| {readonly kind: 'refused'; readonly failure: Failure};
