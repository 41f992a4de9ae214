/**
Retirement of a machine with a disk: the operator requests that its data be moved off, and the machine reports when this is
done. A machine that keeps nothing reports at once. One that keeps turns reports that it is being emptied, and takes part
in the deployment again if the request is withdrawn before the end.
*/
import {isDeepStrictEqual} from 'node:util';
import {type Clock, type Random} from '../contracts/clock.js';
import {
	as, type InstanceId, type Milliseconds, type ObjectName,
} from '../contracts/id.js';
import {type ObjectStore, type VersionedObject, type WriteResult} from '../contracts/object-store.js';
import {createStoreWatch, type StoreWatchEvent} from '../zones/store-watch.js';

/** Duration of one watch: a machine has seconds to be emptied, and each watch costs a call to the store. */
const watchTimeoutMs = 10_000;

/** Delay before a report that was not written is sent again. */
const retryDelayMs = 500;

export type RetirementEvent
	= | {readonly kind: 'requested'}
		| {readonly kind: 'withdrawn'}
		| {readonly kind: 'reported'; readonly result: WriteResult['kind']}
		| {readonly kind: 'store-lost'; readonly reason: string};

export type Retirement = {
	readonly run: (signal: AbortSignal) => Promise<void>;
};

/** Emptying of a machine that may keep data. */
export type Emptying = {
	/** Whether there may be anything to move. */
	readonly isNeeded: () => boolean;
	/** Status that the machine reports meanwhile. */
	readonly status: unknown;
	/** Moves everything; resolves before that only if the signal aborts. */
	readonly run: (signal: AbortSignal) => Promise<void>;
};

export type RetirementOptions = {
	readonly id: InstanceId;
	readonly store: ObjectStore;
	/** Object kind of the operator's requests, which are named after machines. */
	readonly objects: string;
	/** Status that a machine reports when it is empty. */
	readonly status: unknown;
	/** Absent on a machine that keeps nothing. */
	readonly emptying?: Emptying;
	readonly clock: Clock;
	readonly random: Random;
	readonly onEvent: (event: RetirementEvent) => void;
};

type State
	= | {readonly kind: 'in-use'}
		/** `stopped` aborts when the request is withdrawn or the process ends. */
		| {readonly kind: 'emptying'; readonly stopped: AbortController}
		| {readonly kind: 'empty'};

/** Creates the retirement of a machine, not yet requested by the operator. */
export function createRetirement(options: RetirementOptions): Retirement {
	const {store, clock, emptying} = options;
	const name = as<ObjectName>(options.id);
	let state: State = {kind: 'in-use'};

	/** Writes a status until it is stored, the request is gone or the signal aborts. */
	async function report(status: unknown, signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const result = await store.putStatus(options.objects, name, status);
			options.onEvent({kind: 'reported', result: result.kind});
			if (result.kind === 'written' || result.kind === 'absent') {
				return;
			}

			await clock.sleep(as<Milliseconds>(retryDelayMs), signal);
		}
	}

	async function empty(parts: Emptying, signal: AbortSignal): Promise<void> {
		const ended = new AbortController();
		const reporting = report(parts.status, AbortSignal.any([signal, ended.signal]));
		await parts.run(signal);
		ended.abort();
		// A report that is still under way must not replace the one of the end.
		await reporting;
	}

	async function retire(stopped: AbortController): Promise<void> {
		options.onEvent({kind: 'requested'});
		if (emptying?.isNeeded()) {
			await empty(emptying, stopped.signal);
		}

		if (!stopped.signal.aborted) {
			state = {kind: 'empty'};
			await report(options.status, stopped.signal);
		}
	}

	function onRequest(object: VersionedObject, signal: AbortSignal): void {
		switch (state.kind) {
			case 'in-use': {
				const stopped = new AbortController();
				signal.addEventListener('abort', () => {
					stopped.abort();
				}, {once: true, signal: stopped.signal});
				state = {kind: 'emptying', stopped};
				void retire(stopped);
				return;
			}

			case 'emptying': {
				return;
			}

			case 'empty': {
				// An earlier report whose outcome was unknown may take effect after that of the end.
				if (emptying && isDeepStrictEqual(object.status, emptying.status)) {
					void report(options.status, signal);
				}

				break;
			}
		}
	}

	/** The operator also removes the request of a machine that is empty, once it is gone. */
	function onWithdrawal(): void {
		if (state.kind === 'emptying') {
			options.onEvent({kind: 'withdrawn'});
			state.stopped.abort();
			state = {kind: 'in-use'};
		}
	}

	return {
		async run(signal) {
			const onEvent = (event: StoreWatchEvent) => {
				switch (event.kind) {
					case 'listed': {
						const own = event.list.objects.find(object => object.name === name);
						if (own) {
							onRequest(own, signal);
						} else {
							onWithdrawal();
						}

						return;
					}

					case 'changed': {
						for (const change of event.changes.filter(({object}) => object.name === name)) {
							if (change.isDeleted) {
								onWithdrawal();
							} else {
								onRequest(change.object, signal);
							}
						}

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
