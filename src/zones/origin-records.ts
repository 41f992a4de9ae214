/**
Records of where streams began. When a stream begins, its origin is sent to one instance of the same data centre and of two
others, chosen by rendezvous hashing of the caller's attempt, so that an instance at which the caller resumes the stream knows
whom to ask after the first instance is gone. Callers mostly return in their data centre, which may be cut off by then; from any
other one, at least two of the three are among those that are asked.
*/
import {type Clock} from '../contracts/clock.js';
import {as, type AttemptId, type Milliseconds} from '../contracts/id.js';
import {type StreamOrigin} from '../machines/stream-origins.js';
import {type Member} from './membership.js';
import {
	candidatesIn, dataCentresOf, ownerOf, rankDataCentres,
} from './ownership.js';
import {type RelayPeers} from './relay-peers.js';

/** Number of data centres in which an origin is recorded, its own included. */
const recordedDataCentres = 3;

/** Maximum number of recorded origins; about 3 MB at 300 bytes each. */
const maximumRecords = 10_000;

/**
Time for which a holder is asked, in ms. Its event loop and that of this instance may each be late by 200 ms, and a refused stream is
lost while its caller has seconds left.
*/
const askTimeoutMs = 500;

/** Time after which a holder is asked once more, in case the message was lost, in ms. */
const repeatAfterMs = 150;

export type OriginRecordsOptions = {
	readonly self: () => Member;
	readonly members: () => readonly Member[];
	readonly peers: Pick<RelayPeers, 'request' | 'post'>;
	/** Time after which no caller resumes a stream any more, in ms. */
	readonly lifetimeMs: number;
	readonly clock: Clock;
};

export type OriginRecords = {
	/** Records an origin here and at the instances that other instances ask. */
	readonly record: (attempt: AttemptId, origin: StreamOrigin) => void;
	/** Stores an origin that another instance recorded. */
	readonly store: (attempt: AttemptId, origin: StreamOrigin) => void;
	/** The origin as this instance knows it. */
	readonly known: (attempt: AttemptId) => StreamOrigin | undefined;
	/** Asks the instances that may have stored the origin, for no longer than the caller waits. */
	readonly lookUp: (attempt: AttemptId, timeLeft: Milliseconds) => Promise<StreamOrigin | undefined>;
};

/** Creates the records of an instance. */
export function createOriginRecords(options: OriginRecordsOptions): OriginRecords {
	const {clock, peers} = options;
	/** In the order of their times, the oldest first. */
	const records = new Map<AttemptId, {readonly origin: StreamOrigin; readonly at: Milliseconds}>();

	function store(attempt: AttemptId, origin: StreamOrigin): void {
		const now = clock.now();
		records.delete(attempt);
		records.set(attempt, {origin, at: now});
		for (const [oldest, {at}] of records) {
			if (now - at <= options.lifetimeMs && records.size <= maximumRecords) {
				break;
			}

			records.delete(oldest);
		}
	}

	/** The other instances that store an origin. */
	function holdersOf(attempt: AttemptId): readonly Member[] {
		const members = options.members();
		const {id, dataCentre: own} = options.self();
		const others = rankDataCentres(attempt, dataCentresOf(members)).filter(dataCentre => dataCentre !== own);
		return [own, ...others]
			.flatMap(dataCentre => ownerOf(attempt, candidatesIn(dataCentre, members)) ?? [])
			.slice(0, recordedDataCentres)
			.filter(member => member.id !== id);
	}

	/** Asks a holder twice; a reply to the first message counts as long as one to the second. */
	async function ask(holder: Member, attempt: AttemptId, timeoutMs: number): Promise<StreamOrigin> {
		const answered = new AbortController();
		const send = async (delayMs: number): Promise<StreamOrigin | undefined> => {
			await clock.sleep(as<Milliseconds>(delayMs), answered.signal);
			if (answered.signal.aborted) {
				throw new Error(`${holder.id} has answered`);
			}

			const reply = await peers.request(holder.address, {kind: 'find-origin', attempt}, {timeout: as<Milliseconds>(timeoutMs - delayMs), attempts: 1});
			if (reply?.kind !== 'origin') {
				throw new Error(`${holder.id} does not answer`);
			}

			return reply.origin;
		};

		const origin = await Promise.any([0, repeatAfterMs].filter(delayMs => delayMs < timeoutMs).map(async delayMs => send(delayMs))).finally(() => {
			answered.abort();
		});
		if (!origin) {
			throw new Error(`${holder.id} does not know the origin of ${attempt}`);
		}

		return origin;
	}

	const known = (attempt: AttemptId) => records.get(attempt)?.origin;

	return {
		store,
		known,
		record(attempt, origin) {
			store(attempt, origin);
			for (const holder of holdersOf(attempt)) {
				peers.post(holder.address, {kind: 'origin', attempt, origin});
			}
		},
		async lookUp(attempt, timeLeft) {
			const stored = known(attempt);
			if (stored) {
				return stored;
			}

			const timeoutMs = Math.min(askTimeoutMs, timeLeft);
			try {
				return await Promise.any(holdersOf(attempt).map(async holder => ask(holder, attempt, timeoutMs)));
			} catch {
				// No holder knows it, which the caller of this function reports.
				return undefined;
			}
		},
	};
}
