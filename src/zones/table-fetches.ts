/**
Schedule of the fetches of tables from peers, one at a time. Configurations come first, and one is fetched beside another fetch that
takes long, so that a peer that does not respond holds back no other. Nothing else is: fetches also take long when
instances have too little processor time, and then more of them at once would make it worse.

Load that it answers: peers that stop responding while an instance that the store turns away depends on the others.
*/
import {type Clock} from '../contracts/clock.js';
import {as, type Address, type Milliseconds} from '../contracts/id.js';
import {withTimeout} from './with-timeout.js';

/** Duration above which a fetch is long, in ms; a few hundred kilobytes take some dozens of milliseconds. */
const longMs = 250;

/** Time after which a fetch is given up, in ms, whatever its link does. */
const limitMs = 1000;

/** Maximum number of concurrent fetches. */
const maximumConcurrency = 2;

/** What made an instance fetch the tables of a peer. */
export type FetchReason
	/** The peer has a newer configuration. */
	= | 'configuration'
	/** A change of the peer was missed. */
		| 'changes'
	/** The peer is in contact with the store, and its tables differ. */
		| 'contact'
	/** The peer has read a newer list of endpoints while no neighbour is in contact with the store. */
		| 'endpoints';

export type FetchRequest = {
	readonly peer: Address;
	readonly reason: FetchReason;
	/** Whether the tables are still wanted; checked again before the fetch starts. */
	readonly isNeeded: () => boolean;
	/** Earliest time at which the fetch may start. */
	readonly notBefore: () => Milliseconds;
};

export type TableFetchesOptions = {
	readonly clock: Clock;
	/** Fetches the tables of the peer; `waited` is the time since the fetch was requested. */
	readonly run: (request: FetchRequest, waited: Milliseconds) => Promise<void>;
	/** Called when a fetch is given up that its link has not ended. */
	readonly onUnanswered: (request: FetchRequest, took: Milliseconds) => void;
};

export type TableFetches = {
	/** Requests a fetch. A request for a peer that has a waiting one replaces it if it is more urgent. */
	readonly request: (request: FetchRequest) => void;
	/** Duration of the longest current fetch; zero if there is none. */
	readonly longest: () => Milliseconds;
};

type Waiting = FetchRequest & {readonly requestedAt: Milliseconds};

function urgencyOf(reason: FetchReason): number {
	switch (reason) {
		case 'configuration': {
			return 0;
		}

		case 'changes':
		case 'contact': {
			return 1;
		}

		case 'endpoints': {
			return 2;
		}
	}
}

/** Creates an empty schedule. */
export function createTableFetches({clock, run, onUnanswered}: TableFetchesOptions): TableFetches {
	const waiting = new Map<Address, Waiting>();
	const startedAt = new Map<Address, Milliseconds>();
	let wakesAt = Infinity;

	function hasRoomFor({reason}: FetchRequest): boolean {
		if (startedAt.size === 0) {
			return true;
		}

		const now = clock.now();
		return reason === 'configuration' && startedAt.size < maximumConcurrency && [...startedAt.values()].every(at => now - at >= longMs);
	}

	async function start(request: Waiting): Promise<void> {
		const now = clock.now();
		startedAt.set(request.peer, now);
		scheduleWake();
		const ended = run(request, as<Milliseconds>(now - request.requestedAt)).then(() => 'ended' as const);
		const outcome = await withTimeout(clock, limitMs, ended);
		startedAt.delete(request.peer);
		if (outcome === undefined) {
			onUnanswered(request, as<Milliseconds>(clock.now() - now));
		}

		advance();
	}

	/** Starts the waiting fetches that are due, the most urgent ones first. */
	function advance(): void {
		const now = clock.now();
		const ready = [...waiting.values()].filter(({peer, notBefore}) => !startedAt.has(peer) && notBefore() <= now);
		for (const request of ready.toSorted((a, b) => urgencyOf(a.reason) - urgencyOf(b.reason) || a.requestedAt - b.requestedAt)) {
			if (!request.isNeeded()) {
				waiting.delete(request.peer);
			} else if (hasRoomFor(request)) {
				waiting.delete(request.peer);
				void start(request);
			}
		}

		scheduleWake();
	}

	/** Advances the schedule when the next fetch becomes due or long, unless that is about to happen earlier anyway. */
	function scheduleWake(): void {
		const now = clock.now();
		const due = [...waiting.values()].map(({notBefore}) => notBefore());
		const long = [...startedAt.values()].map(at => at + longMs);
		const next = Math.min(...[...due, ...long].filter(at => at > now));
		if (next < wakesAt) {
			wakesAt = next;
			void wakeAfter(next - now);
		}
	}

	async function wakeAfter(ms: number): Promise<void> {
		await clock.sleep(as<Milliseconds>(ms));
		wakesAt = Infinity;
		advance();
	}

	return {
		request(request) {
			if (!request.isNeeded()) {
				return;
			}

			const earlier = waiting.get(request.peer);
			if (!earlier?.isNeeded() || urgencyOf(request.reason) < urgencyOf(earlier.reason)) {
				waiting.set(request.peer, {...request, requestedAt: clock.now()});
			}

			advance();
		},
		longest: () => as<Milliseconds>(Math.max(0, ...[...startedAt.values()].map(at => clock.now() - at))),
	};
}
