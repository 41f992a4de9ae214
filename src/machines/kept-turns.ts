/**
Kept turns as used by the relay: the body of a turn that continues a conversation is assembled from the turns before it, and
what the caller receives is recorded and stored before the end of its response is sent.
*/
import {type AttemptId, type Milliseconds, type ProgramId} from '../contracts/id.js';
import {type WorkspaceName} from '../contracts/workspace.js';

/** A turn that has just arrived. */
export type TurnRequest = {
	readonly attempt: AttemptId;
	readonly previous: AttemptId | undefined;
	readonly workspace: WorkspaceName | undefined;
	readonly program: ProgramId | undefined;
	readonly input: Uint8Array;
	readonly retention: Milliseconds;
	/** Time for which the caller will still wait. */
	readonly timeLeft: Milliseconds;
	/** Aborts when the request has ended otherwise, so that its chain is no longer needed. */
	readonly signal: AbortSignal;
	/** Set if the caller resumes a stream after an event that it has received. */
	readonly resumption: TurnResumption | undefined;
};

export type TurnResumption = {
	/** The caller's attempt that received the first event of the stream. */
	readonly firstAttempt: AttemptId;
	/** The last event that the caller has received. */
	readonly lastEvent: number;
};

/** Output of a stream that earlier attempts of its caller have received. */
export type ReceivedPart = {
	/** The last event in the output, which may be later than the one that the caller names. */
	readonly lastEvent: number;
	readonly output: Uint8Array;
};

export type OpenedTurn
	/** `received` is undefined for a stream from its start, and for a resumption whose earlier output is not known. */
	= | {readonly kind: 'opened'; readonly body: Uint8Array; readonly received: ReceivedPart | undefined; readonly recorder: TurnRecorder}
		| {readonly kind: 'unknown-turn'}
		| {readonly kind: 'too-long'}
		| {readonly kind: 'unavailable'; readonly retryAfter: Milliseconds};

export type TurnRecorder = {
	/** Records the data of an event that the caller was sent. */
	readonly event: (data: Uint8Array) => void;
	/** Resolves to whether the turn is kept on enough disks; called before the end of the response is sent, for which the caller still waits. */
	readonly keep: (timeLeft: Milliseconds) => Promise<boolean>;
	/** Stores what was recorded up to an event: the stream broke off towards the caller, who may resume it elsewhere. */
	readonly breakOff: (lastEvent: number) => void;
	/** Releases the memory of the turn; called once, after the last use. */
	readonly close: () => void;
};

export type KeptTurns = {
	/** Assembles the body of a turn. Never rejects. */
	readonly open: (turn: TurnRequest) => Promise<OpenedTurn>;
};
