/**
Shares the event loop between connections whose bodies come in very small chunks. Node.js makes a call for each chunk, and one read
of a socket may hold ten thousand: many such connections would keep the loop for seconds. A connection that has delivered many
chunks in a round of the loop waits for its turn; those that wait are read one at a time, with a pause between them for all others.
*/

/** Chunks in a round above which a connection waits; ordinary bodies have fewer. */
const chunksPerRound = 256;

/** Pause between two turns while several connections wait; a read with the smallest chunks takes about as long. */
const turnIntervalMs = 10;

export type Reading = {
	/** Stops reading from the connection. */
	readonly pause: () => void;
	readonly resume: () => void;
};

export type ReadTurns = {
	/** Adds a connection. Returns a function to be called for each chunk that it delivers. */
	readonly add: (reading: Reading) => () => void;
};

/** Creates the turns of a listener. */
export function createReadTurns(): ReadTurns {
	const waiting: Reading[] = [];
	let round = 0;
	let isRoundCounted = false;

	function endRound(): void {
		round++;
		isRoundCounted = false;
	}

	function scheduleTurn(): void {
		if (waiting.length > 1) {
			setTimeout(takeTurn, turnIntervalMs);
		} else if (waiting.length === 1) {
			setImmediate(takeTurn);
		}
	}

	function takeTurn(): void {
		waiting.shift()?.resume();
		scheduleTurn();
	}

	return {
		add(reading) {
			let countedRound = -1;
			let chunks = 0;
			return () => {
				if (countedRound !== round) {
					countedRound = round;
					chunks = 0;
				}

				if (!isRoundCounted) {
					isRoundCounted = true;
					setImmediate(endRound);
				}

				if (++chunks === chunksPerRound) {
					reading.pause();
					waiting.push(reading);
					if (waiting.length === 1) {
						scheduleTurn();
					}
				}
			};
		},
	};
}
