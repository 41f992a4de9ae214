/**
Warm-up of an instance: before it counts budgets it has to know what programs have used. Peers that were
there before send it the accounts that it keeps; when there are none, everyone has lost its memory, and
the store's records say what may have been used.
*/
import {type Clock} from '../contracts/clock.js';
import {as, type Address, type Milliseconds} from '../contracts/id.js';
import {type TokenLedger} from '../contracts/token-ledger.js';
import {type BudgetRecords} from './budget-records.js';

/** Time in which peers that see this instance come send it accounts. */
const handOverMs = 700;

/** Time for finding a warm peer before the store is asked: seeds answer within milliseconds. */
const searchMs = 300;

/** Pause between two tries. */
const retryMs = 150;

/** How often an instance with peers checks that it still has some, in ms. */
const companyMs = 2000;

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
	/** Asks seeds and known peers. */
	readonly meet: () => Promise<void>;
	readonly joinAt: (address: Address) => Promise<void>;
	/**
	Makes this instance known to everyone in its data centre, so that they hand accounts over, and fetches the
	homes of programs from a warm peer. Resolves to whether it has them.
	*/
	readonly fetchHomes: () => Promise<boolean>;
	readonly records: BudgetRecords;
	readonly ledger: TokenLedger;
	readonly clock: Clock;
	readonly onEvent: (event: WarmUpEvent) => void;
};

/** Creates the warm-up of an instance that has just started. */
export function createWarmUp(options: WarmUpOptions): WarmUp {
	const {clock, records, ledger} = options;
	let isWarm = false;

	function finish(source: 'first-start' | 'peers' | 'store', count: number): void {
		isWarm = true;
		options.onEvent({kind: 'warm', source, records: count});
	}

	async function loadRecords(): Promise<void> {
		const loaded = await records.load();
		if (loaded.isErr()) {
			options.onEvent({kind: 'records-unavailable', reason: loaded.error.message});
			return;
		}

		const {records: stored, addresses} = loaded.value;
		for (const record of stored) {
			ledger.restore(record.program, record.used, record.retention, clock.now());
		}

		finish('store', stored.length);
		await Promise.all(addresses.map(async address => options.joinAt(address)));
	}

	async function takeOver(signal: AbortSignal): Promise<void> {
		const isComplete = await options.fetchHomes();
		if (isComplete) {
			await clock.sleep(as<Milliseconds>(handOverMs), signal);
			finish('peers', ledger.programs().length);
		}
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
				await takeOver(signal);
			} else if (clock.now() - startedAt >= searchMs) {
				await loadRecords();
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
				await options.meet();
			}

			await clock.sleep(as<Milliseconds>(options.hasNoPeers() ? retryMs : companyMs), signal);
		}
	}

	return {
		isWarm: () => isWarm,
		async run(signal) {
			await Promise.all([warm(signal), findPeers(signal)]);
		},
	};
}
