/**
The journal of one shard: carries out what the ledger decides against the platform's objects, and
keeps records that the platform cannot take yet at a peer of another failure domain.
*/
import {err, ok, type Result} from 'neverthrow';
import {type Clock} from '../contracts/clock.js';
import {createDeferred, type Deferred} from '../contracts/deferred.js';
import {describeError, type Failure, failure} from '../contracts/failure.js';
import {
	as, type FencingNumber, type Home, type Incarnation, type InstanceId, type Milliseconds, type Nonce,
	type ObjectName, type ObjectVersion, type ProgramId,
} from '../contracts/id.js';
import {
	createLedger, type Head, type LedgerEffect, type LedgerEvent, type LedgerState, type Slot, slotsPerShard,
} from '../contracts/ledger.js';
import {type Platform, type StoredObject} from '../contracts/platform.js';
import {
	isKnown, type Program, type Programs, replayRecord,
} from '../contracts/program.js';
import {type Batch, type JournalRecord} from '../contracts/record.js';

/** Where an appended record can be found after the loss of this instance. */
export type Durability = 'platform' | 'peer';

/** Peers that keep copies of records while the platform cannot take them. */
export type Holder = {
	/** Resolves once a peer keeps the records. */
	readonly hold: (home: Home, epoch: FencingNumber, records: readonly JournalRecord[]) => Promise<Result<void, Failure>>;
	/** Everything that reachable peers keep for the shard. */
	readonly collect: (home: Home) => Promise<readonly JournalRecord[]>;
	/** Tells peers that what they keep for the shard has reached the platform. */
	readonly release: (home: Home) => void;
};

/** A batch of records on its way into the journal. */
export type Append = {
	/** Resolves when the records would survive the loss of this instance. */
	readonly durable: Promise<Result<Durability, Failure>>;
	/** Resolves when the platform holds the records. */
	readonly committed: Promise<Result<void, Failure>>;
};

export type Journal = {
	/** Claims the shard and replays it. Waits through outages until the signal aborts. */
	readonly open: () => Promise<Result<Programs, Failure>>;
	readonly append: (records: readonly JournalRecord[]) => Append;
	readonly state: () => LedgerState;
	/** Finds out whether the shard is still owned. `deposed` resolves if it is not. */
	readonly verify: () => void;
	/** Resolves when another instance has taken the shard or the signal aborts. */
	readonly deposed: Promise<void>;
};

export type JournalOptions = {
	readonly home: Home;
	readonly instance: InstanceId;
	readonly incarnation: Incarnation;
	readonly platform: Platform;
	readonly holder: Holder;
	readonly clock: Clock;
	readonly nextNonce: () => Nonce;
	readonly signal: AbortSignal;
};

type Ticket = {
	readonly records: readonly JournalRecord[];
	readonly durable: Deferred<Result<Durability, Failure>>;
	readonly committed: Deferred<Result<void, Failure>>;
	isHeld: boolean;
};

type Snapshot = {readonly upTo: number; readonly records: readonly JournalRecord[]};

function isObject(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null;
}

function isBatch(value: unknown): value is Batch {
	return isObject(value) && typeof value.sequence === 'number' && Array.isArray(value.records);
}

function isHead(value: unknown): value is Head {
	return isObject(value) && typeof value.base === 'number' && Array.isArray(value.programs);
}

function isSnapshot(value: unknown): value is Snapshot {
	return isObject(value) && typeof value.upTo === 'number' && Array.isArray(value.records);
}

/** A request that may not be repeated is sent only after the platform has its intent, so a copy elsewhere proves nothing. */
function isWorthHolding(record: JournalRecord): boolean {
	return record.kind !== 'intent' || record.repeatable;
}

function slotOf(object: StoredObject): Slot {
	return {version: object.version, batch: isBatch(object.value) ? object.value : undefined};
}

