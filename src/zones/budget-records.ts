/**
Records of used tokens in the store. Each instance owns one object, which lists the programs that it counts for.
Concurrent requests share a write.
*/
import {err, ok, type Result} from 'neverthrow';
import PQueue from 'p-queue';
import {z} from 'zod';
import {type Clock} from '../contracts/clock.js';
import {type Failure} from '../contracts/failure.js';
import {
	as, type Address, type DataCentreId, type InstanceId, type Milliseconds, type ObjectName, type ObjectVersion, type ProgramId, type Tokens,
} from '../contracts/id.js';
import {type VersionedObject, type ObjectStore, type WriteResult} from '../contracts/object-store.js';

/** Kind of the record objects in the store. */
const recordKind = 'hickoryfork-budgets';

/** Delay before an unacknowledged write is retried. */
const retryMs = 300;

/** Maximum number of attempts of one write; what then remains unwritten is part of the next one. */
const maximumAttempts = 20;

const recordBody = z.object({
	address: z.string(),
	dataCentre: z.string().optional(),
	/** Used tokens, and the wall-clock time in ms at which the record expires. */
	programs: z.record(z.string(), z.tuple([z.number(), z.number()])),
});

export type BudgetRecord = {
	readonly program: ProgramId;
	readonly used: Tokens;
	/** Time for which the store keeps the record. */
	readonly retention: Milliseconds;
};

/** A record with the data centre of the instance that wrote it. */
export type StoredRecord = BudgetRecord & {readonly dataCentre: DataCentreId | undefined};

/** What all instances recorded, and the addresses that they had when they wrote it. */
export type StoredRecords = {readonly records: readonly StoredRecord[]; readonly addresses: readonly Address[]};

export type BudgetRecords = {
	/** Resolves to true once the store holds the record, or to false after the last attempt. */
	readonly write: (record: BudgetRecord) => Promise<boolean>;
	/** Fails with `platform-unavailable`. */
	readonly load: () => Promise<Result<StoredRecords, Failure>>;
};

export type RecordWrite = {
	/** Resolves to whether the store holds the record, after its last attempt at the latest. */
	readonly inStore: Promise<boolean>;
	/** Resolves to true as soon as the store or enough archives hold the record. */
	readonly durable: Promise<boolean>;
};

/** Records that may also be kept at archives. `write` goes to the store only; `load` fails as well if too few archives answer. */
export type DurableRecords = BudgetRecords & {readonly keep: (record: BudgetRecord) => RecordWrite};

export type BudgetRecordsOptions = {
	readonly id: InstanceId;
	readonly dataCentre: DataCentreId;
	readonly address: Address;
	readonly store: ObjectStore;
	readonly clock: Clock;
	readonly signal: AbortSignal;
};

type Stored = {readonly used: Tokens; readonly expiresAt: number};

/** Creates the records of an instance that has written none since it started. */
export function createBudgetRecords(options: BudgetRecordsOptions): BudgetRecords {
	const {store, clock} = options;
	const name = as<ObjectName>(options.id);
	const queue = new PQueue({concurrency: 1});
	const programs = new Map<ProgramId, Stored>();
	let revision: ObjectVersion | undefined;
	let written = 0;
	let requested = 0;

	function put(program: ProgramId, stored: Stored): void {
		const known = programs.get(program);
		programs.set(program, {
			used: as<Tokens>(Math.max(stored.used, known?.used ?? 0)),
			expiresAt: Math.max(stored.expiresAt, known?.expiresAt ?? 0),
		});
	}

	function compose(): z.output<typeof recordBody> {
		const now = clock.wall();
		for (const [program, stored] of programs) {
			if (stored.expiresAt < now) {
				programs.delete(program);
			}
		}

		return {address: options.address, dataCentre: options.dataCentre, programs: Object.fromEntries([...programs].map(([program, stored]) => [program, [stored.used, stored.expiresAt]]))};
	}

	/** Adopts what an earlier incarnation of this instance wrote. */
	function adopt(object: VersionedObject): void {
		revision = object.revision;
		const parsed = recordBody.safeParse(object.spec);
		for (const [program, [used, expiresAt]] of Object.entries(parsed.data?.programs ?? {})) {
			put(as<ProgramId>(program), {used: as<Tokens>(used), expiresAt});
		}
	}

	async function writeOnce(): Promise<WriteResult> {
		const spec = compose();
		return revision === undefined ? store.create(recordKind, name, spec) : store.replace(recordKind, name, spec, revision);
	}

	/** Writes all programs. Resolves to whether the store acknowledged them. */
	async function writeAll(): Promise<boolean> {
		for (let attempt = 0; attempt < maximumAttempts && !options.signal.aborted; attempt++) {
			const upTo = requested;
			const result = await writeOnce();
			switch (result.kind) {
				case 'written': {
					revision = result.revision;
					written = upTo;
					return true;
				}

				case 'conflict': {
					// Written by an earlier request whose reply was lost, or by an earlier incarnation of this instance.
					if (result.object) {
						adopt(result.object);
					}

					break;
				}

				case 'absent': {
					revision = undefined;
					break;
				}

				case 'unavailable':
				case 'doubtful': {
					await clock.sleep(as<Milliseconds>(retryMs), options.signal);
				}
			}
		}

		return false;
	}

	return {
		async write({program, used, retention}) {
			put(program, {used, expiresAt: clock.wall() + retention});
			const ticket = ++requested;
			return queue.add(async () => written >= ticket || writeAll());
		},
		async load() {
			const list = await store.list(recordKind);
			if (list.isErr()) {
				return err(list.error);
			}

			const now = clock.wall();
			const records: StoredRecord[] = [];
			const addresses: Address[] = [];
			for (const object of list.value.objects) {
				const parsed = recordBody.safeParse(object.spec);
				addresses.push(...(parsed.data ? [as<Address>(parsed.data.address)] : []));
				const dataCentre = parsed.data?.dataCentre === undefined ? undefined : as<DataCentreId>(parsed.data.dataCentre);
				for (const [program, [used, expiresAt]] of Object.entries(parsed.data?.programs ?? {})) {
					if (expiresAt >= now) {
						records.push({
							program: as<ProgramId>(program), used: as<Tokens>(used), retention: as<Milliseconds>(expiresAt - now), dataCentre,
						});
					}
				}
			}

			return ok({records, addresses});
		},
	};
}
