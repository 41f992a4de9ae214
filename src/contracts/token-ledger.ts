/**
Ledger of the tokens that programs have used, as far as they are known to one instance.

Several instances can grant tokens to one program. Each counts in a slot of its own, so that ledgers merge by
taking the newer version of each slot (a grow-only counter with reservations). The store keeps a record for each
program that survives the loss of all instances' memory. While the store is reachable, no call is granted beyond
that record, so that a budget also holds after such a loss. A budget may be overrun by at most one call; this
allowance is kept for partitions between data centres (see `Entitlement`).
*/
import {
	as, type AttemptId, type CounterId, type DataCentreId, type Milliseconds, type ProgramId, type Tokens,
} from './id.js';
import {
	accountOf, certainTokens, countIn, createLedgerEntry, endAttempt, grantedBeside, grantedTokens, knowsMoreEnds, type LedgerEntry, putSlot, putStandIn, putStoreSlot, updateRecord,
} from './ledger-entry.js';
import {type RecordOrigin, type RestoredRecord} from './record-origin.js';
import {type Entitlement, type LedgerDecision, type ReservationRequest} from './reservation.js';
import {type TokenAccount} from './token-account.js';

export type TokenLedger = {
	/** Reserves the tokens of a call if the budget covers it. A repeated request for the same attempt counts once. */
	readonly reserve: (request: ReservationRequest, entitlement: Entitlement, now: Milliseconds) => LedgerDecision;
	readonly home: (program: ProgramId) => DataCentreId | undefined;
	/** Makes a data centre the home of a program that has none, and restarts the program's retention time. */
	readonly claim: (request: ReservationRequest, home: DataCentreId, now: Milliseconds) => void;
	/** Whether the tokens of a call are reserved here, so that it may be granted. */
	readonly isReserved: (program: ProgramId, attempt: AttemptId) => boolean;
	/** Whether the budget covers a call unless reservations of other instances, and records of those that run, are used. */
	readonly dependsOnOthers: (request: ReservationRequest, isRunning: (counter: CounterId) => boolean) => boolean;
	/** Records that the home has reached the second half of the budget. */
	readonly markSecondHalf: (program: ProgramId) => void;
	/** Withdraws a claim if nothing has been granted. */
	readonly withdrawClaim: (program: ProgramId) => void;
	/** Whether the used and reserved tokens are still within the entitlement after accounts were merged. */
	readonly isWithin: (request: ReservationRequest, entitlement: Entitlement) => boolean;
	/** Ends a reservation. An end that is reported again, because its acknowledgement was lost or late, counts once. */
	readonly settle: (program: ProgramId, attempt: AttemptId, used: Tokens, now: Milliseconds) => void;
	/** Records that an attempt has ended or was never sent, so that the reservations of other instances for it count no more. */
	readonly endAttempt: (program: ProgramId, attempt: AttemptId) => void;
	readonly isOver: (program: ProgramId, attempt: AttemptId) => boolean;
	/** Adds a version to the slot of this instance, which a record that it writes then covers. */
	readonly originOfRecord: (program: ProgramId) => RecordOrigin | undefined;
	/** Updates the amount that the store has recorded for the program, and the wall-clock time until which it keeps the record. */
	readonly markRecorded: (program: ProgramId, recorded: Tokens, until: Milliseconds) => void;
	/** Tokens that the store has recorded as used. */
	readonly recorded: (program: ProgramId) => Tokens;
	/** Wall-clock time until which the store keeps the program's record; zero if there is none. */
	readonly recordedUntil: (program: ProgramId) => Milliseconds;
	/** Counts as used what the store recorded before the instances that knew more lost their memory. The account is complete then. */
	readonly restore: (record: RestoredRecord, now: Milliseconds) => void;
	/** Whether the slots are all that was granted at home, or what replaces them after a loss of memory. */
	readonly isComplete: (program: ProgramId) => boolean;
	/** Sets whether the slots are all that was granted at home. If not, others may grant without this instance being told. */
	readonly setComplete: (program: ProgramId, isComplete: boolean) => void;
	/** Returns whether that changed the home or the second-half state, so that the home may lack what this instance counted. */
	readonly merge: (account: TokenAccount, now: Milliseconds) => boolean;
	/** Number of changes of the account; zero if there is none. */
	readonly revision: (program: ProgramId) => number;
	/** Whether this ledger has newer slots than the account, or a different home or second-half state. */
	readonly isAheadOf: (account: TokenAccount) => boolean;
	readonly account: (program: ProgramId) => TokenAccount | undefined;
	/** Whether this instance has granted calls to the program. */
	readonly hasGranted: (program: ProgramId) => boolean;
	/** Whether this instance has a slot in the account, which others may know in an earlier version. */
	readonly hasCounted: (program: ProgramId) => boolean;
	/** Whether the usage beyond the store's record is small enough to be lost with the memory of all instances. */
	readonly isWithinUnrecordedLimit: (request: ReservationRequest) => boolean;
	/** Tokens used or reserved, as far as they are known to this instance. */
	readonly used: (program: ProgramId) => Tokens;
	/** Tokens used or reserved beyond the store's record. */
	readonly unrecorded: (program: ProgramId) => Tokens;
	readonly programs: () => readonly ProgramId[];
	readonly accounts: () => readonly TokenAccount[];
	/** Drops programs that have been inactive for longer than their retention. */
	readonly expire: (now: Milliseconds) => void;
};

