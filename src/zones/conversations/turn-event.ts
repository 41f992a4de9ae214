/**
Events of kept turns, for logs and metrics. `attempt` is the request that an event concerns.
*/
import {
	type AttemptId, type InstanceId, type Milliseconds, type ProgramId,
} from '../../contracts/id.js';

/** Where a turn of a chain was found. */
export type TurnSource = 'cache' | 'own-data-centre' | 'other-data-centre';

/** How it is known for certain that a turn is not this caller's. */
export type AbsenceProof
	/** Every archive that the store lists answered without the turn, and holds all that it ever acknowledged. */
	= | 'all-archives'
		| 'other-workspace';

/** Why a turn cannot be opened now. */
export type UnavailableReason
	/** The list of archives is not known. */
	= | 'archives-unknown'
	/** Fewer archives take turns than the copies of a turn need. */
		| 'too-few-archives'
	/** No archive that answered has the turn, and some did not answer. */
		| 'archives-silent'
	/** No archive has the turn, but some may have lost turns. */
		| 'archives-incomplete'
	/** No archive has the turn, but the store does not say whether these are all of them. */
		| 'registry-unavailable'
	/** The turn that the request names exists, but one before it does not. */
		| 'gap-in-chain'
	/** The turn was kept before the configuration had workspaces, or while it had. */
		| 'workspace-unclear'
	/** Turns in progress hold too much memory. */
		| 'memory';

/** Result of storing copies. */
type Stored = {
	readonly copies: readonly InstanceId[];
	/** Archives that were asked and have no copy, each with the reason. */
	readonly missing: readonly string[];
};

type KeptTurn = Stored & {
	readonly attempt: AttemptId;
	readonly program: ProgramId | undefined;
	/** Number of archives that had not answered in time, so that others were asked beside them. */
	readonly late: number;
	readonly took: Milliseconds;
};

type StoredPart = Stored & {
	readonly attempt: AttemptId;
	readonly firstAttempt: AttemptId;
	readonly lastEvent: number;
};

type ReadChain = {
	readonly attempt: AttemptId;
	readonly previous: AttemptId;
	/** Number of turns from each source. */
	readonly sources: Readonly<Record<TurnSource, number>>;
	readonly bytes: number;
	readonly took: Milliseconds;
};

export type TurnEvent
	= | ({readonly kind: 'kept'} & KeptTurn)
		| ({readonly kind: 'not-kept'} & KeptTurn)
	/** What a caller received of a stream that broke off was stored. */
		| ({readonly kind: 'part-kept'} & StoredPart)
		| ({readonly kind: 'read'} & ReadChain)
	/** The earlier output of a resumed stream was searched for. */
		| {readonly kind: 'part-read'; readonly attempt: AttemptId; readonly firstAttempt: AttemptId; readonly isFound: boolean; readonly took: Milliseconds}
		| {readonly kind: 'unknown'; readonly attempt: AttemptId; readonly previous: AttemptId; readonly proof: AbsenceProof; readonly archives: readonly InstanceId[]}
		| {readonly kind: 'unavailable'; readonly attempt: AttemptId; readonly previous: AttemptId | undefined; readonly reason: UnavailableReason; readonly detail: string}
		| {readonly kind: 'too-long'; readonly attempt: AttemptId; readonly previous: AttemptId | undefined; readonly turns: number; readonly bytes: number}
		| {readonly kind: 'archives'; readonly source: 'store' | 'peer'; readonly archives: readonly string[]}
		| {readonly kind: 'archives-unavailable'; readonly reason: string}
		| {readonly kind: 'archive-unreadable'; readonly archive: string}
	/** This data centre was cut off from the others, or has reached them again. */
		| {readonly kind: 'contact'; readonly isCutOff: boolean; readonly storeSilence: Milliseconds}
	/** An archive has stopped answering this instance, or has begun to answer again. */
		| {readonly kind: 'archive'; readonly archive: InstanceId; readonly use: 'keep' | 'read'; readonly isAnswering: boolean};
