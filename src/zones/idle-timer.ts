/**
Idle timer: reports that nothing was received for longer than a limit, which may change over time.
*/
import {type Clock} from '../contracts/clock.js';
import {as, type Milliseconds} from '../contracts/id.js';

export type IdleTimer = {
	/** Restarts the timeout; called when something is received. */
	readonly restart: () => void;
	readonly stop: () => void;
};

export type IdleTimerOptions = {
	readonly clock: Clock;
	/** Current idle timeout, in ms. */
	readonly limit: () => number;
	/** Called when the limit has passed. Returns true to stop the timer, or false to be called again after another limit. */
	readonly onTimeout: () => boolean;
};

/** Starts the timer. */
export function startIdleTimer(options: IdleTimerOptions): IdleTimer {
	const {clock} = options;
	const ending = new AbortController();
	let restartedAt = clock.now();

	async function watch(): Promise<void> {
		while (!ending.signal.aborted) {
			const remaining = restartedAt + options.limit() - clock.now();
			if (remaining <= 0 && options.onTimeout()) {
				return;
			}

			await clock.sleep(as<Milliseconds>(Math.max(1, remaining > 0 ? remaining : options.limit())), ending.signal);
		}
	}

	void watch();
	return {
		restart() {
			restartedAt = clock.now();
		},
		stop() {
			ending.abort();
		},
	};
}
