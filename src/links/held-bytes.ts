/**
Bytes of responses that a process holds: bodies and events that are not yet whole, and what callers have not taken yet. Each
response has a limit of its own, but many at once can still exceed the memory of an instance. So they share a limit, and
whichever response holds most is given up when it is exceeded.
*/

/** Maximum number of bytes that all responses of a process hold together. */
export const maximumHeldBytes = 8 * 1024 * 1024;

export type Holding = {
	/** Updates the number of bytes that the response holds. */
	readonly set: (bytes: number) => void;
	/** Ends the holding; further updates have no effect. */
	readonly release: () => void;
};

export type HeldBytes = {
	/** Starts a holding of no bytes. `onExceeded` gives the response up; the holding has ended by then. */
	readonly open: (onExceeded: () => void) => Holding;
	readonly total: () => number;
};

type Entry = {bytes: number; readonly onExceeded: () => void};

/** Creates the count of a process; `limit` is in bytes. */
export function createHeldBytes(limit: number): HeldBytes {
	const entries = new Set<Entry>();
	let total = 0;

	function end(entry: Entry): void {
		if (entries.delete(entry)) {
			total -= entry.bytes;
		}
	}

	function largest(): Entry | undefined {
		let found: Entry | undefined;
		for (const entry of entries) {
			found = !found || entry.bytes > found.bytes ? entry : found;
		}

		return found;
	}

	function enforceLimit(): void {
		for (let entry = largest(); entry && total > limit; entry = largest()) {
			end(entry);
			entry.onExceeded();
		}
	}

	return {
		total: () => total,
		open(onExceeded) {
			const entry: Entry = {bytes: 0, onExceeded};
			entries.add(entry);
			return {
				set(bytes) {
					if (entries.has(entry)) {
						total += bytes - entry.bytes;
						entry.bytes = bytes;
						if (total > limit) {
							enforceLimit();
						}
					}
				},
				release() {
					end(entry);
				},
			};
		},
	};
}
