/**
Time and randomness as injected dependencies, so that decisions and tests do not depend on the system clock.
*/
import {type Milliseconds} from './id.js';

export type Clock = {
	/** Monotonic time since an arbitrary origin. */
	readonly now: () => Milliseconds;
	/** Wall-clock time since the epoch, for values that outlive the process. */
	readonly wall: () => Milliseconds;
	/** Resolves after the duration, or as soon as the signal aborts. */
	readonly sleep: (duration: Milliseconds, signal?: AbortSignal) => Promise<void>;
};

export type Random = {
	/** Uniform in [0, 1). */
	readonly fraction: () => number;
	/** Lower-case identifier that is unique and cannot be guessed. */
	readonly unique: () => string;
};
