/**
Retirement of a machine with a disk: the operator requests that its data be moved off, and the machine reports
when this is done. The system keeps no durable data on the disk, so the machine reports at once.
*/
import {type Clock, type Random} from '../contracts/clock.js';
import {
	as, type InstanceId, type Milliseconds, type ObjectName,
} from '../contracts/id.js';
import {type ObjectStore, type WriteResult} from '../contracts/object-store.js';
import {createStoreWatch, type StoreWatchEvent} from '../zones/store-watch.js';

/** Duration of one watch: a machine has seconds to be emptied, and each watch costs a call to the store. */
const watchTimeoutMs = 10_000;

/** Delay before a report that was not written is sent again. */
const retryDelayMs = 500;

export type RetirementEvent
	= | {readonly kind: 'requested'}
		| {readonly kind: 'reported'; readonly result: WriteResult['kind']}
		| {readonly kind: 'store-lost'; readonly reason: string};

export type Retirement = {
	readonly run: (signal: AbortSignal) => Promise<void>;
};

export type RetirementOptions = {
	readonly id: InstanceId;
	readonly store: ObjectStore;
	/** Object kind of the operator's requests, which are named after machines. */
	readonly objects: string;
	/** Status that a machine reports when it is empty. */
	readonly status: unknown;
	readonly clock: Clock;
	readonly random: Random;
	readonly onEvent: (event: RetirementEvent) => void;
};

/** Creates the retirement of a machine, not yet requested by the operator. */
export function createRetirement(options: RetirementOptions): Retirement {
	const {store, clock} = options;
	const name = as<ObjectName>(options.id);
	let isRequested = false;

	async function report(signal: AbortSignal): Promise<void> {
		options.onEvent({kind: 'requested'});
		while (!signal.aborted) {
			const result = await store.putStatus(options.objects, name, options.status);
			options.onEvent({kind: 'reported', result: result.kind});
			if (result.kind === 'written' || result.kind === 'absent') {
				return;
			}

			await clock.sleep(as<Milliseconds>(retryDelayMs), signal);
		}
	}

	return {
		async run(signal) {
			const request = (names: readonly ObjectName[]) => {
				if (!isRequested && names.includes(name)) {
					isRequested = true;
					void report(signal);
				}
			};

			const onEvent = (event: StoreWatchEvent) => {
				switch (event.kind) {
					case 'listed': {
						request(event.list.objects.map(object => object.name));
						return;
					}

					case 'changed': {
						request(event.changes.filter(change => !change.isDeleted).map(change => change.object.name));
						return;
					}

					case 'lost': {
						options.onEvent({kind: 'store-lost', reason: event.failure.message});
					}
				}
			};

			await createStoreWatch({
				store, objects: options.objects, wait: as<Milliseconds>(watchTimeoutMs), clock, random: options.random, onEvent,
			}).run(signal);
		},
	};
}
