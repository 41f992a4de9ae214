/**
Restores the account of a program from the records of what it used. A record stands for the slot of the process that wrote it, which replaces
it once it is known; so the records of processes that still run, and were only late to tell what they counted, do not count twice.
*/
import {type Clock} from '../contracts/clock.js';
import {
	as, type AttemptId, type DataCentreId, type Milliseconds, type ProgramId, type Tokens,
} from '../contracts/id.js';
import {grantedBy, type LedgerSlot, storeCounter} from '../contracts/token-account.js';
import {type TokenLedger} from '../contracts/token-ledger.js';
import {type StoredRecord} from './budget-records.js';

export type RestorationOptions = {
	readonly ledger: Pick<TokenLedger, 'account' | 'restore'>;
	readonly clock: Clock;
	/** Data centre that is known to be the program's home, if any. */
	readonly home: DataCentreId | undefined;
};

/**
The slots whose tokens are a part of the record. Other data centres may grant beside the home without its record covering it. Of which data
centre the records of earlier builds are is not known; of them and a later record the higher one counts, as in these builds.
*/
function coveredBy({dataCentre, origin}: StoredRecord, slots: readonly LedgerSlot[], home: DataCentreId | undefined): readonly LedgerSlot[] {
	const others = slots.filter(({counter}) => counter !== (origin?.counter ?? storeCounter));
	return home !== undefined && dataCentre === home ? others.filter(slot => slot.dataCentre === home || slot.counter === storeCounter) : others;
}

/** Restores the account of a program, which is complete then. Returns the part of the records that is counted for those that wrote them. */
export function restoreRecords(program: ProgramId, records: readonly StoredRecord[], retention: Milliseconds, {ledger, clock, home}: RestorationOptions): Tokens {
	const before = grantedTokens();
	for (const record of records.toSorted((left, right) => left.used - right.used)) {
		const account = ledger.account(program);
		const covered = grantedBy(coveredBy(record, account?.slots ?? [], home), new Set<AttemptId>(account?.over));
		ledger.restore({
			program,
			recorded: record.used,
			until: as<Milliseconds>(clock.wall() + record.retention),
			unaccounted: as<Tokens>(Math.max(0, record.used - covered)),
			retention,
			origin: record.origin,
		}, clock.now());
	}

	return as<Tokens>(Math.max(0, grantedTokens() - before));

	function grantedTokens(): number {
		const account = ledger.account(program);
		return account ? grantedBy(account.slots, new Set<AttemptId>(account.over)) : 0;
	}
}
