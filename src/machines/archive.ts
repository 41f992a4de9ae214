/**
Archive: the process of a machine with a disk that keeps turns. It answers once its store has been read, copies from others what it
may have lost, takes no new turns while it is emptied, and is registered in the object store, where entries find it.
*/
import {type Result} from 'neverthrow';
import {
	type ArchiveCopyLink, archiveKind, type ArchiveListing, type ArchiveRepairLink, decodeArchive, encodeArchive, type InventoryPage, type ListedArchive, type TurnCopies,
} from '../contracts/archive.js';
import {type Clock} from '../contracts/clock.js';
import {abortOf, createDeferred} from '../contracts/deferred.js';
import {type Failure} from '../contracts/failure.js';
import {
	as, type AttemptId, type InstanceId, type ObjectName, type ObjectVersion,
} from '../contracts/id.js';
import {type ObjectList, type ObjectStore} from '../contracts/object-store.js';
import {type Tolerance} from '../contracts/tolerance.js';
import {
	type ChainReply, type KeepResult, type TurnRecord, type UsedReply,
} from '../contracts/turn.js';
import {type ArchiveDrainEvent, drainArchive} from './archive-drain.js';
import {type ArchiveRegistrationEvent, createArchiveRegistration} from './archive-registration.js';
import {repairArchive} from './archive-repair/archive-repair.js';
import {type ArchiveRepairEvent} from './archive-repair/repair-event.js';
import {succeedArchives, type SuccessionEvent} from './archive-repair/succession.js';
import {type TurnStoreEvent} from './turn-store/turn-store-event.js';
import {type TurnStore} from './turn-store/turn-store.js';

export type ArchiveEvent
	= | {readonly kind: 'store'; readonly store: TurnStoreEvent}
		| {readonly kind: 'drain'; readonly drain: ArchiveDrainEvent}
		| {readonly kind: 'repair'; readonly repair: ArchiveRepairEvent}
		| {readonly kind: 'succession'; readonly succession: SuccessionEvent}
		| {readonly kind: 'registration'; readonly registration: ArchiveRegistrationEvent}
		/** An object of the kind of archives cannot be decoded and is passed over. */
		| {readonly kind: 'unreadable-archive'; readonly name: string}
		| {readonly kind: 'request-given-up'; readonly reason: string};

export type Archive = {
	readonly keep: (record: TurnRecord) => Promise<KeepResult>;
	/** Resolves to undefined until the store has been read. */
	readonly chain: (turn: AttemptId) => Promise<ChainReply | undefined>;
	/** Records of used tokens; undefined until the store has been read. */
	readonly used: () => UsedReply | undefined;
	/** The turns that are held whole; undefined until the store has been read. */
	readonly holds: (turns: readonly AttemptId[]) => readonly AttemptId[] | undefined;
	/** What is held, from after a turn on, or from the start; undefined until the store has been read. */
	readonly inventory: (after: AttemptId | undefined) => InventoryPage | undefined;
	/** Reads records for an archive that repairs itself. Resolves to undefined until the store has been read. */
	readonly copies: (turns: readonly AttemptId[]) => Promise<TurnCopies | undefined>;
	/** Opens the store and registers the archive. Resolves when both are done or the signal aborts; the repair goes on. */
	readonly run: (signal: AbortSignal) => Promise<void>;
	/** Whether a turn may be here, or any entry has ever asked for one. */
	readonly isUsed: () => boolean;
	/** Copies all turns to other archives. If the signal aborts before, the archive takes turns again. */
	readonly drain: (signal: AbortSignal) => Promise<void>;
	readonly gauges: () => Readonly<Record<string, number>>;
	readonly close: () => Promise<void>;
};

export type ArchiveOptions = {
	readonly own: Omit<ListedArchive, 'state'>;
	readonly openStore: (signal: AbortSignal) => Promise<TurnStore>;
	readonly objects: ObjectStore;
	readonly link: ArchiveCopyLink & ArchiveRepairLink;
	readonly tolerance: Tolerance;
	readonly clock: Clock;
	readonly onEvent: (event: ArchiveEvent) => void;
};

