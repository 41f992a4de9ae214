/**
Recovery of what a program used, for an instance at its home that knows only of the record: it started after the others
had lost their memory, or took over from instances that were all lost. Another instance of the home may hold the account;
if none does, what the store has recorded counts as used.
*/
import {type Clock} from '../contracts/clock.js';
import {
	as, type Milliseconds, type ProgramId, type Tokens,
} from '../contracts/id.js';
import {type LedgerSlot, storeCounter, type TokenAccount} from '../contracts/token-account.js';
import {type TokenLedger} from '../contracts/token-ledger.js';
import {type BudgetEvent} from './budget-event.js';
import {type BudgetRecords, type StoredRecord} from './budget-records.js';
import {type AccountExchange, askNeighbours} from './replicas.js';
import {withTimeout} from './with-timeout.js';

/** Maximum time that a call waits for the records. */
const loadTimeoutMs = 150;

/** Time for which loaded records serve further programs; all lost their holders at about the same time. */
const recordsAgeMs = 1000;

export type BudgetRecovery = {
	/** Completes the account of a program whose home is here. Resolves to false if neither a neighbour nor the store knows it. */
	readonly recover: (program: ProgramId) => Promise<boolean>;
};

export type BudgetRecoveryOptions = AccountExchange & {
	readonly ledger: TokenLedger;
	readonly records: Pick<BudgetRecords, 'load'>;
	readonly clock: Clock;
	readonly onEvent: (event: BudgetEvent) => void;
};

type Loading = {readonly startedAt: Milliseconds; readonly records: Promise<readonly StoredRecord[] | undefined>};

/** Tokens that instances are known to have granted. */
function grantedBy(slots: readonly LedgerSlot[]): number {
	return slots.filter(({counter}) => counter !== storeCounter).reduce((sum, {settled, reserved}) => sum + settled + reserved, 0);
}

function highest(records: readonly StoredRecord[]): number {
	return Math.max(0, ...records.map(({used}) => used));
}

/** Creates the recovery of one instance. */
export function createBudgetRecovery(options: BudgetRecoveryOptions): BudgetRecovery {
	const {ledger, clock} = options;
	let loading: Loading | undefined;

	async function load(): Promise<readonly StoredRecord[] | undefined> {
		const loaded = await options.records.load();
		return loaded.isOk() ? loaded.value.records : undefined;
	}

	async function loadRecently(): Promise<readonly StoredRecord[] | undefined> {
		if (!loading || clock.now() - loading.startedAt > recordsAgeMs) {
			loading = {startedAt: clock.now(), records: load()};
		}

		return withTimeout(clock, loadTimeoutMs, loading.records);
	}

	/**
	The part of the records that no instance is known to have granted. Other data centres may have granted beside the home
	without recording it, so what they granted is not a part of the home's record.
	*/
	function unaccountedIn(records: readonly StoredRecord[], {slots}: TokenAccount): Tokens {
		const {dataCentre} = options.self();
		const atHome = highest(records.filter(record => record.dataCentre === dataCentre)) - grantedBy(slots.filter(slot => slot.dataCentre === dataCentre));
		return as<Tokens>(Math.max(0, atHome, highest(records) - grantedBy(slots)));
	}

	return {
		async recover(program) {
			const before = ledger.account(program);
			await (before && askNeighbours(options, before));
			const records = ledger.isComplete(program) ? [] : await loadRecently();
			const account = ledger.account(program);
			if (!account || !records) {
				return false;
			}

			// Another call may have recovered it meanwhile, and calls granted since must not be counted again.
			if (!account.isComplete) {
				const stored = records.filter(record => record.program === program);
				const recorded = as<Tokens>(highest(stored));
				const until = as<Milliseconds>(clock.wall() + Math.max(0, ...stored.map(record => record.retention)));
				const unaccounted = unaccountedIn(stored, account);
				ledger.restore({
					program, recorded, until, unaccounted, retention: account.retention,
				}, clock.now());
				options.onEvent({
					kind: 'recovered', program, recorded, unaccounted,
				});
			}

			return true;
		},
	};
}
