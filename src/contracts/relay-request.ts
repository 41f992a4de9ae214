/**
A request that is relayed: what the system reads of it, beside headers and a body that stay opaque.
*/
import {
	type AttemptId, type Milliseconds, type ProgramId, type PromptPartId, type Tokens,
} from './id.js';

/** Names and values in turn, as they came. */
export type HeaderPairs = readonly string[];

/** A part of a prompt; requests that name the same id begin with the same tokens. */
export type PromptPart = {
	readonly id: PromptPartId;
	readonly tokens: Tokens;
};

/** What a request says about the program that it belongs to. */
export type ProgramContext = {
	readonly id: ProgramId;
	/** Time until the program should be finished. */
	readonly timeLeft: Milliseconds | undefined;
	/** Tokens that all model calls of the program may generate; undefined for calls that generate none. */
	readonly budget: Tokens | undefined;
};

export type RelayRequest = {
	/** The caller's id of this try; endpoints echo it. */
	readonly attempt: AttemptId;
	readonly method: string;
	readonly host: string;
	/** Path with its query, as it came. */
	readonly target: string;
	readonly headers: HeaderPairs;
	readonly body: Uint8Array;
	/** How long the caller waits. */
	readonly timeLeft: Milliseconds | undefined;
	readonly program: ProgramContext | undefined;
	readonly prompt: readonly PromptPart[];
	/** Most tokens that the answer may have. */
	readonly maxAnswerTokens: Tokens;
	/** Id of the last event of a stream that the caller has. */
	readonly lastEvent: number | undefined;
};

/** Path without its query. */
export function pathOf(request: Pick<RelayRequest, 'target'>): string {
	const query = request.target.indexOf('?');
	return query === -1 ? request.target : request.target.slice(0, query);
}

export type ReplyHead = {
	readonly status: number;
	readonly headers: HeaderPairs;
};

/** An event of a stream with the bytes that carry it. */
export type StreamEvent = {
	readonly id: number;
	readonly bytes: Uint8Array;
};

/** Why a request gets no answer of an endpoint. */
export type Refusal
	/** Nothing ran and nothing will; the caller may come back. */
	= | {readonly kind: 'not-run'; readonly retryAfter: Milliseconds}
	/** No configuration is known yet. */
		| {readonly kind: 'not-ready'}
		| {readonly kind: 'no-route'}
		| {readonly kind: 'budget-exhausted'}
	/** Time ran out; whether the request ran is not known. */
		| {readonly kind: 'timeout'}
	/** Endpoints failed; whether the request ran is not known. */
		| {readonly kind: 'failed'}
	/** The request has crashed several endpoints. */
		| {readonly kind: 'quarantined'};

/** The caller of a request, as the execution sees it. */
export type Caller = {
	/** Sends a whole answer. */
	readonly answer: (head: ReplyHead, body: Uint8Array) => void;
	/** Sends the head of a stream. */
	readonly open: (head: ReplyHead) => void;
	readonly event: (bytes: Uint8Array) => void;
	/** Ends a stream as complete. */
	readonly finish: () => void;
	/** Ends a stream so that it cannot be taken for complete. */
	readonly abort: () => void;
	readonly refuse: (refusal: Refusal) => void;
};
