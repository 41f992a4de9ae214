/**
Outcomes of a call. Exactly one of four is recorded for each call, and a recorded outcome never changes.
*/
import {type Failure} from './failure.js';
import {type Tokens} from './id.js';

/** What an endpoint answered. */
export type Answer
	= | {readonly kind: 'message'; readonly tokens: readonly string[]; readonly finish: 'stop' | 'length'; readonly usage: Usage}
		| {readonly kind: 'response'; readonly status: number; readonly body: string};

/** Tokens that a model call consumed; `cached` is the part of the prompt found in engine memory. */
export type Usage = {
	readonly prompt: Tokens;
	readonly cached: Tokens;
	readonly completion: Tokens;
};

/**
- `completed`: the endpoint gave its whole answer.
- `failed`: an attempt ran and did not complete.
- `not-run`: certain that no attempt reached an endpoint.
- `unknown`: an attempt may have run; it is never repeated by the system.
*/
export type Outcome
	= | {readonly kind: 'completed'; readonly answer: Answer}
		| {readonly kind: 'failed'; readonly failure: Failure}
		| {readonly kind: 'not-run'; readonly failure: Failure}
		| {readonly kind: 'unknown'; readonly failure: Failure};

/** The outcome that a failure stands for. */
export function outcomeOf(failure: Failure): Outcome {
	return {kind: failure.execution, failure};
}
