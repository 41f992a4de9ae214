/**
The journal of one shard, a write-ahead log in platform objects. The ledger decides what to read and
write, and the journal performs it. Records that are not written to the platform yet are replicated to
a peer, which is another failure domain.
*/
import {err, ok, type Result} from 'neverthrow';
import {type Clock} from '../contracts/clock.js';
import {createDeferred, type Deferred} from '../contracts/deferred.js';
import {describeError, type Failure, failure} from '../contracts/failure.js';
import {
	as, type FencingNumber, type Home, type Incarnation, type InstanceId, type Milliseconds, type Nonce,
	type ObjectName,
} from '../contracts/id.js';
import {createLedger, type LedgerState, slotsPerShard} from '../contracts/ledger.js';
import {
	type LedgerEffect, type LedgerEvent, type Slot, type Urgency,
} from '../contracts/ledger-event.js';
import {type Platform, type StoredObject} from '../contracts/platform.js';
import {
	isApplied, type Programs, replayRecord,
} from '../contracts/program.js';
import {type Batch, type JournalRecord} from '../contracts/record.js';
import {createSegments} from './segments.js';

/** Where an appended record survives the loss of this instance. */
export type Durability = 'platform' | 'peer';

/** Replicas of records that peers hold until the records are written to the platform. */
export type PeerReplicas = {
	/** Resolves once a peer holds the records. */
	readonly hold: (home: Home, epoch: FencingNumber, records: readonly JournalRecord[]) => Promise<Result<void, Failure>>;
	/** All records that reachable peers hold for the shard. */
	readonly collect: (home: Home) => Promise<readonly JournalRecord[]>;
	/** Lets peers discard the records that they hold for the shard, once these are written to the platform. */
	readonly release: (home: Home) => void;
};

/** The progress of records that are being appended to the journal. */
export type Append = {
	/** Resolves when the records would survive the loss of this instance. */
	readonly durable: Promise<Result<Durability, Failure>>;
	/** Resolves when the records are written to the platform. */
	readonly committed: Promise<Result<void, Failure>>;
};

export type Journal = {
	/** Claims the shard and replays its records. Retries through outages of the platform until the signal aborts. */
	readonly open: () => Promise<Result<Programs, Failure>>;
	/** The urgency is `windowed` by default. */
	readonly append: (records: readonly JournalRecord[], urgency?: Urgency) => Append;
	readonly state: () => LedgerState;
	/** Verifies that the shard is still owned; `deposed` resolves if it is not. */
	readonly verifyOwnership: () => void;
	/** Resolves when another instance has claimed the shard or the signal aborts. */
	readonly deposed: Promise<void>;
};

export type JournalOptions = {
	readonly home: Home;
	readonly instance: InstanceId;
	readonly incarnation: Incarnation;
	readonly platform: Platform;
	readonly peerReplicas: PeerReplicas;
	readonly clock: Clock;
	readonly nextNonce: () => Nonce;
	/** Group commit: maximum time for which `windowed` records wait to share a write. Until then, peers hold replicas of them. */
	readonly commitWindow: Milliseconds;
	readonly signal: AbortSignal;
};

type Ticket = {
	readonly records: readonly JournalRecord[];
	readonly durable: Deferred<Result<Durability, Failure>>;
	readonly committed: Deferred<Result<void, Failure>>;
	isHeld: boolean;
};

function isObject(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null;
}

function isBatch(value: unknown): value is Batch {
	return isObject(value) && typeof value.sequence === 'number' && Array.isArray(value.records);
}

/** A non-repeatable request is sent only after its intent is written to the platform, so a replica of the intent does not show that it was sent. */
function shouldReplicate(record: JournalRecord): boolean {
	return record.kind !== 'intent' || record.repeatable;
}

function slotOf(object: StoredObject): Slot {
	return {version: object.version, batch: isBatch(object.value) ? object.value : undefined};
}

