/**
Health probe of the store: small reads at a fixed interval. A watch request shows nothing about the store while it
waits, and a connection may stop responding without being closed.
*/
import {type Clock} from '../contracts/clock.js';
import {type Failure} from '../contracts/failure.js';
import {as, type Milliseconds} from '../contracts/id.js';
import {type ObjectStore} from '../contracts/object-store.js';

/** Interval of the probes, in ms; a change has to be in effect everywhere within two seconds. */
const probeIntervalMs = 400;

/** Timeout of a probe, in ms; a slow store takes 240 ms. */
const probeTimeoutMs = 400;

export type StoreProbeEvent
	= | {readonly kind: 'confirmed'; readonly at: Milliseconds; readonly wasLost: boolean}
		| {readonly kind: 'lost'; readonly failure: Failure; readonly wasLost: boolean};

export type StoreProbe = {
	/** Start of the last probe that the store answered, unless a later one failed. */
	readonly confirmedAt: () => Milliseconds | undefined;
	/** Whether the last probe failed. */
	readonly isLost: () => boolean;
	/** Probes until the signal aborts. */
	readonly run: (signal: AbortSignal) => Promise<void>;
};

export type StoreProbeOptions = {
	readonly store: Pick<ObjectStore, 'probe'>;
	readonly clock: Clock;
	readonly onEvent: (event: StoreProbeEvent) => void;
};

/** Creates the probe of an instance that has not contacted the store yet. */
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
				await clock.sleep(as<Milliseconds>(Math.max(0, startedAt + probeIntervalMs - clock.now())), signal);
			}

			confirmedAt = undefined;
		},
	};
}
