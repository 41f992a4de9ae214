/**
The real clock and the real source of randomness.
*/
import {randomBytes} from 'node:crypto';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {type Clock, type Random} from '../contracts/clock.js';
import {as, type Milliseconds} from '../contracts/id.js';

const uniqueBytes = 12;

/** Clock of this machine. */
export const systemClock: Clock = {
	now: () => as<Milliseconds>(performance.now()),
	wall: () => as<Milliseconds>(Date.now()),
	async sleep(duration, signal) {
		try {
			await delay(duration, undefined, {ref: true, ...(signal && {signal})});
		} catch {
			// An aborted sleep ends early; the caller looks at its signal.
		}
	},
};

/** Cryptographically strong identifiers. */
export const systemRandom: Random = {
	fraction: () => randomBytes(4).readUInt32BE() / (2 ** 32),
	unique: () => randomBytes(uniqueBytes).toString('hex'),
};

/** Resolves with the name of the first of the signals that arrives. */
export async function nextSignal(names: readonly NodeJS.Signals[]): Promise<NodeJS.Signals> {
	return new Promise(resolve => {
		for (const name of names) {
			process.once(name, () => {
				resolve(name);
			});
		}
	});
}
