/**
Watchdog: notices that nothing has come for longer than usual.
*/
import {type Clock} from '../contracts/clock.js';
import {as, type Milliseconds} from '../contracts/id.js';

export type Watchdog = {
	/** Something came. */
	readonly touch: () => void;
	readonly stop: () => void;
};

export type WatchdogOptions = {
	readonly clock: Clock;
	/** Longest usual silence now, in ms. */
	readonly limit: () => number;
	/** Called once, when the limit has passed; returns whether that ends the watch. */
	readonly onSilence: () => boolean;
};

/** Starts watching. */
export function startWatchdog(options: WatchdogOptions): Watchdog {
	const {clock} = options;
	const ending = new AbortController();
	let touchedAt = clock.now();

	async function watch(): Promise<void> {
		while (!ending.signal.aborted) {
			const left = touchedAt + options.limit() - clock.now();
			if (left <= 0 && options.onSilence()) {
				return;
			}

			await clock.sleep(as<Milliseconds>(Math.max(1, left > 0 ? left : options.limit())), ending.signal);
		}
	}

	void watch();
	return {
		touch() {
			touchedAt = clock.now();
		},
		stop() {
			ending.abort();
		},
	};
}
