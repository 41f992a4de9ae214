/**
Time and randomness as arguments, so that decisions and tests do not depend on the wall clock.
*/
import {type Milliseconds} from './id.js';

export type Clock = {
	/** Monotonic time since an arbitrary origin. */
	readonly now: () => Milliseconds;
	/** Wall-clock time since the epoch, for values that outlive the process. */
	readonly wall: () => Milliseconds;
	/** Resolves after the duration, or at once when the signal aborts. */
	readonly sleep: (duration: Milliseconds, signal?: AbortSignal) => Promise<void>;
};

export type Random = {
	/** Uniform in [0, 1). */
	readonly fraction: () => number;
	/** Lower-case identifier that cannot be guessed. */
	readonly unique: () => string;
};
