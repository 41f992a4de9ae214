/**
Decides which request is given up when those of all clients hold too much memory, or are too many. Requests count from their head
until they have ended, since bodies are kept to be sent again. The largest is given up first, so that ordinary requests, which are
small, go on whatever others send. Sizes are compared by their power of two, the oldest of a size first: of many similar bodies
that do not end, it is never the one that has just arrived. A request that is complete may be running, so it is given up only for
much smaller ones.
*/
import {type Bytes} from '../contracts/id.js';

/** How many powers of two a complete request has to be larger than any incomplete one to be given up first. */
const completeAdvantage = 3;

export type HeldRequest = {
	/** Updates the memory that the request takes. */
	readonly set: (bytes: number) => void;
	/** Records that the body is complete. */
	readonly complete: () => void;
	/** Ends the holding; further updates have no effect. */
	readonly release: () => void;
};

/** Why a request was given up. */
export type GivenUp = {readonly kind: 'memory' | 'requests'; readonly bytes: number; readonly isBodyComplete: boolean};

export type HeldRequests = {
	/** Adds a request whose body is incomplete. `giveUp` may be called before this returns; the holding has ended by then. */
	readonly open: (bytes: number, giveUp: (cause: GivenUp) => void) => HeldRequest;
	readonly total: () => number;
	readonly count: () => number;
};

export type RequestLimits = {
	readonly requests: number;
	/** Memory of all requests; may change with the configuration. */
	readonly bytes: () => Bytes;
};

type Entry = {bytes: number; isBodyComplete: boolean; readonly giveUp: (cause: GivenUp) => void};

/** Creates the requests of a listener, none at first. */
export function createHeldRequests(limits: RequestLimits): HeldRequests {
	/** The oldest first. */
	const entries = new Set<Entry>();
	let total = 0;

	function end(entry: Entry): boolean {
		const isHeld = entries.delete(entry);
		total -= isHeld ? entry.bytes : 0;
		return isHeld;
	}

	function rankOf({bytes, isBodyComplete}: Entry): number {
		return Math.ceil(Math.log2(bytes)) - (isBodyComplete ? completeAdvantage : 0);
	}

	/** The largest; of the same rank an incomplete one first, then the oldest. */
	function largest(): Entry | undefined {
		let found: Entry | undefined;
		let highest = -Infinity;
		for (const entry of entries) {
			const rank = rankOf(entry);
			if (rank > highest || (rank === highest && found?.isBodyComplete && !entry.isBodyComplete)) {
				found = entry;
				highest = rank;
			}
		}

		return found;
	}

	function oldestIncomplete(): Entry | undefined {
		for (const entry of entries) {
			if (!entry.isBodyComplete) {
				return entry;
			}
		}

		return undefined;
	}

	function giveUp(entry: Entry, kind: GivenUp['kind']): void {
		end(entry);
		entry.giveUp({kind, bytes: entry.bytes, isBodyComplete: entry.isBodyComplete});
	}

	function enforceBytes(): void {
		for (let entry = largest(); entry && total > limits.bytes(); entry = largest()) {
			giveUp(entry, 'memory');
		}
	}

	return {
		total: () => total,
		count: () => entries.size,
		open(bytes, onGivenUp) {
			const entry: Entry = {bytes, isBodyComplete: false, giveUp: onGivenUp};
			entries.add(entry);
			total += bytes;
			const excess = entries.size > limits.requests ? oldestIncomplete() : undefined;
			if (excess) {
				giveUp(excess, 'requests');
			}

			enforceBytes();
			return {
				set(newBytes) {
					if (entries.has(entry)) {
						total += newBytes - entry.bytes;
						entry.bytes = newBytes;
						enforceBytes();
					}
				},
				complete() {
					entry.isBodyComplete = true;
				},
				release() {
					end(entry);
				},
			};
		},
	};
}
