/**
Ledger of the tokens that programs have used, as far as one instance knows it.

Several instances count for one program. Each counts in a slot of its own, so that ledgers merge by
taking the newer version of each slot (a grow-only counter with reservations). The store keeps a record
for a program that no loss of memory can take back; while the store answers, no call is granted beyond it, so that
a budget holds over such a loss. The one call by which a budget may be overrun is left for cuts between data centres.
*/
import {
	as, type AttemptId, type CounterId, type DataCentreId, type Milliseconds, type ProgramId, type Tokens,
} from './id.js';

/** What one counting instance has granted. */
export type LedgerSlot = {
	readonly counter: CounterId;
	/** Where the instance is; none for the store's record. */
	readonly dataCentre?: DataCentreId | undefined;
	/** Grows with each change. */
	readonly version: number;
	/** Tokens of calls that have ended. */
	readonly settled: Tokens;
	/** Tokens of calls under way, at their most. */
	readonly reserved: Tokens;
};

/** A program's account as it travels between instances. */
export type TokenAccount = {
	readonly program: ProgramId;
	/** Data centre in which the program was first seen; it alone may grant the whole budget. */
	readonly home?: DataCentreId | undefined;
	/** The home has come to the second half of the budget: nobody else may grant any more. */
	readonly isSecondHalf: boolean;
	readonly recorded: Tokens;
	readonly retention: Milliseconds;
	readonly slots: readonly LedgerSlot[];
};

/** Counter of what the store recorded. */
const storeCounter = as<CounterId>('store');

/** What instances outside its home need of an account: where the home is, what the store kept, and whether they may grant. */
export function withStoreSlotOnly(account: TokenAccount): TokenAccount {
	return {...account, slots: account.slots.filter(slot => slot.counter === storeCounter)};
}

export type ReservationRequest = {
	readonly program: ProgramId;
	readonly attempt: AttemptId;
	readonly budget: Tokens;
	/** Most tokens that the call may hand out. */
	readonly most: Tokens;
	/** Time for which a stopped program may come back. */
	readonly retention: Milliseconds;
};

/**
What a counting instance may grant. While not everyone has been told that a program has come to the second half of
its budget, each side of a cut may grant half of the budget and half of a call, together the one call by which a
budget may be overrun. Once everyone has, the home grants the whole, and nobody else anything.
*/
export type Entitlement = 'whole' | 'half';

export type LedgerDecision
	= | {readonly kind: 'granted'}
	/** Granted once the store has recorded that the program may have used so much. */
		| {readonly kind: 'record-first'; readonly upTo: Tokens}
		| {readonly kind: 'exhausted'; readonly used: Tokens}
	/** The budget covers the call, but this instance is not entitled to grant it. */
		| {readonly kind: 'withheld'};

export type TokenLedger = {
	/** Reserves unless the budget does not cover the call. A second request of one attempt counts once. */
	readonly reserve: (request: ReservationRequest, entitlement: Entitlement, now: Milliseconds) => LedgerDecision;
	readonly home: (program: ProgramId) => DataCentreId | undefined;
	/** Makes a data centre the home of a program that has none; the program counts as heard of. */
	readonly claim: (request: ReservationRequest, home: DataCentreId, now: Milliseconds) => void;
	readonly markExclusive: (program: ProgramId) => void;
	/** Withdraws a claim for which nothing was granted. */
	readonly withdrawClaim: (program: ProgramId) => void;
	/** Whether what was reserved and used is still within what may be granted, after accounts were merged. */
	readonly isWithin: (request: ReservationRequest, entitlement: Entitlement) => boolean;
	readonly settle: (program: ProgramId, attempt: AttemptId, used: Tokens, now: Milliseconds) => void;
	/** The store holds a record for the program. */
	readonly markRecorded: (program: ProgramId, recorded: Tokens) => void;
	/** Counts a record that the store kept over a loss of memory as used. */
	readonly restore: (program: ProgramId, recorded: Tokens, retention: Milliseconds, now: Milliseconds) => void;
	readonly merge: (account: TokenAccount, now: Milliseconds) => void;
	/** Whether this ledger knows of grants, or of a home, that the account does not show. */
	readonly isAheadOf: (account: TokenAccount) => boolean;
	readonly account: (program: ProgramId) => TokenAccount | undefined;
	/** Whether this instance has granted calls to the program. */
	readonly hasGranted: (program: ProgramId) => boolean;
	/** Whether so little is used beyond the store's record that it may be lost with all memory. */
	readonly isWithinUnrecordedLimit: (request: ReservationRequest) => boolean;
	/** Tokens used or reserved, as far as it is known here. */
	readonly used: (program: ProgramId) => Tokens;
	/** Tokens used or reserved beyond the store's record. */
	readonly unrecorded: (program: ProgramId) => Tokens;
	readonly programs: () => readonly ProgramId[];
	readonly accounts: () => readonly TokenAccount[];
	/** Drops programs that were not heard of for their retention. */
	readonly expire: (now: Milliseconds) => void;
};

