/**
Attempts: one request sent to one endpoint, what came of it, and whether another attempt may follow.
*/
import {type Failure} from './failure.js';
import {
	type AttemptId, type IdempotencyKey, type Milliseconds, type ProgramId, type RouteName,
} from './id.js';
import {type Message, type Request} from './call.js';
import {type Answer, type Outcome, outcomeOf} from './outcome.js';
import {type Endpoint} from './pool.js';

/** What leaves for an endpoint. */
export type Attempt = {
	readonly id: AttemptId;
	readonly program: ProgramId;
	readonly route: RouteName;
	readonly key: IdempotencyKey;
	readonly request: Request;
	readonly isRepeatable: boolean;
	/** The whole conversation for a model call, history included; empty for services. */
	readonly prompt: readonly Message[];
	/** Smaller is more urgent. */
	readonly priority: number;
	/** Tokens of the answer that an earlier attempt already produced; generation continues behind them. */
	readonly prefix: readonly string[];
};

/** What came of an attempt. */
export type AttemptResult
	= | {readonly kind: 'answered'; readonly answer: Answer}
	/** Certain that the request did not run, for example because no connection came about. */
		| {readonly kind: 'not-started'; readonly failure: Failure; readonly isLeaving: boolean}
	/** The endpoint ran the request and reported a failure of its own. */
		| {readonly kind: 'rejected'; readonly failure: Failure}
	/** Nothing came for much longer than usual, so the attempt was cancelled and paid for another. */
		| {readonly kind: 'stalled'; readonly failure: Failure}
	/** The connection broke after the request had left; it may have run. */
		| {readonly kind: 'broken'; readonly failure: Failure};

/** Sends attempts to endpoints; implemented by the links. */
export type Dispatch = {
	readonly send: (endpoint: Endpoint, attempt: Attempt, options: DispatchOptions) => Promise<AttemptResult>;
	/** Collects an answer that an earlier owner asked for, from its first token on. Only engines offer this. */
	readonly resume: (endpoint: Endpoint, attempt: AttemptId, options: DispatchOptions) => Promise<AttemptResult>;
	/** Drops what an engine holds for a program. Resolves to whether the engine confirmed. */
	readonly release: (endpoint: Endpoint, program: ProgramId) => Promise<boolean>;
	/** Programs that an engine holds memory for. */
	readonly cachedPrograms: (endpoint: Endpoint) => Promise<readonly ProgramId[] | undefined>;
	/** State that the endpoint reports of itself; undefined when it does not answer. */
	readonly probe: (endpoint: Endpoint) => Promise<'live' | 'leaving' | undefined>;
};

export type DispatchOptions = {
	readonly timeout: Milliseconds;
	readonly signal: AbortSignal;
	readonly onToken: (text: string, index: number) => void;
	/** Calls that the endpoint said it has, seen when its answer begins. */
	readonly onLoad: (total: number) => void;
};

export type NextStep
	= | {readonly kind: 'settle'; readonly outcome: Outcome}
		| {readonly kind: 'retry'; readonly failure: Failure};

/** What is known when an attempt has ended. */
export type RetryContext = {
	readonly isRepeatable: boolean;
	/** Whether the retry budget and the number of tries so far allow another attempt. */
	readonly mayRetry: boolean;
	/** Whether an earlier attempt of the same call may have run. */
	readonly mayHaveRun: boolean;
};

/** Decides what follows an attempt. */
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
