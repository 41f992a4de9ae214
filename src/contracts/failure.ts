/**
Failures as values. Each carries the step at which it arose, the peer that was being talked to,
what is known about the execution of the request, and a log of what was waited for.
*/
import {type Milliseconds} from './id.js';

/** What a caller can conclude about the execution of a request that did not complete. */
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

/** The stage of a request's way through the system. */
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

/** Where a failure arose and what followed from it; `execution` is `not-run` unless stated. */
export type FailureContext = {
	readonly step: Step;
	readonly peer: string;
	readonly execution?: ExecutionStatus;
	readonly retryAfter?: Milliseconds;
	readonly log?: readonly string[];
};

/** Builds a failure. */
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

/** Describes a caught value in one line. */
export function describeError(error: unknown): string {
	if (error instanceof Error) {
		const cause = error.cause instanceof Error ? `: ${error.cause.message}` : '';
		return `${error.message}${cause}`;
	}

	return String(error);
}
