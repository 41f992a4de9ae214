/**
Overload of an instance: turns new programs away while its event loop is late, so that it goes on with those that have begun. The share of
new programs that it admits falls quickly while the loop is late, and rises slowly once it is not.

Load that it answers: more work than the instance has processor time for, such as after a data centre has returned. Each answer then takes
longer than its caller waits, and callers who come back add to the work, so that none is served even when the cause is over. A program
that is turned away at its first call has lost nothing; one that is broken off has lost all of its calls. A request that belongs to no program
brings no further ones, and is served.
*/
import {type Random} from '../contracts/clock.js';
import {as, type Milliseconds} from '../contracts/id.js';

/** Smoothed delay of the event loop above which an instance is late, in ms; a call passes through the loop some ten times. */
const lateMs = 50;

/** Longest delay that counts, in ms. A process that stood still for longer, such as on a machine that was suspended, need not be late afterwards. */
const longestMs = 250;

/** Weight of the latest sample in the smoothed delay. */
const smoothing = 0.3;

/** Factor of the admitted share for each sample while the instance is late, and what is added to it while it is not. */
const decrease = 0.7;
const increase = 0.05;

/** Smallest admitted share: the programs that find out whether the instance can serve again. */
const minimumShare = 0.02;

/** Time after which callers return: the shortest, and what is added to it while nothing is admitted. Spread, so that they do not return together. */
const minimumRetryMs = 400;
const fullRetryMs = 1200;

/** Whether a request begins a program, and so brings further calls. */
export type Arrival = {readonly kind: 'begins-program'} | {readonly kind: 'other'};

export type Admission = {readonly kind: 'admitted'} | {readonly kind: 'refused'; readonly retryAfter: Milliseconds};

export type Overload = {
	/** Records a sample of how late the event loop was, which is taken ten times a second. */
	readonly recordDelay: (delay: Milliseconds) => void;
	readonly admit: (arrival: Arrival) => Admission;
	/** Share of the new programs that are admitted. */
	readonly admittedShare: () => number;
};

const admitted: Admission = {kind: 'admitted'};

/** Creates the state of an instance that is not late. */
export function createOverload(random: Random): Overload {
	let smoothed = 0;
	let share = 1;

	function refusal(): Admission {
		const wait = (minimumRetryMs + ((1 - share) * fullRetryMs)) * (1 + random.fraction());
		return {kind: 'refused', retryAfter: as<Milliseconds>(Math.round(wait))};
	}

	return {
		recordDelay(delay) {
			smoothed += smoothing * (Math.min(delay, longestMs) - smoothed);
			share = smoothed > lateMs ? Math.max(minimumShare, share * decrease) : Math.min(1, share + increase);
		},
		admit(arrival) {
			switch (arrival.kind) {
				case 'begins-program': {
					return share === 1 || random.fraction() < share ? admitted : refusal();
				}

				case 'other': {
					return admitted;
				}
			}
		},
		admittedShare: () => share,
	};
}