/** Creates the journal of one shard. Nothing is read or written before `open`. */
export function createJournal(options: JournalOptions): Journal {
	const {home, platform, clock, holder, signal} = options;
	const ledger = createLedger(options);
	const folder = `shard/${home.dataCentre}/${home.shard}`;
	const tickets = new Map<number, Ticket>();
	const snapshotVersions = new Map<string, ObjectVersion>();
	const dirty = new Map<ProgramId, number>();
	const opening = createDeferred<Result<Programs, Failure>>();
	const deposing = createDeferred<void>();
	const programs: Programs = new Map();
	let headVersion = as<ObjectVersion>(0);
	let nextTicket = 1;
	let isCheckpointing = false;
	let replaying = Promise.resolve();
	let hasHeldRecords = false;

	const name = (suffix: string) => as<ObjectName>(`${folder}/${suffix}`);

	function lost(): Failure {
		return failure('not-owner', 'Another instance took over the shard', {step: 'commit', peer: folder, execution: 'unknown'});
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

			case 'replay': {
				replaying = replay(effect.head, effect.batches);
				await replaying;
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
				await replaying;
				await adoptHeldRecords();
				opening.resolve(ok(programs));
				return;
			}

			case 'committed': {
				commit(effect.tickets, effect.sequence);
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

	async function readRing(): Promise<void> {
		const head = await platform.read(name('head'));
		const slots = await readSlots(head);
		if (head.isErr() || !slots) {
			handle({kind: 'ring-unavailable'});
			return;
		}

		headVersion = head.value.version;
		handle({kind: 'ring', head: isHead(head.value.value) ? head.value.value : {base: 0, programs: []}, slots});
	}

	async function readSlots(head: Result<StoredObject, Failure>): Promise<Slot[] | undefined> {
		if (head.isErr()) {
			return undefined;
		}

		if (head.value.version === 0 && !await createHead()) {
			return undefined;
		}

		const indexes = Array.from({length: slotsPerShard}, (_, index) => index);
		const objects = await Promise.all(indexes.map(async index => platform.read(name(`slot/${index}`))));
		const slots: Slot[] = [];
		for (const object of objects) {
			if (object.isErr()) {
				return undefined;
			}

			slots.push(slotOf(object.value));
		}

		return slots;
	}

	/** The first owner creates the head; whoever loses that race reads the winner's. */
	async function createHead(): Promise<boolean> {
		const update = await platform.update(name('head'), as<ObjectVersion>(0), {base: 0, programs: []});
		return update.kind === 'written';
	}

	async function replay(head: Head, batches: readonly Batch[]): Promise<void> {
		const upTo = new Map<string, number>();
		programs.clear();
		for (const id of head.programs) {
			await loadSnapshot(id, upTo);
		}

		for (const batch of batches) {
			for (const record of batch.records) {
				if (batch.sequence > (upTo.get(record.program) ?? -1)) {
					replayRecord(programs, record);
					dirty.set(record.program, batch.sequence);
				}
			}
		}
	}

	async function loadSnapshot(id: string, upTo: Map<string, number>): Promise<void> {
		for (;;) {
			const object = await platform.read(name(`program/${id}`));
			if (object.isOk()) {
				snapshotVersions.set(id, object.value.version);
				if (isSnapshot(object.value.value)) {
					const snapshot = object.value.value;
					upTo.set(id, snapshot.upTo);
					restoreSnapshot(as<ProgramId>(id), snapshot);
				}

				return;
			}

			if (signal.aborted) {
				return;
			}

			await clock.sleep(as<Milliseconds>(100), signal);
		}
	}

	function restoreSnapshot(id: ProgramId, snapshot: Snapshot): void {
		if (programs.has(id)) {
			return;
		}

		for (const record of snapshot.records) {
			replayRecord(programs, record);
		}
	}

	async function adoptHeldRecords(): Promise<void> {
		const held = await holder.collect(home);
		const missing: JournalRecord[] = [];
		for (const record of held) {
			if (!isKnown(programs, record)) {
				replayRecord(programs, record);
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
				dirty.set(record.program, sequence);
			}

			ticket?.durable.resolve(ok('platform'));
			ticket?.committed.resolve(ok());
		}

		if (tickets.size === 0 && hasHeldRecords) {
			hasHeldRecords = false;
			holder.release(home);
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

		const records = waiting.flatMap(ticket => ticket.records).filter(record => isWorthHolding(record));
		const held = await holder.hold(home, ledger.state().epoch, records);
		hasHeldRecords ||= held.isOk();
		for (const ticket of waiting) {
			ticket.isHeld = held.isOk();
			if (held.isOk()) {
				ticket.durable.resolve(ok('peer'));
			}
		}
	}

	/** Writes the programs that changed as snapshots, then moves the head past the batches they cover. */
	async function checkpoint(sequence: number): Promise<void> {
		if (isCheckpointing) {
			return;
		}

		isCheckpointing = true;
		const changed = [...dirty].filter(([id, last]) => last <= sequence && programs.has(id));
		const written = await Promise.all(changed.map(async ([id]) => writeSnapshot(id, sequence)));
		if (written.every(Boolean) && await writeHead(sequence + 1)) {
			for (const [id, last] of changed) {
				if (dirty.get(id) === last) {
					dirty.delete(id);
				}
			}

			handle({kind: 'checkpointed', base: sequence + 1});
		}

		isCheckpointing = false;
	}

	async function writeSnapshot(id: ProgramId, sequence: number): Promise<boolean> {
		const records = committedRecords(programs.get(id));
		const version = snapshotVersions.get(id) ?? as<ObjectVersion>(0);
		const update = await platform.update(name(`program/${id}`), version, {upTo: sequence, records});
		if (update.kind === 'written') {
			snapshotVersions.set(id, update.version);
			return true;
		}

		// The answer to an earlier write was lost, or another owner wrote: learn the version for the next try.
		const object = await platform.read(name(`program/${id}`));
		if (object.isOk()) {
			snapshotVersions.set(id, object.value.version);
		}

		return false;
	}

	/** Records that are still on their way are left to the batch that carries them. */
	function committedRecords(program: Program | undefined): JournalRecord[] {
		const pending = new Set([...tickets.values()].flatMap(ticket => ticket.records));
		return (program?.records ?? []).filter(record => !pending.has(record));
	}

	async function writeHead(base: number): Promise<boolean> {
		const update = await platform.update(name('head'), headVersion, {base, programs: [...programs.keys()]});
		if (update.kind === 'written') {
			headVersion = update.version;
			return true;
		}

		const head = await platform.read(name('head'));
		if (head.isOk()) {
			headVersion = head.value.version;
		}

		return false;
	}

	function append(records: readonly JournalRecord[]): Append {
		const ticket: Ticket = {
			records, durable: createDeferred(), committed: createDeferred(), isHeld: false,
		};
		const number = nextTicket++;
		tickets.set(number, ticket);
		handle({
			kind: 'append', ticket: number, records, bytes: JSON.stringify(records).length,
		});
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
		verify() {
			handle({kind: 'verify'});
		},
		deposed: deposing.promise,
	};
}
