/**
How long records are held, and how long one that was lost may have had to be held.
*/
import {type Clock} from '../../contracts/clock.js';
import {as, type Milliseconds} from '../../contracts/id.js';

/**
Time for which turns are kept beyond their retention, which begins at the end of the response: an entry may be paused
between the acknowledgement of the copies and the end.
*/
const marginMs = 30_000;

/** Retention for which an absent turn may be one that was lost, unless a longer one is known. */
const assumedRetentionMs = 60_000;

/** The same for records of used tokens, which are kept for twice the retention of a program, of 60 s. */
const assumedUsedRetentionMs = 120_000;

export type Retention = {
	/** When a record with a retention expires that is kept now. */
	readonly expiryOf: (retention: Milliseconds) => Milliseconds;
	/** Retention with which a copy of a record expires when the record does. */
	readonly remaining: (expiresAt: Milliseconds) => Milliseconds;
	/** Longest time for which a turn that was lost may have had to be held, and a record of used tokens. */
	readonly longestTurn: () => Milliseconds;
	readonly longestUsed: () => Milliseconds;
};

/** Creates the retention of a store that has held nothing yet. */
export function createRetention(clock: Clock): Retention {
	let longest = as<Milliseconds>(assumedRetentionMs);
	return {
		expiryOf(retention) {
			longest = as<Milliseconds>(Math.max(longest, retention));
			return as<Milliseconds>(clock.now() + retention + marginMs);
		},
		remaining: expiresAt => as<Milliseconds>(Math.max(0, expiresAt - clock.now() - marginMs)),
		longestTurn: () => as<Milliseconds>(longest + marginMs),
		longestUsed: () => as<Milliseconds>(Math.max(longest, assumedUsedRetentionMs) + marginMs),
	};
}
