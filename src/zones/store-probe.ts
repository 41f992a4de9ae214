/**
Contact of an instance with the store: small reads in a steady rhythm. A call that waits for changes says nothing
about the store while it waits, and a connection may fall silent without being closed.
*/
import {type Clock} from '../contracts/clock.js';
import {type Failure} from '../contracts/failure.js';
import {as, type Milliseconds} from '../contracts/id.js';
import {type ObjectStore} from '../contracts/object-store.js';

/** Time between two reads, in ms; a change has to be in force everywhere within two seconds. */
const probeMs = 400;

/** Time after which a read counts as unanswered, in ms; a slow store takes 240. */
const probeTimeoutMs = 400;

export type StoreProbeEvent
	= | {readonly kind: 'confirmed'; readonly at: Milliseconds; readonly wasLost: boolean}
		| {readonly kind: 'lost'; readonly failure: Failure; readonly wasLost: boolean};

export type StoreProbe = {
	/** Begin of the last read that the store answered, unless a later one failed. */
	readonly confirmedAt: () => Milliseconds | undefined;
	/** Whether the store did not answer the last read. */
	readonly isLost: () => boolean;
	/** Reads until the signal aborts. */
	readonly run: (signal: AbortSignal) => Promise<void>;
};

export type StoreProbeOptions = {
	readonly store: Pick<ObjectStore, 'probe'>;
	readonly clock: Clock;
	readonly onEvent: (event: StoreProbeEvent) => void;
};

/** Creates the contact of an instance that has not asked the store yet. */
export function createStoreProbe({store, clock, onEvent}: StoreProbeOptions): StoreProbe {
	let confirmedAt: Milliseconds | undefined;
	let isLost = false;

	async function probe(signal: AbortSignal): Promise<void> {
		const startedAt = clock.now();
		const result = await store.probe(as<Milliseconds>(probeTimeoutMs), signal);
		if (signal.aborted) {
			return;
		}

		const wasLost = isLost;
		isLost = result.isErr();
		result.match(() => {
			confirmedAt = startedAt;
			onEvent({kind: 'confirmed', at: startedAt, wasLost});
		}, failure => {
			confirmedAt = undefined;
			onEvent({kind: 'lost', failure, wasLost});
		});
	}

	return {
		confirmedAt: () => confirmedAt,
		isLost: () => isLost,
		async run(signal) {
			while (!signal.aborted) {
				const startedAt = clock.now();
				await probe(signal);
				await clock.sleep(as<Milliseconds>(Math.max(0, startedAt + probeMs - clock.now())), signal);
			}

			confirmedAt = undefined;
		},
	};
}