/**
Calls at their most that may be granted beyond the record while the store is out of reach. What is not recorded is
granted once more after a loss of all memory, and a budget may be overrun by one call.
*/
const unrecordedCalls = 1;

/** Share of a budget that the first record covers. */
const recordedShare = 0.5;

type Entry = {
	readonly slots: Map<CounterId, LedgerSlot>;
	readonly reservations: Map<AttemptId, Tokens>;
	home: DataCentreId | undefined;
	isSecondHalf: boolean;
	recorded: Tokens;
	retention: Milliseconds;
	touchedAt: Milliseconds;
};

function sum(slots: Iterable<LedgerSlot>): number {
	let total = 0;
	for (const slot of slots) {
		total += slot.settled + slot.reserved;
	}

	return total;
}

function toAccount(program: ProgramId, entry: Entry): TokenAccount {
	return {
		program, home: entry.home, isSecondHalf: entry.isSecondHalf, recorded: entry.recorded, retention: entry.retention, slots: [...entry.slots.values()],
	};
}

/** Creates an empty ledger; `counter` names this life of an instance in a data centre. */
export function createTokenLedger(counter: CounterId, dataCentre: DataCentreId): TokenLedger {
	const entries = new Map<ProgramId, Entry>();

	function entryOf(program: ProgramId, retention: Milliseconds, now: Milliseconds): Entry {
		const known = entries.get(program);
		if (known) {
			known.touchedAt = now;
			known.retention = as<Milliseconds>(Math.max(known.retention, retention));
			return known;
		}

		const entry: Entry = {
			slots: new Map(), reservations: new Map(), home: undefined, isSecondHalf: false, recorded: as<Tokens>(0), retention, touchedAt: now,
		};
		entries.set(program, entry);
		return entry;
	}

	/** Adds to the slot of this instance. */
	function count(entry: Entry, settled: number, reserved: number): void {
		const slot = entry.slots.get(counter);
		entry.slots.set(counter, {
			counter,
			dataCentre,
			version: (slot?.version ?? 0) + 1,
			settled: as<Tokens>((slot?.settled ?? 0) + settled),
			reserved: as<Tokens>((slot?.reserved ?? 0) + reserved),
		});
	}

	/** Tokens up to which calls are granted. */
	function limitOf(entry: Entry, {budget, most}: ReservationRequest, entitlement: Entitlement): number {
		switch (entitlement) {
			case 'whole': {
				return budget;
			}

			case 'half': {
				const isOver = entry.isSecondHalf && entry.home !== dataCentre;
				return isOver ? 0 : Math.min(budget, (budget + most) / 2);
			}
		}
	}

	function unrecorded(program: ProgramId): Tokens {
		const entry = entries.get(program);
		return as<Tokens>(entry ? Math.max(0, sum(entry.slots.values()) - entry.recorded) : 0);
	}

	return {
		home: program => entries.get(program)?.home,
		claim({program, retention}, home, now) {
			entryOf(program, retention, now).home ??= home;
		},
		reserve(request, entitlement, now) {
			const {program, attempt, budget, most, retention} = request;
			const entry = entryOf(program, retention, now);
			if (entry.reservations.has(attempt)) {
				return {kind: 'granted'};
			}

			const used = sum(entry.slots.values());
			if (used + most > limitOf(entry, request, entitlement)) {
				return used + most > budget ? {kind: 'exhausted', used: as<Tokens>(used)} : {kind: 'withheld'};
			}

			entry.reservations.set(attempt, most);
			count(entry, 0, most);
			if (used + most <= entry.recorded) {
				return {kind: 'granted'};
			}

			// Half of the budget at once, so that most programs need one write and keep half after a loss of memory.
			return {kind: 'record-first', upTo: as<Tokens>(Math.min(budget, Math.max(used + most, budget * recordedShare)))};
		},
		markExclusive(program) {
			const entry = entries.get(program);
			if (entry) {
				entry.isSecondHalf = true;
			}
		},
		withdrawClaim(program) {
			const entry = entries.get(program);
			if (entry && sum(entry.slots.values()) === 0) {
				entry.home = undefined;
			}
		},
		isWithin(request, entitlement) {
			const entry = entries.get(request.program);
			if (!entry) {
				return false;
			}

			return sum(entry.slots.values()) <= limitOf(entry, request, entitlement);
		},
		settle(program, attempt, used, now) {
			const entry = entries.get(program);
			if (!entry) {
				return;
			}

			entry.touchedAt = now;
			const reserved = entry.reservations.get(attempt) ?? 0;
			entry.reservations.delete(attempt);
			count(entry, used, -reserved);
		},
		markRecorded(program, recorded) {
			const entry = entries.get(program);
			if (entry && recorded > entry.recorded) {
				entry.recorded = recorded;
			}
		},
		restore(program, recorded, retention, now) {
			const entry = entryOf(program, retention, now);
			entry.recorded = as<Tokens>(Math.max(entry.recorded, recorded));
			const slot = entry.slots.get(storeCounter);
			if (!slot || slot.settled < recorded) {
				entry.slots.set(storeCounter, {
					counter: storeCounter, dataCentre: undefined, version: recorded, settled: recorded, reserved: as<Tokens>(0),
				});
			}
		},
		merge(account, now) {
			const entry = entryOf(account.program, account.retention, now);
			entry.recorded = as<Tokens>(Math.max(entry.recorded, account.recorded));
			// Two data centres that could not reach each other may both have claimed it; all keep the same one.
			entry.home = entry.home !== undefined && (account.home === undefined || entry.home < account.home) ? entry.home : account.home;
			entry.isSecondHalf ||= account.isSecondHalf;
			for (const slot of account.slots) {
				const known = entry.slots.get(slot.counter);
				if (slot.counter !== counter && (!known || slot.version > known.version)) {
					entry.slots.set(slot.counter, slot);
				}
			}
		},
		isAheadOf({program, home, isSecondHalf, slots}) {
			const entry = entries.get(program);
			if (!entry) {
				return false;
			}

			const shown = new Map(slots.map(slot => [slot.counter, slot.version]));
			return entry.home !== home || entry.isSecondHalf !== isSecondHalf || [...entry.slots.values()].some(slot => slot.version > (shown.get(slot.counter) ?? -1));
		},
		account(program) {
			const entry = entries.get(program);
			return entry && toAccount(program, entry);
		},
		accounts: () => [...entries].map(([program, entry]) => toAccount(program, entry)),
		hasGranted: program => entries.get(program)?.slots.has(counter) ?? false,
		used: program => as<Tokens>(sum(entries.get(program)?.slots.values() ?? [])),
		isWithinUnrecordedLimit: ({program, most}) => unrecorded(program) <= most * unrecordedCalls,
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
