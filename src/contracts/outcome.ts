/**
Outcomes of a call. Exactly one of the four kinds is recorded for each call, and a recorded outcome never changes.
*/
import {type Failure} from './failure.js';
import {type Tokens} from './id.js';

/** Answer of an endpoint: a message of a model or the response of a service. */
export type Answer
	= | {readonly kind: 'message'; readonly tokens: readonly string[]; readonly finish: 'stop' | 'length'; readonly usage: Usage}
		| {readonly kind: 'response'; readonly status: number; readonly body: string};

/** Tokens that a model call consumed; `cached` is the part of the prompt that the engine had cached. */
export type Usage = {
	readonly prompt: Tokens;
	readonly cached: Tokens;
	readonly completion: Tokens;
};

/**
- `completed`: the endpoint returned its complete answer.
- `failed`: an attempt ran and did not complete.
- `not-run`: it is certain that no attempt reached an endpoint.
- `unknown`: an attempt may have run; the system never repeats the call.
*/
export type Outcome
	= | {readonly kind: 'completed'; readonly answer: Answer}
		| {readonly kind: 'failed'; readonly failure: Failure}
		| {readonly kind: 'not-run'; readonly failure: Failure}
		| {readonly kind: 'unknown'; readonly failure: Failure};

/** Converts a failure into the outcome of its call. */
export function outcomeOf(failure: Failure): Outcome {
	return {kind: failure.execution, failure};
}
