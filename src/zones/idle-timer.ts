/**
Watchdog: notices that nothing has come for longer than usual.
*/
import {type Clock} from '../contracts/clock.js';
import {as, type Milliseconds} from '../contracts/id.js';

export type IdleTimer = {
	/** Something came. */
	readonly restart: () => void;
	readonly stop: () => void;
};

export type IdleTimerOptions = {
	readonly clock: Clock;
	/** Longest usual silence now, in ms. */
	readonly limit: () => number;
	/** Called once, when the limit has passed; returns whether that ends the watch. */
	readonly onTimeout: () => boolean;
};

/** Starts watching. */
export function startIdleTimer(options: IdleTimerOptions): IdleTimer {
	const {clock} = options;
	const ending = new AbortController();
	let touchedAt = clock.now();

	async function watch(): Promise<void> {
		while (!ending.signal.aborted) {
			const left = touchedAt + options.limit() - clock.now();
			if (left <= 0 && options.onTimeout()) {
				return;
			}

			await clock.sleep(as<Milliseconds>(Math.max(1, left > 0 ? left : options.limit())), ending.signal);
		}
	}

	void watch();
	return {
		restart() {
			touchedAt = clock.now();
		},
		stop() {
			ending.abort();
		},
	};
}
