/**
What one instance knows of the tokens of one program: the slots of all instances that have granted, its own reservations,
and the record in the store.
*/
import {
	as, type AttemptId, type CounterId, type DataCentreId, type Milliseconds, type ProgramId, type Tokens,
} from './id.js';
import {type LedgerSlot, type TokenAccount} from './token-account.js';

export type LedgerEntry = {
	/** Number of changes. */
	revision: number;
	readonly slots: Map<CounterId, LedgerSlot>;
	readonly reservations: Map<AttemptId, Tokens>;
	/** Tokens counted for calls that have ended. */
	readonly ended: Map<AttemptId, Tokens>;
	home: DataCentreId | undefined;
	isSecondHalf: boolean;
	/** Whether the slots are all that was granted at home. */
	isComplete: boolean;
	recorded: Tokens;
	/** Wall-clock time at which the record expires. */
	recordedUntil: Milliseconds;
	retention: Milliseconds;
	touchedAt: Milliseconds;
};

/** Creates the entry of a program of which nothing is known. */
export function createLedgerEntry(retention: Milliseconds, now: Milliseconds): LedgerEntry {
	return {
		revision: 0,
		slots: new Map(),
		reservations: new Map(),
		ended: new Map(),
		home: undefined,
		isSecondHalf: false,
		isComplete: false,
		recorded: as<Tokens>(0),
		recordedUntil: as<Milliseconds>(0),
		retention,
		touchedAt: now,
	};
}

/** Tokens that all known instances have granted, used and reserved. */
export function grantedTokens({slots}: LedgerEntry): number {
	let total = 0;
	for (const {settled, reserved} of slots.values()) {
		total += settled + reserved;
	}

	return total;
}

/** The account as it is sent to other instances. */
export function accountOf(program: ProgramId, entry: LedgerEntry, isComplete: boolean): TokenAccount {
	return {
		program,
		home: entry.home,
		isSecondHalf: entry.isSecondHalf,
		isComplete,
		recorded: entry.recorded,
		recordedUntil: entry.recordedUntil,
		retention: entry.retention,
		slots: [...entry.slots.values()],
	};
}

/** Adopts what is known of the record in the store; neither its amount nor its lifetime shrinks. */
export function updateRecord(entry: LedgerEntry, recorded: Tokens, until: Milliseconds): void {
	if (recorded > entry.recorded || until > entry.recordedUntil) {
		entry.recorded = as<Tokens>(Math.max(entry.recorded, recorded));
		entry.recordedUntil = as<Milliseconds>(Math.max(entry.recordedUntil, until));
		entry.revision++;
	}
}
