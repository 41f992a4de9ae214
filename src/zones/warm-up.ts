/**
Warm-up of an instance: before it grants budgets it has to recover what programs have used. Peers that have been
running send it the accounts that it coordinates or replicates. If none of them is in its data centre, they know the
homes of most programs; of the others the records in the store count as used. When there are none at all, all instances have lost their
memory, and the records in the store show what may have been used. Other instances then start at the same time, and
each would grant as if it were the only one. So an instance introduces itself to all that have records before it reads
the records that count: any other instance either knows it by then, or has recorded what it granted without it.
*/
import {type Clock} from '../contracts/clock.js';
import {
	as, type Address, type Milliseconds, type ProgramId,
} from '../contracts/id.js';
import {type TokenLedger} from '../contracts/token-ledger.js';
import {type BudgetRecords, type StoredRecord, type StoredRecords} from './budget-records.js';
import {restoreRecords} from './record-restoration.js';
import {withTimeout} from './with-timeout.js';

/** Time within which peers that see this instance join send it accounts. */
const handoverMs = 700;

/** Time for finding a warm peer before the records are loaded from the store; seeds answer within milliseconds. */
const searchMs = 300;

/** Delay between two attempts. */
const retryMs = 150;

/** Interval at which an instance with peers checks that it still has some, in ms. */
const peerCheckIntervalMs = 2000;

export type WarmUpEvent
	= | {readonly kind: 'warm'; readonly source: 'first-start' | 'peers' | 'store'; readonly records: number}
		| {readonly kind: 'records-unavailable'; readonly reason: string};

export type WarmUp = {
	readonly isWarm: () => boolean;
	readonly run: (signal: AbortSignal) => Promise<void>;
};

export type WarmUpOptions = {
	readonly isFirstStart: boolean;
	/** Whether no other instance is known. */
	readonly hasNoPeers: () => boolean;
	readonly hasWarmPeer: () => boolean;
	/** Whether a peer in this data centre is warm. */
	readonly hasWarmNeighbour: () => boolean;
	/** Fetches the member lists of seeds and known peers. */
	readonly joinCluster: () => Promise<void>;
	/** Makes this instance and those at the addresses known to each other. Resolves when they have replied or timed out. */
	readonly contact: (addresses: readonly Address[]) => Promise<void>;
	/**
	Announces this instance to all members of its data centre, so that they hand over accounts, and fetches the homes
	of programs from a warm peer. Resolves to whether that succeeded.
	*/
	readonly fetchHomes: () => Promise<boolean>;
	readonly records: Pick<BudgetRecords, 'load'>;
	readonly ledger: TokenLedger;
	readonly clock: Clock;
	readonly onEvent: (event: WarmUpEvent) => void;
};

function groupByProgram(records: readonly StoredRecord[]): ReadonlyMap<ProgramId, readonly StoredRecord[]> {
	const groups = new Map<ProgramId, StoredRecord[]>();
	for (const record of records) {
		const group = groups.get(record.program) ?? [];
		group.push(record);
		groups.set(record.program, group);
	}

	return groups;
}

/** Creates the warm-up of an instance that has just started. */
export function createWarmUp(options: WarmUpOptions): WarmUp {
	const {clock, records, ledger} = options;
	let isWarm = false;

	function finish(source: 'first-start' | 'peers' | 'store', count: number): void {
		isWarm = true;
		options.onEvent({kind: 'warm', source, records: count});
	}

	async function loadRecords(): Promise<StoredRecords | undefined> {
		const loaded = await records.load();
		if (loaded.isErr()) {
			options.onEvent({kind: 'records-unavailable', reason: loaded.error.message});
			return undefined;
		}

		return loaded.value;
	}

	function restore(stored: StoredRecords['records']): void {
		for (const [program, ofProgram] of groupByProgram(stored)) {
			const retention = as<Milliseconds>(Math.max(...ofProgram.map(record => record.retention)));
			restoreRecords(program, ofProgram, retention, {ledger, clock, home: undefined});
		}
	}

	async function recoverFromStore(): Promise<void> {
		const found = await loadRecords();
		if (!found) {
			return;
		}

		await options.contact(found.addresses);
		const latest = await loadRecords();
		if (!latest) {
			return;
		}

		restore(latest.records);
		finish('store', latest.records.length);
	}

	async function recoverFromPeers(signal: AbortSignal): Promise<void> {
		const hasNeighbour = options.hasWarmNeighbour();
		if (!await options.fetchHomes()) {
			return;
		}

		const handover = clock.sleep(as<Milliseconds>(handoverMs), signal);
		if (!hasNeighbour) {
			const loaded = await withTimeout(clock, handoverMs, loadRecords());
			restore(loaded?.records.filter(({program}) => ledger.home(program) === undefined) ?? []);
		}

		await handover;
		finish('peers', ledger.programs().length);
	}

	async function warm(signal: AbortSignal): Promise<void> {
		if (options.isFirstStart) {
			finish('first-start', 0);
			return;
		}

		const startedAt = clock.now();
		for (;;) {
			await clock.sleep(as<Milliseconds>(retryMs), signal);
			if (signal.aborted) {
				return;
			}

			if (options.hasWarmPeer()) {
				await recoverFromPeers(signal);
			} else if (clock.now() - startedAt >= searchMs) {
				await recoverFromStore();
			}

			if (isWarm) {
				return;
			}
		}
	}

	/** Looks for other instances while none is known. */
	async function findPeers(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			if (options.hasNoPeers()) {
				await options.joinCluster();
			}

			await clock.sleep(as<Milliseconds>(options.hasNoPeers() ? retryMs : peerCheckIntervalMs), signal);
		}
	}

	return {
		isWarm: () => isWarm,
		async run(signal) {
			await Promise.all([warm(signal), findPeers(signal)]);
		},
	};
}
