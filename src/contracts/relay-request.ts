/**
A relayed request: the fields that the system reads. Headers and body are forwarded without being parsed.
*/
import {
	type AttemptId, type Milliseconds, type ProgramId, type PromptPartId, type Tokens,
} from './id.js';
import {type KeyDigest} from './workspace.js';

/** Alternating names and values, as received. */
export type HeaderPairs = readonly string[];

/** A part of a prompt. Requests whose prompts contain the same part id begin with the same tokens. */
export type PromptPart = {
	readonly id: PromptPartId;
	readonly tokens: Tokens;
};

/** The program that a request belongs to, as stated by the request. */
export type ProgramContext = {
	readonly id: ProgramId;
	/** Time left until the program should be finished. */
	readonly timeLeft: Milliseconds | undefined;
	/** Tokens that all model calls of the program may generate; undefined for calls that generate none. */
	readonly budget: Tokens | undefined;
};

export type RelayRequest = {
	/** The caller's id of this attempt; endpoints echo it. */
	readonly attempt: AttemptId;
	readonly method: string;
	readonly host: string;
	/** Path with its query, as received. */
	readonly target: string;
	readonly headers: HeaderPairs;
	readonly body: Uint8Array;
	/** Digest of the caller's key; undefined if the caller sent none, or the deployment has no workspaces. */
	readonly key: KeyDigest | undefined;
	/** Time for which the caller will still wait. */
	readonly timeLeft: Milliseconds | undefined;
	readonly program: ProgramContext | undefined;
	readonly prompt: readonly PromptPart[];
	/** Maximum number of tokens in the answer. */
	readonly maximumAnswerTokens: Tokens;
	/** Id of the last stream event that the caller has received. */
	readonly lastEvent: number | undefined;
	/** The caller's attempt that received the first event of the stream which this one resumes. */
	readonly firstAttempt: AttemptId | undefined;
	/** The turn that this one continues: the caller's attempt whose answer ended it. */
	readonly previousTurn: AttemptId | undefined;
};

/** Path without its query. */
export function pathOf(request: Pick<RelayRequest, 'target'>): string {
	const query = request.target.indexOf('?');
	return query === -1 ? request.target : request.target.slice(0, query);
}

export type AnswerHead = {
	readonly status: number;
	readonly headers: HeaderPairs;
	/**
	Set if only the end of the connection ends the response. An endpoint that crashes ends it alike, so the response is not
	known to be complete and must not look so to the caller.
	*/
	readonly isUnframed?: boolean;
};

/** An event of a stream, with its encoded bytes. */
export type StreamEvent = {
	readonly id: number;
	readonly bytes: Uint8Array;
};

/** Why a request gets no answer from an endpoint. */
export type Refusal
	/** Nothing ran and nothing will; the caller may retry. */
	= | {readonly kind: 'not-run'; readonly retryAfter: Milliseconds}
	/** The instance has too little processor time to begin new work; nothing ran, and the caller may retry. */
		| {readonly kind: 'overloaded'; readonly retryAfter: Milliseconds}
	/** This instance has no configuration yet. */
		| {readonly kind: 'not-ready'}
		| {readonly kind: 'no-route'}
	/** No workspace has the caller's key. */
		| {readonly kind: 'unauthorized'}
	/** The workspace has used up its allotment; nothing ran, and the caller may retry. */
		| {readonly kind: 'over-allotment'; readonly retryAfter: Milliseconds}
		| {readonly kind: 'budget-exhausted'}
	/** The deadline passed; whether the request ran is not known. */
		| {readonly kind: 'timeout'}
	/** Endpoints failed; whether the request ran is not known. */
		| {readonly kind: 'failed'}
	/** The stream cannot be resumed where it began, or where it began is not known; nothing ran. */
		| {readonly kind: 'not-resumable'}
	/** The request has crashed several endpoints. */
		| {readonly kind: 'quarantined'}
	/** The turn that the request continues certainly does not exist, or belongs to another workspace. */
		| {readonly kind: 'unknown-turn'}
	/** The conversation that the request continues is longer than this system assembles. */
		| {readonly kind: 'too-long'};

/** Interface through which the caller of a request receives its answer. */
export type Caller = {
	/** Sends a complete answer. */
	readonly answer: (head: AnswerHead, body: Uint8Array) => void;
	/** Sends the head of a stream. */
	readonly open: (head: AnswerHead) => void;
	readonly event: (bytes: Uint8Array) => void;
	/** Ends a stream as complete. */
	readonly finish: () => void;
	/** Aborts a stream, so that it cannot be mistaken for a complete one. */
	readonly abort: () => void;
	readonly refuse: (refusal: Refusal) => void;
};
