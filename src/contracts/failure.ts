/**
Failures as values. Each contains the step at which it occurred, the peer involved, what is known about
the execution of the request, and a log of what the request waited for.
*/
import {type Milliseconds} from './id.js';

/** What is known about the execution of a request that did not complete. */
export type ExecutionStatus = 'not-run' | 'failed' | 'unknown';

export type FailureCode
	= | 'invalid-request'
		| 'unauthenticated'
		| 'not-found'
		| 'conflict'
		| 'too-large'
		| 'budget-exhausted'
		| 'deadline-exceeded'
		| 'cancelled'
		| 'overloaded'
		| 'quarantined'
		| 'leaving'
		| 'not-owner'
		| 'no-endpoint'
		| 'endpoint-failed'
		| 'stream-lost'
		| 'outcome-unknown'
		| 'peer-unreachable'
		| 'platform-unavailable'
		| 'configuration-refused'
		| 'internal';

/** Stage of request processing at which a failure occurred. */
export type Step
	= | 'settings'
		| 'authenticate'
		| 'validate'
		| 'forward'
		| 'admit'
		| 'reserve'
		| 'place'
		| 'commit'
		| 'dispatch'
		| 'stream'
		| 'settle'
		| 'recover'
		| 'configure'
		| 'release';

export type Failure = {
	readonly code: FailureCode;
	readonly message: string;
	readonly step: Step;
	readonly peer: string;
	readonly execution: ExecutionStatus;
	readonly retryAfter?: Milliseconds;
	readonly log: readonly string[];
};

/** Where a failure occurred and what is known about the request; `execution` defaults to `not-run`. */
export type FailureContext = {
	readonly step: Step;
	readonly peer: string;
	readonly execution?: ExecutionStatus;
	readonly retryAfter?: Milliseconds;
	readonly log?: readonly string[];
};

/** Creates a failure; `execution` defaults to `not-run`, the log to an empty one. */
export function failure(code: FailureCode, message: string, context: FailureContext): Failure {
	return {
		code,
		message,
		step: context.step,
		peer: context.peer,
		execution: context.execution ?? 'not-run',
		...(context.retryAfter !== undefined && {retryAfter: context.retryAfter}),
		log: context.log ?? [],
	};
}

/** Describes a caught value in one line, including the message of its cause. */
export function describeError(error: unknown): string {
	if (error instanceof Error) {
		const cause = error.cause instanceof Error ? `: ${error.cause.message}` : '';
		return `${error.message}${cause}`;
	}

	return String(error);
}