/** Creates an archive that has not read its store yet. */
export function createArchive(options: ArchiveOptions): Archive {
	const {own, objects, clock, onEvent} = options;
	const startedAt = clock.now();
	const opened = createDeferred<TurnStore>();
	/** Resolves once the archive is complete, or stops. */
	const repaired = createDeferred<true>();
	let store: TurnStore | undefined;
	/** Resolves with the first request, also of another archive. */
	const used = createDeferred<true>();
	/** Whether any entry has sent a turn, or asked for one. */
	let hasRequests = false;
	/** Signal of the drain that is under way or has ended. */
	let leaving: AbortSignal | undefined;
	let running = AbortSignal.abort();
	/** Revisions of the objects of archives, as they were listed. */
	const revisions = new Map<InstanceId, ObjectVersion>();
	/** Ends the watch over other archives, with the process or once this archive leaves itself. */
	const watching = new AbortController();
	const unfinished = new Set<Promise<KeepResult>>();
	const registration = createArchiveRegistration({
		archive: own,
		store: objects,
		clock,
		onEvent(event) {
			onEvent({kind: 'registration', registration: event});
		},
	});

	/** Registers another archive as presumed gone, unless its object has changed since it was listed. */
	async function presumeGone(archive: ListedArchive): Promise<boolean> {
		const revision = revisions.get(archive.id);
		if (revision === undefined) {
			return false;
		}

		const result = await objects.replace(archiveKind, as<ObjectName>(archive.id), encodeArchive({...archive, state: 'presumed-gone'}), revision);
		return result.kind === 'written';
	}

	function toArchives(list: ObjectList): readonly ListedArchive[] {
		return list.objects.flatMap(object => {
			const archive = decodeArchive(object);
			if (!archive) {
				onEvent({kind: 'unreadable-archive', name: object.name});
				return [];
			}

			revisions.set(archive.id, object.revision);
			return archive;
		});
	}

	async function listArchives(): Promise<ArchiveListing> {
		const listed: Result<ObjectList, Failure> = await objects.list(archiveKind);
		return listed.match<ArchiveListing>(
			list => {
				const archives = toArchives(list);
				return {kind: 'listed', archives, isWhole: archives.length === list.objects.length};
			},
			failure => ({kind: 'failed', reason: failure.message}),
		);
	}

	function noteRequest(): void {
		hasRequests = true;
		used.resolve(true);
	}

	async function keep(record: TurnRecord): Promise<KeepResult> {
		if (!store || leaving) {
			return {kind: 'refused', reason: leaving ? 'the archive is leaving' : 'the archive is still reading its disk'};
		}

		const keeping = store.keep(record);
		unfinished.add(keeping);
		const result = await keeping;
		unfinished.delete(keeping);
		return result;
	}

	/** Ends the doubts that the start of a store leaves, then watches the registration. */
	async function settle(turns: TurnStore, signal: AbortSignal): Promise<void> {
		// Where no turns are kept, an archive makes no call for that.
		void used.promise.then(async () => {
			turns.begin();
			await registration.guard(signal);
		});
		const serving = {...own, state: 'serving'} as const;
		if (!turns.isComplete() && registration.isNew()) {
			await turns.complete('first-registration');
			repaired.resolve(true);
			await succeedArchives({
				own: serving,
				store: turns,
				link: options.link,
				list: listArchives,
				presumeGone,
				tolerance: options.tolerance,
				clock,
				onEvent(event) {
					onEvent({kind: 'succession', succession: event});
				},
			}, watching.signal);
			return;
		}

		await repairArchive({
			own: serving,
			store: turns,
			link: options.link,
			list: listArchives,
			tolerance: options.tolerance,
			startedAt,
			clock,
			onEvent(event) {
				onEvent({kind: 'repair', repair: event});
			},
		}, signal);
		repaired.resolve(true);
	}

	/** Copies everything. Resolves to false if the signal aborts before. */
	async function copyAll(signal: AbortSignal): Promise<boolean> {
		const turns = await opened.promise;
		// No turn is acknowledged after those that are copied have been listed.
		await Promise.all(unfinished);
		// From then on nobody counts on copies here. Two archives that are emptied at once must not count on each other.
		if (!await registration.write('leaving', signal)) {
			return false;
		}

		// Others may need what this archive has to copy back first.
		await Promise.race([repaired.promise, abortOf(signal)]);
		const isEmpty = await drainArchive({
			own,
			turns,
			link: options.link,
			list: listArchives,
			tolerance: options.tolerance,
			clock,
			onEvent(event) {
				onEvent({kind: 'drain', drain: event});
			},
		}, signal);
		return isEmpty && registration.write('left', signal);
	}

	return {
		async keep(record) {
			noteRequest();
			return keep(record);
		},
		async chain(turn) {
			noteRequest();
			return store?.chain(turn);
		},
		used: () => store?.used(),
		holds(turns) {
			used.resolve(true);
			const current = store;
			return current && turns.filter(turn => current.holds(turn));
		},
		inventory: after => store?.inventory(after),
		async copies(turns) {
			return store?.copies(turns);
		},
		async run(signal) {
			running = signal;
			const registering = registration.write('serving', signal);
			store = await options.openStore(signal);
			opened.resolve(store);
			const opening = store;
			signal.addEventListener('abort', () => {
				watching.abort();
			}, {once: true});
			await registering;
			void settle(opening, signal);
		},
		isUsed: () => hasRequests || !store || (store.gauges().turns ?? 0) > 0,
		async drain(signal) {
			leaving = signal;
			watching.abort();
			if (!await copyAll(signal) && leaving === signal) {
				leaving = undefined;
				await registration.write('serving', running);
			}
		},
		gauges: () => ({isRecovering: Number(!store), isLeaving: Number(leaving !== undefined), ...store?.gauges()}),
		async close() {
			await store?.close();
		},
	};
}
