/**
What one instance knows of the tokens of one program: the slots of all instances that have granted, its own reservations,
and the record in the store.
*/
import {
	as, type AttemptId, type CounterId, type DataCentreId, type Milliseconds, type ProgramId, type Tokens,
} from './id.js';
import {
	grantedBy, isFromRecord, type LedgerSlot, type OpenAttempt, reservedTokens, storeCounter, type TokenAccount,
} from './token-account.js';
import {type RecordOrigin} from './record-origin.js';

/** Maximum number of attempts of a program that are remembered as over; few are reserved by an instance that does not learn of their end. */
const maximumOver = 32;

export type LedgerEntry = {
	/** Number of changes. */
	revision: number;
	readonly slots: Map<CounterId, LedgerSlot>;
	readonly reservations: Map<AttemptId, Tokens>;
	/** Tokens counted for calls that have ended. */
	readonly ended: Map<AttemptId, Tokens>;
	/** Attempts that count no more, whoever has them reserved. */
	readonly over: Set<AttemptId>;
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
		over: new Set(),
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
export function grantedTokens({slots, over}: LedgerEntry): number {
	return grantedBy([...slots.values()], over);
}

/** The same without the reservations of an attempt, which may have been reserved at another instance that was asked for it. */
export function grantedBeside({slots, over}: LedgerEntry, attempt: AttemptId): number {
	return grantedBy([...slots.values()], new Set([...over, attempt]));
}

/** Adds to what an instance has settled, and takes over its reservations as they are now. */
export function countIn(entry: LedgerEntry, counter: CounterId, dataCentre: DataCentreId, settled: number): void {
	const slot = entry.slots.get(counter);
	const open = [...entry.reservations].map(([attempt, most]): OpenAttempt => [attempt, most]);
	entry.revision++;
	entry.slots.set(counter, {
		counter,
		dataCentre,
		version: (slot?.version ?? 0) + 1,
		settled: as<Tokens>((slot?.settled ?? 0) + settled),
		reserved: as<Tokens>(open.reduce((sum, [, most]) => sum + most, 0)),
		...(open.length > 0 && {open}),
	});
}

/** Records that an attempt is over. Returns whether that was new. */
export function endAttempt(entry: LedgerEntry, attempt: AttemptId): boolean {
	if (entry.over.has(attempt) || entry.over.size >= maximumOver) {
		return false;
	}

	entry.over.add(attempt);
	entry.revision++;
	return true;
}

/** Whether the entry knows of an attempt that is over, and the account does not. */
export function knowsMoreEnds({over}: LedgerEntry, account: TokenAccount): boolean {
	const known = account.over ?? [];
	return known.length < maximumOver && [...over].some(attempt => !known.includes(attempt));
}

/**
Replaces a slot by a later version. A stand-in counts at least what it replaces: whoever read the record may have taken reservations for a
part of it that were made later, and end with fewer tokens.
*/
export function putSlot(entry: LedgerEntry, slot: LedgerSlot): void {
	const known = entry.slots.get(slot.counter);
	const least = known && slot.isStandIn ? grantedBy([known], entry.over) : 0;
	entry.slots.set(slot.counter, slot.settled < least ? {...slot, settled: as<Tokens>(least)} : slot);
}

/** Position of a stand-in among the versions of its slot: after all that the record may lack, and before the version that it covers. */
const standInStep = 0.5;

/** Lets the amount of a record stand for the slot of the instance that wrote it, unless a later version of that slot is known. */
export function putStandIn(entry: LedgerEntry, {counter, version, dataCentre}: RecordOrigin, tokens: Tokens): void {
	const known = entry.slots.get(counter);
	if (known && known.version >= version - standInStep) {
		return;
	}

	entry.revision++;
	putSlot(entry, {
		counter, dataCentre, version: version - standInStep, settled: tokens, reserved: as<Tokens>(0), isStandIn: true,
	});
}

/** Counts an amount that the store recorded without its origin. */
export function putStoreSlot(entry: LedgerEntry, tokens: Tokens): void {
	if (tokens > (entry.slots.get(storeCounter)?.settled ?? 0)) {
		entry.slots.set(storeCounter, {
			counter: storeCounter, dataCentre: undefined, version: tokens, settled: tokens, reserved: as<Tokens>(0),
		});
	}
}

/**
Tokens that are used for certain, or reserved by the instance itself. What others have reserved may end with fewer, and what instances that
run have recorded may be more than they have granted.
*/
export function certainTokens({slots, over}: LedgerEntry, own: CounterId, isRunning: (counter: CounterId) => boolean): number {
	const certain = [...slots.values()].filter(slot => !isFromRecord(slot) || !isRunning(slot.counter));
	return certain.reduce((sum, {settled}) => sum + settled, reservedTokens(certain.filter(({counter}) => counter === own), over));
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
		...(entry.over.size > 0 && {over: [...entry.over]}),
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
