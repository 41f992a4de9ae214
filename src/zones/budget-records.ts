/**
Records of used tokens in the store. Each instance owns one object, which lists the programs that it counts for.
Concurrent requests share a write.

A record names its origin: the slot of the process that wrote it. As long as that process runs, its account says what was used, and
the record does not count beside it. Earlier builds read the amounts alone.
*/
import {err, ok, type Result} from 'neverthrow';
import PQueue from 'p-queue';
import {z} from 'zod';
import {type Clock} from '../contracts/clock.js';
import {type Failure} from '../contracts/failure.js';
import {
	as, type Address, type CounterId, type DataCentreId, type InstanceId, type Milliseconds, type ObjectName, type ObjectVersion, type ProgramId, type Tokens,
} from '../contracts/id.js';
import {type RecordOrigin} from '../contracts/record-origin.js';
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
	/** Processes that wrote records, in the order to which `origins` refers. */
	counters: z.array(z.string()).optional(),
	/** The amounts of each program by origin: the index of the process, the version of its slot, and the used tokens. */
	origins: z.record(z.string(), z.array(z.tuple([z.number(), z.number(), z.number()]))).optional(),
});

export type BudgetRecord = {
	readonly program: ProgramId;
	readonly used: Tokens;
	/** Time for which the store keeps the record. */
	readonly retention: Milliseconds;
	/** Absent in a record of an earlier build. */
	readonly origin?: RecordOrigin | undefined;
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

type Amount = {readonly version: number; readonly used: Tokens};

type Stored = {readonly used: Tokens; readonly expiresAt: number; readonly amounts: ReadonlyMap<CounterId, Amount>};

type RecordBody = z.output<typeof recordBody>;

/** Amounts of a program by the process that wrote them. */
function amountsOf({counters, origins}: RecordBody, program: string): ReadonlyMap<CounterId, Amount> {
	const amounts = new Map<CounterId, Amount>();
	for (const [index, version, used] of origins?.[program] ?? []) {
		const counter = counters?.[index];
		if (counter !== undefined) {
			amounts.set(as<CounterId>(counter), {version, used: as<Tokens>(used)});
		}
	}

	return amounts;
}

/** The records of a program in an object: one for each process that wrote one, and one without origin for what none of them covers. */
function recordsOf(body: RecordBody, program: string, now: number): readonly StoredRecord[] {
	const [used, expiresAt] = body.programs[program] ?? [0, 0];
	const dataCentre = body.dataCentre === undefined ? undefined : as<DataCentreId>(body.dataCentre);
	const common = {program: as<ProgramId>(program), retention: as<Milliseconds>(expiresAt - now), dataCentre};
	const named = [...amountsOf(body, program)].map(([counter, amount]) => ({
		...common, used: amount.used, origin: {counter, version: amount.version, dataCentre},
	}));
	const isCovered = named.some(record => record.used >= used);
	return isCovered ? named : [...named, {...common, used: as<Tokens>(used), origin: undefined}];
}

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
		const amounts = new Map(known?.amounts);
		for (const [counter, amount] of stored.amounts) {
			const earlier = amounts.get(counter);
			amounts.set(counter, {
				version: Math.max(amount.version, earlier?.version ?? 0), used: as<Tokens>(Math.max(amount.used, earlier?.used ?? 0)),
			});
		}

		programs.set(program, {
			used: as<Tokens>(Math.max(stored.used, known?.used ?? 0)),
			expiresAt: Math.max(stored.expiresAt, known?.expiresAt ?? 0),
			amounts,
		});
	}

	function compose(): RecordBody {
		const now = clock.wall();
		for (const [program, stored] of programs) {
			if (stored.expiresAt < now) {
				programs.delete(program);
			}
		}

		const counters = [...new Set([...programs.values()].flatMap(({amounts}) => [...amounts.keys()]))];
		const indexes = new Map(counters.map((counter, index) => [counter, index]));
		const origins = [...programs].map(([program, {amounts}]) => [
			program, [...amounts].map(([counter, {version, used}]): [number, number, number] => [indexes.get(counter) ?? 0, version, used]),
		] as const);
		return {
			address: options.address,
			dataCentre: options.dataCentre,
			programs: Object.fromEntries([...programs].map(([program, stored]) => [program, [stored.used, stored.expiresAt]])),
			counters,
			origins: Object.fromEntries(origins.filter(([, amounts]) => amounts.length > 0)),
		};
	}

	/** Adopts what an earlier incarnation of this instance wrote. */
	function adopt(object: VersionedObject): void {
		revision = object.revision;
		const {data} = recordBody.safeParse(object.spec);
		for (const [program, [used, expiresAt]] of Object.entries(data?.programs ?? {})) {
			put(as<ProgramId>(program), {used: as<Tokens>(used), expiresAt, amounts: data ? amountsOf(data, program) : new Map()});
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
		async write({
			program, used, retention, origin,
		}) {
			const amounts = new Map(origin && [[origin.counter, {version: origin.version, used}]]);
			put(program, {used, expiresAt: clock.wall() + retention, amounts});
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
				for (const [program, [, expiresAt]] of Object.entries(parsed.data?.programs ?? {})) {
					if (parsed.data && expiresAt >= now) {
						records.push(...recordsOf(parsed.data, program, now));
					}
				}
			}

			return ok({records, addresses});
		},
	};
}
