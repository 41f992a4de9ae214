/**
Attempts of relayed requests: what one endpoint made of a request, and what follows.
*/
import {type Milliseconds} from './id.js';
import {type ListedEndpoint, type Repetition} from './relay.js';
import {type RelayRequest, type ReplyHead, type StreamEvent} from './relay-request.js';

export type RelayResult
	/** A whole answer, whatever its status. */
	= | {readonly kind: 'answered'; readonly head: ReplyHead; readonly body: Uint8Array}
	/** A stream came to its end. */
		| {readonly kind: 'finished'}
	/** No connection came about, so nothing was sent. */
		| {readonly kind: 'unreachable'; readonly reason: string}
	/** The endpoint says that it did not run the request. */
		| {readonly kind: 'rejected'; readonly status: number}
	/** Another back end answers at this address; nothing ran. */
		| {readonly kind: 'misdirected'}
	/** The connection broke or carried something else than the answer; the request may have run. */
		| {readonly kind: 'broken'; readonly reason: string}
	/** Nothing came for longer than the patience of the attempt; the request may still run. */
		| {readonly kind: 'silent'}
	/** The time of the request is over. */
		| {readonly kind: 'expired'}
	/** The caller went away. */
		| {readonly kind: 'cancelled'};

/** One request to one endpoint. */
export type RelayAttempt = {
	readonly request: RelayRequest;
	readonly endpoint: ListedEndpoint;
	readonly isStream: boolean;
	readonly timeLeft: Milliseconds;
	/** Zero is the most urgent. */
	readonly urgency: number;
	/** Id of the event to go on behind. */
	readonly resumeAfter: number | undefined;
	/** Longest time for which a kept connection may have been idle to carry this request. */
	readonly maximumIdle: Milliseconds;
	/** Silence that ends the attempt before the first byte of the answer, and after it. */
	readonly responseTimeouts: {readonly first: Milliseconds; readonly next: Milliseconds};
	readonly onHead: (head: ReplyHead) => void;
	readonly onEvent: (event: StreamEvent) => void;
	readonly signal: AbortSignal;
};

/** Sends attempts; implemented by a link. Never rejects. */
export type RelayLink = {
	readonly send: (attempt: RelayAttempt) => Promise<RelayResult>;
};

/** What is known about a request when one of its attempts has ended. */
export type RelayProgress = {
	readonly repetition: Repetition;
	/** Endpoints that may have run it, this one included, without those that are known to have ended. */
	readonly endpointsUsed: number;
	readonly maxEndpoints: number;
	/** Attempts so far that may have run. */
	readonly runs: number;
};

/** Attempts that may run for one request, on whatever endpoint. */
const mostRuns = 4;

const serverError = 500;

export type RelayStep
	= | {readonly kind: 'deliver'}
	/** Send it to another endpoint. */
		| {readonly kind: 'elsewhere'}
	/** Send it to the same endpoint again, because no further endpoint may run it. */
		| {readonly kind: 'same'}
		| {readonly kind: 'give-up'};

function afterDoubt(progress: RelayProgress): RelayStep {
	if (progress.runs >= mostRuns) {
		return {kind: 'give-up'};
	}

	switch (progress.repetition) {
		case 'once': {
			return {kind: 'give-up'};
		}

		case 'repeatable': {
			return progress.endpointsUsed < progress.maxEndpoints ? {kind: 'elsewhere'} : {kind: 'same'};
		}

		case 'resumable': {
			// Its prompt is in the memory of the endpoint that it ran on.
			return {kind: 'same'};
		}
	}
}

/** Decides what follows an attempt. */
export function nextRelayStep(result: RelayResult, progress: RelayProgress): RelayStep {
	switch (result.kind) {
		case 'answered': {
			const mayRepeat = progress.repetition === 'repeatable' && progress.endpointsUsed < progress.maxEndpoints;
			return result.head.status >= serverError && mayRepeat ? {kind: 'elsewhere'} : {kind: 'deliver'};
		}

		case 'finished': {
			return {kind: 'deliver'};
		}

		case 'unreachable':
		case 'rejected':
		case 'misdirected': {
			return {kind: 'elsewhere'};
		}

		case 'broken':
		case 'silent': {
			return afterDoubt(progress);
		}

		case 'expired':
		case 'cancelled': {
			return {kind: 'give-up'};
		}
	}
}
