/**
Turns of conversations that the system keeps: what the caller sent and what it received. A turn names the one that it
continues, so that turns form chains with a common beginning. A turn never changes once it is whole. Records of used tokens
that the object store does not take during an outage are kept in the same way.
*/
import {
	as, type Address, type AttemptId, type DataCentreId, type Milliseconds, type ProgramId, type Tokens,
} from './id.js';
import {type RecordOrigin} from './record-origin.js';
import {type WorkspaceName} from './workspace.js';

export type TurnContent
	/** A turn that was answered completely. The output is the data of its events, each followed by a line feed. */
	= | {readonly kind: 'whole'; readonly input: Uint8Array; readonly output: Uint8Array}
	/** Output of a stream that broke off after `lastEvent`, kept so that its caller can resume it at another instance. */
		| {readonly kind: 'partial'; readonly lastEvent: number; readonly output: Uint8Array}
		| UsedTokens;

/** Tokens up to which the instance at `writer` may grant calls to a program. Of several amounts, the highest counts. */
export type UsedTokens = {
	readonly kind: 'used'; readonly program: ProgramId; readonly tokens: Tokens; readonly dataCentre: DataCentreId; readonly writer: Address;
	/** Absent in a record of an earlier build. */
	readonly origin?: Pick<RecordOrigin, 'counter' | 'version'> | undefined;
};

/** How much of a turn a record holds: a whole one replaces any part, a longer part a shorter one, and more used tokens fewer. */
export type Extent = number;

export type TurnRecord = {
	/** The caller's attempt that received the end of the turn or, for a partial one, its first event. */
	readonly turn: AttemptId;
	/** The turn that this one continues; undefined for the first of a chain. */
	readonly previous: AttemptId | undefined;
	/** Undefined where the configuration has no workspaces. */
	readonly workspace: WorkspaceName | undefined;
	/** Time for which the turn is kept from its end on. */
	readonly retention: Milliseconds;
	readonly content: TurnContent;
};

export type UsedRecord = TurnRecord & {readonly content: UsedTokens};

const usedRecordPrefix = '\nused\n';

/** Id under which the amount of a program and a writer is kept. It contains line feeds, so no caller can send it as the id of a turn. */
export function usedRecordId({program, writer}: Pick<UsedTokens, 'program' | 'writer'>): AttemptId {
	return as<AttemptId>(`${usedRecordPrefix}${writer}\n${program}`);
}

/** Whether an id is one of a record of used tokens. */
export function isUsedRecordId(id: AttemptId): boolean {
	return id.startsWith(usedRecordPrefix);
}

export function isUsedRecord(record: TurnRecord): record is UsedRecord {
	return record.content.kind === 'used';
}

/** Records of used tokens that an archive holds. */
export type UsedReply = {
	/** Their retention is the time for which the archive still holds them. */
	readonly records: readonly UsedRecord[];
	/** Whether these are all that the archive ever acknowledged and that have not expired. */
	readonly isComplete: boolean;
};

/** What an archive holds of a chain. */
export type ChainReply = {
	/** The turn that was asked for and, as far as the archive holds them without a gap, those before it; newest first. */
	readonly records: readonly TurnRecord[];
	/**
	Whether every turn within its retention that the archive ever acknowledged is still held here, or at enough other archives
	without this one. After a loss of its disk or damage to it, it is not until the archive has been repaired.
	*/
	readonly isComplete: boolean;
};

export type KeepResult
	/** The record outlasts a loss of power of the archive. */
	= | {readonly kind: 'kept'}
	/** The archive cannot store it now: its disk is full or does not respond, or it is shutting down. */
		| {readonly kind: 'refused'; readonly reason: string}
	/** The archive did not answer in time; it may have stored the record. */
		| {readonly kind: 'unreachable'; readonly reason: string};
