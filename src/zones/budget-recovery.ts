/**
Recovery of what a program used, for an instance at its home that knows only of the record: it started after the others
had lost their memory, or took over from instances that were all lost. Another instance of the home may hold the account;
if none does, what the store has recorded counts as used.
*/
import {type Clock} from '../contracts/clock.js';
import {type Milliseconds, type ProgramId} from '../contracts/id.js';
import {type TokenLedger} from '../contracts/token-ledger.js';
import {type BudgetEvent} from './budget-event.js';
import {type BudgetRecords, type StoredRecord} from './budget-records.js';
import {restoreRecords} from './record-restoration.js';
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
				const unaccounted = restoreRecords(program, stored, account.retention, {ledger, clock, home: options.self().dataCentre});
				ledger.setComplete(program, true);
				options.onEvent({
					kind: 'recovered', program, recorded: ledger.recorded(program), unaccounted,
				});
			}

			return true;
		},
	};
}