/** Creates the journal of one shard. Nothing is read or written before `open`. */
export function createJournal(options: JournalOptions): Journal {
	const {home, platform, clock, peerReplicas, signal} = options;
	const ledger = createLedger(options);
	const folder = `shard/${home.dataCentre}/${home.shard}`;
	const tickets = new Map<number, Ticket>();
	const segments = createSegments({
		folder, platform, clock, signal,
	});
	const opening = createDeferred<Result<Programs, Failure>>();
	const deposing = createDeferred<void>();
	const programs: Programs = new Map();
	/** Committed records that are not in a segment yet. */
	let uncheckpointed: Array<{readonly sequence: number; readonly record: JournalRecord}> = [];
	let nextTicket = 1;
	let isCheckpointing = false;
	let hasHeldRecords = false;

	const name = (suffix: string) => as<ObjectName>(`${folder}/${suffix}`);

	function lost(): Failure {
		return failure('not-owner', `Another instance took over shard ${home.dataCentre}/${home.shard}`, {step: 'commit', peer: folder, execution: 'unknown'});
	}

	function fail(reason: Failure): void {
		for (const ticket of tickets.values()) {
			ticket.durable.resolve(err(reason));
			ticket.committed.resolve(err(reason));
		}

		tickets.clear();
		opening.resolve(err(reason));
		deposing.resolve();
	}

	function handle(event: LedgerEvent): void {
		if (signal.aborted) {
			return;
		}

		for (const effect of ledger.handle(event)) {
			void run(effect);
		}
	}

	async function run(effect: LedgerEffect): Promise<void> {
		switch (effect.kind) {
			case 'read-ring': {
				await readRing();
				return;
			}

			case 'write': {
				const update = await platform.update(name(`slot/${effect.slot}`), effect.expected, effect.batch);
				handle({kind: 'updated', update});
				return;
			}

			case 'read-slot': {
				const object = await platform.read(name(`slot/${effect.slot}`));
				handle(object.isOk() ? {kind: 'slot-read', slot: slotOf(object.value)} : {kind: 'slot-unavailable'});
				return;
			}

			case 'opened': {
				await replay(effect.epoch, effect.batches);
				await recoverHeldRecords();
				opening.resolve(ok(programs));
				return;
			}

			case 'committed': {
				commit(effect.tickets, effect.sequence);
				return;
			}

			case 'wait-for-window': {
				await clock.sleep(effect.delay, signal);
				handle({kind: 'window-elapsed'});
				return;
			}

			case 'stalled': {
				await holdPending();
				return;
			}

			case 'checkpoint': {
				await checkpoint(effect.sequence);
				return;
			}

			case 'deposed': {
				fail(lost());
				return;
			}

			case 'retry-later': {
				await clock.sleep(effect.delay, signal);
				handle({kind: 'retry'});
			}
		}
	}

	/** Reads the slots before the head: the claim detects a head that is newer than the slots, but not one that is older. */
	async function readRing(): Promise<void> {
		const indexes = Array.from({length: slotsPerShard}, (_, index) => index);
		const objects = await Promise.all(indexes.map(async index => platform.read(name(`slot/${index}`))));
		const base = await segments.base();
		const slots: Slot[] = [];
		for (const object of objects) {
			if (object.isOk()) {
				slots.push(slotOf(object.value));
			}
		}

		const isComplete = slots.length === slotsPerShard && base !== undefined;
		handle(isComplete ? {kind: 'ring-read', base, slots} : {kind: 'ring-unavailable'});
	}

	async function replay(epoch: FencingNumber, batches: readonly Batch[]): Promise<void> {
		for (const record of await segments.fenceAndLoad(epoch)) {
			replayOnce(record);
		}

		for (const batch of batches) {
			for (const record of batch.records) {
				replayOnce(record);
				uncheckpointed.push({sequence: batch.sequence, record});
			}
		}
	}

	/**
	Replays a record and returns whether it was new. A record is both in a segment and in the ring when an owner was
	lost between two steps of a checkpoint.
	*/
	function replayOnce(record: JournalRecord): boolean {
		const isNew = !isApplied(programs, record);
		if (isNew) {
			replayRecord(programs, record);
		}

		return isNew;
	}

	async function recoverHeldRecords(): Promise<void> {
		const held = await peerReplicas.collect(home);
		const missing: JournalRecord[] = [];
		for (const record of held) {
			if (replayOnce(record)) {
				missing.push(record);
			}
		}

		if (missing.length > 0) {
			append(missing);
		}
	}

	function commit(numbers: readonly number[], sequence: number): void {
		for (const number of numbers) {
			const ticket = tickets.get(number);
			tickets.delete(number);
			for (const record of ticket?.records ?? []) {
				uncheckpointed.push({sequence, record});
			}

			ticket?.durable.resolve(ok('platform'));
			ticket?.committed.resolve(ok());
		}

		if (tickets.size === 0 && hasHeldRecords) {
			hasHeldRecords = false;
			peerReplicas.release(home);
		}
	}

	async function holdPending(): Promise<void> {
		const waiting = [...tickets.values()].filter(ticket => !ticket.isHeld);
		if (waiting.length === 0 || ledger.state().phase !== 'open') {
			return;
		}

		for (const ticket of waiting) {
			ticket.isHeld = true;
		}

		const records = waiting.flatMap(ticket => ticket.records).filter(record => shouldReplicate(record));
		const held = await peerReplicas.hold(home, ledger.state().epoch, records);
		hasHeldRecords ||= held.isOk();
		for (const ticket of waiting) {
			ticket.isHeld = held.isOk();
			if (held.isOk()) {
				ticket.durable.resolve(ok('peer'));
			}
		}
	}

	/** Writes the records of the ring up to a batch to segments, so that their slots can be reused. */
	async function checkpoint(sequence: number): Promise<void> {
		if (isCheckpointing) {
			return;
		}

		isCheckpointing = true;
		const covered = uncheckpointed.filter(entry => entry.sequence <= sequence);
		const kept = covered.map(entry => entry.record).filter(record => programs.has(record.program));
		if (await segments.checkpoint(sequence, kept, committedRecords)) {
			uncheckpointed = uncheckpointed.filter(entry => entry.sequence > sequence);
			handle({kind: 'checkpointed', base: sequence + 1});
		}

		isCheckpointing = false;
	}

	/** Excludes the records that are still being appended, since the batch that contains them is not checkpointed yet. */
	function committedRecords(): readonly JournalRecord[] {
		const pending = new Set([...tickets.values()].flatMap(ticket => ticket.records));
		return [...programs.values()].flatMap(program => program.records).filter(record => !pending.has(record));
	}

	function append(records: readonly JournalRecord[], urgency: Urgency = 'windowed'): Append {
		const ticket: Ticket = {
			records, durable: createDeferred(), committed: createDeferred(), isHeld: false,
		};
		const number = nextTicket++;
		tickets.set(number, ticket);
		handle({
			kind: 'append', ticket: number, records, bytes: JSON.stringify(records).length, urgency,
		});
		if (options.commitWindow > 0 && urgency === 'windowed') {
			void holdPending();
		}

		return {durable: ticket.durable.promise, committed: ticket.committed.promise};
	}

	signal.addEventListener('abort', () => {
		fail(failure('not-owner', describeError(signal.reason), {step: 'commit', peer: folder, execution: 'unknown'}));
	}, {once: true});

	return {
		async open() {
			handle({kind: 'claim'});
			return opening.promise;
		},
		append,
		state: () => ledger.state(),
		verifyOwnership() {
			handle({kind: 'verify'});
		},
		deposed: deposing.promise,
	};
}
