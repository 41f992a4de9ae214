/**
System clock, random numbers and stop signals of a process.
*/
import {randomBytes, randomInt} from 'node:crypto';
import process from 'node:process';
import {type Clock, type Random} from '../contracts/clock.js';
import {createDeferred} from '../contracts/deferred.js';
import {as, type Milliseconds} from '../contracts/id.js';

const uniqueBytes = 12;

/** Clock of this machine. */
export const systemClock: Clock = {
	now: () => as<Milliseconds>(performance.now()),
	wall: () => as<Milliseconds>(Date.now()),
	async sleep(duration, signal) {
		if (signal?.aborted) {
			return;
		}

		// Not `setTimeout` of node:timers/promises, which creates an error for each aborted sleep.
		await new Promise<void>(resolve => {
			const wake = () => {
				clearTimeout(timer);
				signal?.removeEventListener('abort', wake);
				resolve();
			};

			const timer = setTimeout(wake, duration);
			signal?.addEventListener('abort', wake, {once: true});
		});
	},
};

/** Cryptographically strong random numbers and ids. */
export const systemRandom: Random = {
	// Unlike `randomBytes`, `randomInt` draws many numbers at once.
	fraction: () => randomInt(2 ** 32) / (2 ** 32),
	unique: () => randomBytes(uniqueBytes).toString('hex'),
};

export type StopSignals = {
	/** Resolves with the name of the next stop signal. */
	readonly next: () => Promise<NodeJS.Signals>;
};

/** Handles SIGTERM and SIGINT from now on, so that neither ends the process by itself. */
export function listenForStopSignals(): StopSignals {
	const received: NodeJS.Signals[] = [];
	let nextSignal = createDeferred<void>();
	const onSignal = (name: NodeJS.Signals) => {
		received.push(name);
		nextSignal.resolve();
	};

	process.on('SIGTERM', onSignal);
	process.on('SIGINT', onSignal);

	return {
		async next() {
			for (;;) {
				const name = received.shift();
				if (name !== undefined) {
					return name;
				}

				nextSignal = createDeferred<void>();
				await nextSignal.promise;
			}
		},
	};
}
