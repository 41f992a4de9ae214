/**
The real clock and the real source of randomness.
*/
import {randomBytes} from 'node:crypto';
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

		// Not the timer of node:timers/promises, which builds an error for each sleep that ends early.
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

/** Cryptographically strong identifiers. */
export const systemRandom: Random = {
	fraction: () => randomBytes(4).readUInt32BE() / (2 ** 32),
	unique: () => randomBytes(uniqueBytes).toString('hex'),
};

export type StopSignals = {
	/** Resolves with the name of the next signal to stop. */
	readonly next: () => Promise<NodeJS.Signals>;
};

/** Listens for SIGTERM and SIGINT from now on; none of them ends the process by itself. */
export function listenForStopSignals(): StopSignals {
	const arrived: NodeJS.Signals[] = [];
	let waiting = createDeferred<void>();
	const arrive = (name: NodeJS.Signals) => {
		arrived.push(name);
		waiting.resolve();
	};

	process.on('SIGTERM', arrive);
	process.on('SIGINT', arrive);

	return {
		async next() {
			for (;;) {
				const name = arrived.shift();
				if (name !== undefined) {
					return name;
				}

				waiting = createDeferred<void>();
				await waiting.promise;
			}
		},
	};
}
