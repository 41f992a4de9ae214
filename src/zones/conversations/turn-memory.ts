/**
Memory that the turns in progress of an instance take together: the chains that are read for them, their bodies and
their recorded outputs. A turn that does not fit is given up rather than another one, as it has the least to lose.
*/

export type TurnMemory = {
	/** Starts the share of a turn, of no bytes. */
	readonly open: () => MemoryShare;
	readonly total: () => number;
};

export type MemoryShare = {
	/** Adds bytes to the share. Returns whether they fit; otherwise the share stays as it is. */
	readonly add: (bytes: number) => boolean;
	/** Ends the share. */
	readonly release: () => void;
};

/** Creates the memory of an instance; `limit` is in bytes. */
export function createTurnMemory(limit: number): TurnMemory {
	let total = 0;
	return {
		total: () => total,
		open() {
			let own = 0;
			let isReleased = false;
			return {
				add(bytes) {
					if (isReleased || total + bytes > limit) {
						return false;
					}

					own += bytes;
					total += bytes;
					return true;
				},
				release() {
					isReleased = true;
					total -= own;
					own = 0;
				},
			};
		},
	};
}