/**
Number of calls of maximum size that may be granted beyond the record while the store is unreachable. Unrecorded
usage is granted a second time after all instances lose their memory, and a budget may be overrun by at most one call.
*/
const maximumUnrecordedCalls = 1;

/** Fraction of a budget that the first record covers. */
const firstRecordFraction = 0.5;

/** Creates an empty ledger; `counter` identifies this incarnation of the instance. */
export function createTokenLedger(counter: CounterId, dataCentre: DataCentreId): TokenLedger {
	const entries = new Map<ProgramId, LedgerEntry>();

	/** Whether this instance holds all that was granted at home. One elsewhere is not told of later grants. */
	function isHolder(entry: LedgerEntry): boolean {
		return entry.isComplete && entry.home === dataCentre;
	}

	function entryOf(program: ProgramId, retention: Milliseconds, now: Milliseconds): LedgerEntry {
		const existing = entries.get(program);
		if (existing) {
			existing.touchedAt = now;
			existing.retention = as<Milliseconds>(Math.max(existing.retention, retention));
			return existing;
		}

		const entry = createLedgerEntry(retention, now);
		entries.set(program, entry);
		return entry;
	}

	/** Adds to the slot of this instance. */
	function count(entry: LedgerEntry, settled: number): void {
		countIn(entry, counter, dataCentre, settled);
	}

	/** Drops the reservation of an attempt that others have learned is over. */
	function release(entry: LedgerEntry, attempt: AttemptId): void {
		if (entry.reservations.delete(attempt)) {
			entry.ended.set(attempt, entry.ended.get(attempt) ?? as<Tokens>(0));
			count(entry, 0);
		}
	}

	/** Number of tokens, used and reserved, up to which this instance may grant calls. */
	function limitOf(entry: LedgerEntry, {budget, most}: ReservationRequest, entitlement: Entitlement): number {
		switch (entitlement) {
			case 'whole': {
				return budget;
			}

			case 'half': {
				const isExcluded = entry.isSecondHalf && entry.home !== dataCentre;
				return isExcluded ? 0 : Math.min(budget, (budget + most) / 2);
			}
		}
	}

	function unrecorded(program: ProgramId): Tokens {
		const entry = entries.get(program);
		return as<Tokens>(entry ? Math.max(0, grantedTokens(entry) - entry.recorded) : 0);
	}

	return {
		home: program => entries.get(program)?.home,
		claim({program, retention}, home, now) {
			const entry = entryOf(program, retention, now);
			if (entry.home === undefined) {
				entry.home = home;
				entry.isComplete = true;
				entry.revision++;
			}
		},
		setComplete(program, isComplete) {
			const entry = entries.get(program);
			if (entry) {
				entry.revision += isComplete && !entry.isComplete ? 1 : 0;
				entry.isComplete = isComplete;
			}
		},
		isComplete: program => entries.get(program)?.isComplete ?? false,
		reserve(request, entitlement, now) {
			const {program, attempt, budget, most, retention} = request;
			const entry = entryOf(program, retention, now);
			if (entry.reservations.has(attempt)) {
				return {kind: 'granted'};
			}

			const used = grantedBeside(entry, attempt);
			if (used + most > limitOf(entry, request, entitlement)) {
				return used + most > budget ? {kind: 'exhausted', used: as<Tokens>(used)} : {kind: 'withheld'};
			}

			entry.reservations.set(attempt, most);
			count(entry, 0);
			if (used + most <= entry.recorded) {
				return {kind: 'granted'};
			}

			// Records half of the budget at once, so that most programs need one write and half of the budget remains after a loss of memory.
			return {kind: 'record-first', upTo: as<Tokens>(Math.min(budget, Math.max(used + most, budget * firstRecordFraction)))};
		},
		isReserved: (program, attempt) => entries.get(program)?.reservations.has(attempt) ?? false,
		dependsOnOthers({program, budget, most}, isRunning) {
			const entry = entries.get(program);
			const certain = entry ? certainTokens(entry, counter, isRunning) : 0;
			return entry !== undefined && certain < grantedTokens(entry) && certain + most <= budget;
		},
		markSecondHalf(program) {
			const entry = entries.get(program);
			if (entry) {
				entry.isSecondHalf = true;
				entry.revision++;
			}
		},
		withdrawClaim(program) {
			const entry = entries.get(program);
			if (entry && grantedTokens(entry) === 0) {
				entry.home = undefined;
				entry.isComplete = false;
				entry.revision++;
			}
		},
		isWithin(request, entitlement) {
			const entry = entries.get(request.program);
			if (!entry) {
				return false;
			}

			return grantedTokens(entry) <= limitOf(entry, request, entitlement);
		},
		settle(program, attempt, used, now) {
			const entry = entries.get(program);
			if (!entry) {
				return;
			}

			entry.touchedAt = now;
			const reserved = entry.reservations.get(attempt) ?? 0;
			const counted = entry.ended.get(attempt) ?? 0;
			const uncounted = Math.max(0, used - counted);
			entry.reservations.delete(attempt);
			entry.ended.set(attempt, as<Tokens>(counted + uncounted));
			if (reserved > 0 || uncounted > 0) {
				count(entry, uncounted);
			}
		},
		endAttempt(program, attempt) {
			const entry = entries.get(program);
			if (entry && endAttempt(entry, attempt)) {
				release(entry, attempt);
			}
		},
		isOver: (program, attempt) => entries.get(program)?.over.has(attempt) ?? false,
		originOfRecord(program) {
			const entry = entries.get(program);
			if (!entry) {
				return undefined;
			}

			count(entry, 0);
			return {counter, version: entry.slots.get(counter)?.version ?? 0, dataCentre};
		},
		markRecorded(program, recorded, until) {
			const entry = entries.get(program);
			if (entry) {
				updateRecord(entry, recorded, until);
			}
		},
		recorded: program => entries.get(program)?.recorded ?? as<Tokens>(0),
		recordedUntil: program => entries.get(program)?.recordedUntil ?? as<Milliseconds>(0),
		restore({
			program, recorded, until, unaccounted, retention, origin,
		}, now) {
			const entry = entryOf(program, retention, now);
			updateRecord(entry, recorded, until);
			entry.isComplete = true;
			entry.revision++;
			if (!origin) {
				putStoreSlot(entry, unaccounted);
			} else if (origin.counter !== counter) {
				putStandIn(entry, origin, unaccounted);
			}
		},
		merge(account, now) {
			const entry = entryOf(account.program, account.retention, now);
			const {home, isSecondHalf} = entry;
			// Two partitioned data centres may both have claimed the program; all instances keep the same home, the lowest id.
			entry.home = home !== undefined && (account.home === undefined || home < account.home) ? home : account.home;
			entry.isSecondHalf ||= account.isSecondHalf;
			entry.isComplete ||= account.isComplete;
			const isReassigned = entry.home !== home || entry.isSecondHalf !== isSecondHalf;
			entry.revision += isReassigned ? 1 : 0;
			updateRecord(entry, account.recorded, account.recordedUntil);

			for (const slot of account.slots) {
				const current = entry.slots.get(slot.counter);
				if (slot.counter !== counter && (!current || slot.version > current.version)) {
					putSlot(entry, slot);
					entry.revision++;
				}
			}

			for (const attempt of account.over ?? []) {
				if (endAttempt(entry, attempt)) {
					release(entry, attempt);
				}
			}

			return isReassigned;
		},
		revision: program => entries.get(program)?.revision ?? 0,
		isAheadOf(account) {
			const {program, home, isSecondHalf, isComplete, slots} = account;
			const entry = entries.get(program);
			if (!entry) {
				return false;
			}

			const accountVersions = new Map(slots.map(slot => [slot.counter, slot.version]));
			const isOtherState = entry.home !== home || entry.isSecondHalf !== isSecondHalf || (isHolder(entry) && !isComplete);
			return isOtherState || knowsMoreEnds(entry, account) || [...entry.slots.values()].some(slot => slot.version > (accountVersions.get(slot.counter) ?? -1));
		},
		account(program) {
			const entry = entries.get(program);
			return entry && accountOf(program, entry, isHolder(entry));
		},
		accounts: () => [...entries].map(([program, entry]) => accountOf(program, entry, isHolder(entry))),
		hasGranted(program) {
			const slot = entries.get(program)?.slots.get(counter);
			return slot !== undefined && slot.settled + slot.reserved > 0;
		},
		hasCounted: program => entries.get(program)?.slots.has(counter) ?? false,
		used(program) {
			const entry = entries.get(program);
			return as<Tokens>(entry ? grantedTokens(entry) : 0);
		},
		isWithinUnrecordedLimit: ({program, most}) => unrecorded(program) <= most * maximumUnrecordedCalls,
		unrecorded,
		programs: () => [...entries.keys()],
		expire(now) {
			for (const [program, entry] of entries) {
				if (now - entry.touchedAt > entry.retention) {
					entries.delete(program);
				}
			}
		},
	};
}
