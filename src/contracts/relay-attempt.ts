/**
Attempts of relayed requests: the result of sending a request to one endpoint, and what to do next.
*/
import {type EndpointPath} from './endpoint-path.js';
import {type Milliseconds} from './id.js';
import {type ListedEndpoint, type Repetition} from './relay.js';
import {type EndpointNotice} from './endpoint-notice.js';
import {type RelayRequest, type AnswerHead, type StreamEvent} from './relay-request.js';
import {type WorkspaceName} from './workspace.js';

export type RelayResult
	/** A complete answer, whatever its status. */
	= | {readonly kind: 'answered'; readonly head: AnswerHead; readonly body: Uint8Array}
	/** The stream was completed; its head and its events were passed to `onHead` and `onEvent`. */
		| {readonly kind: 'finished'; readonly isUnframed?: boolean}
	/** The connection could not be established, so nothing was sent. `isPathAtFault` tells that this does not concern the endpoint. */
		| {readonly kind: 'unreachable'; readonly reason: string; readonly isPathAtFault?: boolean}
	/** The endpoint reported that it did not run the request. */
		| {readonly kind: 'rejected'; readonly status: number}
	/** A different back end answered at this address; nothing ran. */
		| {readonly kind: 'misdirected'}
	/** The connection broke or returned something other than the answer; the request may have run. */
		| {readonly kind: 'broken'; readonly reason: string}
	/** A response timeout of the attempt elapsed; the request may still be running. */
		| {readonly kind: 'silent'}
	/** The deadline of the request has passed. */
		| {readonly kind: 'expired'}
	/** The caller disconnected. */
		| {readonly kind: 'cancelled'};

/** One request to one endpoint. */
export type RelayAttempt = {
	readonly request: RelayRequest;
	readonly endpoint: ListedEndpoint;
	readonly path: EndpointPath;
	readonly isStream: boolean;
	/** The workspace that the endpoint is told the request belongs to; undefined if it is not told any. */
	readonly workspace: WorkspaceName | undefined;
	readonly timeLeft: Milliseconds;
	/** Zero is the most urgent. */
	readonly urgency: number;
	/** Id of the event after which the stream continues. */
	readonly resumeAfter: number | undefined;
	/** Maximum time for which a pooled connection may have been idle to be used for this request; zero opens a new one. */
	readonly maximumIdle: Milliseconds;
	/** Time without data that ends the attempt: before the first byte of the answer, and after it. */
	readonly responseTimeouts: {readonly first: Milliseconds; readonly next: Milliseconds};
	/** Called with what the response says about the endpoint, before its body is read. */
	readonly onNotice: (notice: EndpointNotice) => void;
	readonly onHead: (head: AnswerHead) => void;
	readonly onEvent: (event: StreamEvent) => void;
	/** Aborts if the path has stopped responding, which ends the attempt as silent. */
	readonly pathLost?: AbortSignal | undefined;
	readonly signal: AbortSignal;
};

/** Sends attempts; implemented by a link. The promise never rejects. */
export type RelayLink = {
	readonly send: (attempt: RelayAttempt) => Promise<RelayResult>;
	/** Whether the endpoint accepts a connection, over which nothing is sent. */
	readonly canConnect: (endpoint: ListedEndpoint) => Promise<boolean>;
};

/** What is known about a request when one of its attempts has ended. */
export type RelayProgress = {
	readonly repetition: Repetition;
	/** Number of endpoints that may have run the request, including the last one, but not those known to have terminated. */
	readonly endpointsUsed: number;
	readonly maxEndpoints: number;
	/** Number of attempts so far that may have run. */
	readonly runs: number;
	/** Whether the head of a stream was sent to the caller, after which only its events may follow. */
	readonly hasSentHead: boolean;
	/** Whether the response to the caller ends with its connection, like that of an endpoint. */
	readonly isUnframed: boolean;
};

/** Maximum number of attempts that may run for one request, on all endpoints together. */
const maximumRuns = 4;

const serverError = 500;

export type RelayStep
	= | {readonly kind: 'deliver'}
	/** Send the request to another endpoint. */
		| {readonly kind: 'elsewhere'}
	/** Send the request to the same endpoint again, because no other endpoint may or should run it. */
		| {readonly kind: 'same'}
		| {readonly kind: 'give-up'};

function stepAfterPossibleRun(progress: RelayProgress): RelayStep {
	if (progress.runs >= maximumRuns) {
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
			// The endpoint that ran the request has its prompt cached.
			return {kind: 'same'};
		}
	}
}

/** Decides what to do after an attempt. */
export function nextRelayStep(result: RelayResult, progress: RelayProgress): RelayStep {
	switch (result.kind) {
		case 'answered': {
			if (progress.hasSentHead) {
				return stepAfterPossibleRun(progress);
			}

			const mayRepeat = progress.repetition === 'repeatable' && progress.endpointsUsed < progress.maxEndpoints;
			return result.head.status >= serverError && mayRepeat ? {kind: 'elsewhere'} : {kind: 'deliver'};
		}

		case 'finished': {
			// Without a head there is nothing that proves which endpoint answered.
			const mayBeIncomplete = result.isUnframed === true && !progress.isUnframed;
			return progress.hasSentHead && !mayBeIncomplete ? {kind: 'deliver'} : stepAfterPossibleRun(progress);
		}

		case 'unreachable': {
			return {kind: result.isPathAtFault ? 'same' : 'elsewhere'};
		}

		case 'rejected':
		case 'misdirected': {
			return {kind: 'elsewhere'};
		}

		case 'broken':
		case 'silent': {
			return stepAfterPossibleRun(progress);
		}

		case 'expired':
		case 'cancelled': {
			return {kind: 'give-up'};
		}
	}
}
