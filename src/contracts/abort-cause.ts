/**
Why a call is aborted: carried by the reason of its abort signal, so that whoever ends the call reports the cause
without reading error messages.
*/
import {type FailureCode} from './failure.js';

export type AbortCause = Extract<FailureCode, 'deadline-exceeded' | 'cancelled'>;

const causes = new WeakMap<Error, AbortCause>();

/** Creates the reason for an abort. */
export function abortReason(cause: AbortCause, message: string): Error {
	const reason = new Error(message);
	causes.set(reason, cause);
	return reason;
}

/** Cause of an abort; `cancelled` for reasons that were not created here, such as the shutdown of the process. */
export function causeOfAbort(reason: unknown): AbortCause {
	return (reason instanceof Error ? causes.get(reason) : undefined) ?? 'cancelled';
}
