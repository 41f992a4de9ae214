/**
Attempts: one request sent to one endpoint, its result, and whether another attempt may follow.
*/
import {type EndpointNotice} from './endpoint-notice.js';
import {type Failure} from './failure.js';
import {
	type AttemptId, type IdempotencyKey, type Milliseconds, type ProgramId, type RouteName,
} from './id.js';
import {type Message, type Request} from './call.js';
import {type Answer, type Outcome, outcomeOf} from './outcome.js';
import {type Endpoint} from './pool.js';

/** A request as it is sent to an endpoint. */
export type Attempt = {
	readonly id: AttemptId;
	readonly program: ProgramId;
	readonly route: RouteName;
	readonly key: IdempotencyKey;
	readonly request: Request;
	readonly isRepeatable: boolean;
	/** The complete conversation of a model call, including the history; empty for services. */
	readonly prompt: readonly Message[];
	/** A smaller number is more urgent. */
	readonly priority: number;
	/** Tokens of the answer that earlier attempts have already produced; generation continues after them. */
	readonly prefix: readonly string[];
};

/** Result of an attempt. */
export type AttemptResult
	= | {readonly kind: 'answered'; readonly answer: Answer}
	/** It is certain that the request did not run, for example because the connection could not be established. */
		| {readonly kind: 'not-started'; readonly failure: Failure; readonly isLeaving: boolean}
	/** The endpoint ran the request and reported a failure. */
		| {readonly kind: 'rejected'; readonly failure: Failure}
	/** No data arrived for much longer than usual, so the attempt was cancelled; the next one is already charged to the retry budget. */
		| {readonly kind: 'stalled'; readonly failure: Failure}
	/** The connection broke after the request was sent; the request may have run. */
		| {readonly kind: 'broken'; readonly failure: Failure};

/** Sends attempts to endpoints; implemented by the links. */
export type Dispatch = {
	readonly send: (endpoint: Endpoint, attempt: Attempt, options: DispatchOptions) => Promise<AttemptResult>;
	/** Reads an answer that a previous owner of the shard requested, starting at its first token. Only engines support this. */
	readonly resume: (endpoint: Endpoint, attempt: AttemptId, options: DispatchOptions) => Promise<AttemptResult>;
	/** Releases the memory that an engine uses for a program. Resolves to whether the engine confirmed. */
	readonly release: (endpoint: Endpoint, program: ProgramId) => Promise<boolean>;
	/** Programs whose prompts an engine has cached; undefined if it does not respond. */
	readonly cachedPrograms: (endpoint: Endpoint) => Promise<readonly ProgramId[] | undefined>;
	/** State that the endpoint reports for itself; undefined if it does not respond. */
	readonly probe: (endpoint: Endpoint) => Promise<'live' | 'leaving' | undefined>;
};

export type DispatchOptions = {
	readonly timeout: Milliseconds;
	readonly signal: AbortSignal;
	readonly onToken: (text: string, index: number) => void;
	/** Called with what the response says about the endpoint, before its body is read. */
	readonly onNotice: (notice: EndpointNotice) => void;
};

export type NextStep
	= | {readonly kind: 'settle'; readonly outcome: Outcome}
		| {readonly kind: 'retry'; readonly failure: Failure};

/** What is known about a call when one of its attempts has ended. */
export type RetryContext = {
	readonly isRepeatable: boolean;
	/** Whether the retry budget and the number of attempts so far allow another attempt. */
	readonly mayRetry: boolean;
	/** Whether an earlier attempt of the same call may have run. */
	readonly mayHaveRun: boolean;
};

/** Decides whether to settle the call or to retry it after an attempt. */
export function nextStep(result: AttemptResult, context: RetryContext): NextStep {
	switch (result.kind) {
		case 'answered': {
			return {kind: 'settle', outcome: {kind: 'completed', answer: result.answer}};
		}

		case 'not-started': {
			if (context.mayRetry) {
				return {kind: 'retry', failure: result.failure};
			}

			return {kind: 'settle', outcome: outcomeOf({...result.failure, execution: context.mayHaveRun ? 'failed' : 'not-run'})};
		}

		case 'stalled': {
			return {kind: 'retry', failure: result.failure};
		}

		case 'rejected': {
			return {kind: 'settle', outcome: outcomeOf({...result.failure, execution: 'failed'})};
		}

		case 'broken': {
			if (context.isRepeatable && context.mayRetry) {
				return {kind: 'retry', failure: result.failure};
			}

			return {kind: 'settle', outcome: outcomeOf({...result.failure, execution: context.isRepeatable ? 'failed' : 'unknown'})};
		}
	}
}
