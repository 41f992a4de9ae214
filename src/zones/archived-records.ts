/**
Records of used tokens that outlast outages of the store. As long as the store acknowledges them in time, archives get none.
A record that it does not acknowledge is also kept at as many archives as a turn, and counts as written when either has it.

Reading the records needs both: the list in the store, and replies of so many archives that those which have not
replied cannot hold all copies of a record. Whether archives hold any is decided by the configuration; until it is known, by
whether the store lists archives.
*/
import {err, ok, type Result} from 'neverthrow';
import {
	type ArchiveLink, archiveKind, decodeArchive, type ListedArchive,
} from '../contracts/archive.js';
import {type Clock} from '../contracts/clock.js';
import {createDeferred} from '../contracts/deferred.js';
import {failure, type Failure} from '../contracts/failure.js';
import {
	as, type Address, type AttemptId, type DataCentreId, type Milliseconds,
} from '../contracts/id.js';
import {type ObjectStore} from '../contracts/object-store.js';
import {type CopyRequirement} from '../contracts/tolerance.js';
import {type UsedRecord, usedRecordId, type UsedReply} from '../contracts/turn.js';
import {anyOf} from './any-of.js';
import {type BudgetEvent} from './budget-event.js';
import {type BudgetRecord, type BudgetRecords, type DurableRecords} from './budget-records.js';
import {isProvenWithout} from './conversations/copy-placement.js';
import {type KeepOutcome} from './conversations/turn-keeping.js';
import {withTimeout} from './with-timeout.js';

/** Time after which a record that the store has not acknowledged goes to archives; the store answers within milliseconds. */
const storePatienceMs = 60;

/** Timeout of a request for the records of an archive; one that reads its disk after a loss of power refuses at once. */
const readTimeoutMs = 1000;

export type ArchivedRecordsOptions = {
	/** Records in the store. */
	readonly records: BudgetRecords;
	/** Data centre and address of this instance. */
	readonly dataCentre: DataCentreId;
	readonly address: Address;
	/** Whether the configuration has a route that keeps turns; undefined until it is known. */
	readonly keepsTurns: () => boolean | undefined;
	/** Keeps a record at archives; undefined if none is known. */
	readonly keepAtArchives: (record: UsedRecord) => Promise<KeepOutcome | undefined>;
	/** Copies of a record that are enough. */
	readonly required: CopyRequirement;
	readonly store: Pick<ObjectStore, 'list'>;
	readonly link: Pick<ArchiveLink, 'used'>;
	readonly clock: Clock;
	readonly onEvent: (event: BudgetEvent) => void;
};

type ReadArchives = {readonly records: readonly UsedRecord[]};

function unavailable(message: string): Result<never, Failure> {
	return err(failure('platform-unavailable', message, {step: 'recover', peer: 'archives'}));
}

/** The highest record of each id, with the shortest time for which a copy of it is held. */
function highestOf(records: readonly UsedRecord[]): readonly UsedRecord[] {
	const highest = new Map<AttemptId, UsedRecord>();
	for (const record of records) {
		const known = highest.get(record.turn);
		const tokens = known?.content.tokens ?? -Infinity;
		if (!known || record.content.tokens > tokens || (record.content.tokens === tokens && record.retention < known.retention)) {
			highest.set(record.turn, record);
		}
	}

	return [...highest.values()];
}

/** Creates the records of an instance. */
export function createArchivedRecords(options: ArchivedRecordsOptions): DurableRecords {
	const {records, clock, required, link} = options;

	async function archive({
		program, used, retention, origin,
	}: BudgetRecord): Promise<boolean> {
		const content = {
			kind: 'used', program, tokens: used, dataCentre: options.dataCentre, writer: options.address, origin: origin && {counter: origin.counter, version: origin.version},
		} as const;
		const outcome = options.keepsTurns()
			? await options.keepAtArchives({
				turn: usedRecordId(content), previous: undefined, workspace: undefined, retention, content,
			})
			: undefined;
		if (!outcome) {
			return false;
		}

		const {isKept, copies, missing, took} = outcome;
		options.onEvent({
			kind: 'archived', program, recorded: used, isKept, copies: copies.map(({id}) => id), missing, took,
		});
		return isKept;
	}

	async function archiveUnlessStored(record: BudgetRecord, inStore: Promise<boolean>): Promise<boolean> {
		return await withTimeout(clock, storePatienceMs, inStore) ?? archive(record);
	}

	/** Reads the archives. Resolves as soon as those that have not replied cannot hold all copies of a record. */
	async function readArchives(listed: readonly ListedArchive[]): Promise<Result<ReadArchives, Failure>> {
		const read: UsedRecord[] = [];
		const unread = new Map(listed.map(archive => [archive, 'no answer yet']));
		const isEnded = createDeferred<true>();
		const isCovered = () => isProvenWithout([...unread.keys()], required);

		function take(archive: ListedArchive, reply: UsedReply | undefined): void {
			read.push(...reply?.records ?? []);
			if (reply?.isComplete) {
				unread.delete(archive);
			} else {
				unread.set(archive, reply ? 'it may have lost records' : 'no answer');
			}
		}

		const reading = listed.map(async archive => {
			take(archive, await link.used(archive.address, as<Milliseconds>(readTimeoutMs)));
			if (isCovered()) {
				isEnded.resolve(true);
			}
		});
		await Promise.race([isEnded.promise, Promise.all(reading)]);
		return isCovered()
			? ok({records: highestOf(read)})
			: unavailable(`too few archives told their records: ${[...unread].map(([{id}, reason]) => `${id}: ${reason}`).join(', ')}`);
	}

	async function loadArchived(): Promise<Result<ReadArchives, Failure>> {
		if (options.keepsTurns() === false) {
			return ok({records: []});
		}

		const list = await options.store.list(archiveKind);
		if (list.isErr()) {
			return err(list.error);
		}

		const archives = list.value.objects.map(object => decodeArchive(object));
		const known = archives.filter(archive => archive !== undefined);
		// One that has left holds nothing that was not copied to others.
		const holding = known.filter(({state}) => state !== 'left');
		return known.length < archives.length ? unavailable('an entry of an archive is invalid') : readArchives(holding);
	}

	return {
		write: records.write,
		keep(record) {
			const inStore = records.write(record);
			return {inStore, durable: anyOf([inStore, archiveUnlessStored(record, inStore)])};
		},
		async load() {
			const [stored, archived] = await Promise.all([records.load(), loadArchived()]);
			if (archived.isErr()) {
				options.onEvent({kind: 'archives-unread', reason: archived.error.message});
				return err(archived.error);
			}

			if (stored.isErr()) {
				return err(stored.error);
			}

			const held = archived.value.records;
			return ok({
				records: [...stored.value.records, ...held.map(({retention, content}) => ({
					program: content.program,
					used: content.tokens,
					retention,
					dataCentre: content.dataCentre,
					origin: content.origin && {...content.origin, dataCentre: content.dataCentre},
				}))],
				addresses: [...new Set([...stored.value.addresses, ...held.map(({content}) => content.writer)])],
			});
		},
	};
}
