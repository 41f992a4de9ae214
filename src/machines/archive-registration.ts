/**
Registration of an archive in the store, under its own name. Writes are retried while the store is away, and an object that
an earlier process of the machine left is replaced. Another archive may register this one as presumed gone, so it watches its object, and
registers itself again.
*/
import {isDeepStrictEqual} from 'node:util';
import {
	archiveKind, type ArchiveState, encodeArchive, type ListedArchive,
} from '../contracts/archive.js';
import {type Clock} from '../contracts/clock.js';
import {
	as, type Milliseconds, type ObjectName, type ObjectVersion,
} from '../contracts/id.js';
import {type ObjectStore, type VersionedObject, type WriteResult} from '../contracts/object-store.js';

/** Delay before a call is tried again. */
const retryDelayMs = 500;

/** Time for which a watch waits for a change; a connection that has fallen silent holds it up for that long. */
const watchMs = 10_000;

export type ArchiveRegistrationEvent = {readonly state: ArchiveState; readonly result: WriteResult['kind']};

export type ArchiveRegistration = {
	/** Writes a state. Resolves to whether it is in the store; to false once another state was requested or the signal aborts. */
	readonly write: (state: ArchiveState, signal: AbortSignal) => Promise<boolean>;
	/** Restores the state that was written last whenever another one changes it. Resolves when the signal aborts. */
	readonly guard: (signal: AbortSignal) => Promise<void>;
	/** Whether the store had no object of the archive when it was first written, so that nobody has kept a turn there before. */
	readonly isNew: () => boolean;
};

export type ArchiveRegistrationOptions = {
	readonly archive: Omit<ListedArchive, 'state'>;
	readonly store: ObjectStore;
	readonly clock: Clock;
	readonly onEvent: (event: ArchiveRegistrationEvent) => void;
};

/** Creates the registration of an archive that the store does not know yet. */
export function createArchiveRegistration(options: ArchiveRegistrationOptions): ArchiveRegistration {
	const {store, clock} = options;
	const name = as<ObjectName>(options.archive.id);
	/** The object as it was when the store last returned it. */
	let known: Pick<VersionedObject, 'revision' | 'spec'> | undefined;
	let requested: ArchiveState | undefined;
	/** Whether no write has reached the store yet, and the result of the first one that did. */
	let isFirst = true;
	let isNew = false;

	async function attempt(spec: unknown): Promise<WriteResult> {
		if (!known) {
			const result = await store.create(archiveKind, name, spec);
			isNew ||= isFirst && result.kind === 'written';
			isFirst &&= result.kind === 'unavailable';
			return result;
		}

		return isDeepStrictEqual(known.spec, spec)
			? {kind: 'written', revision: known.revision}
			: store.replace(archiveKind, name, spec, known.revision);
	}

	/** Returns whether the spec is in the store. */
	function note(result: WriteResult, spec: unknown): boolean {
		switch (result.kind) {
			case 'written': {
				known = {revision: result.revision, spec};
				return true;
			}

			case 'conflict': {
				known = result.object;
				return false;
			}

			case 'absent': {
				known = undefined;
				return false;
			}

			case 'unavailable':
			case 'doubtful': {
				return false;
			}
		}
	}

	async function write(state: ArchiveState, signal: AbortSignal): Promise<boolean> {
		requested = state;
		const spec = encodeArchive({...options.archive, state});
		const isWanted = () => requested === state && !signal.aborted;
		while (isWanted()) {
			const result = await attempt(spec);
			options.onEvent({state, result: result.kind});
			if (note(result, spec)) {
				return true;
			}

			if (result.kind === 'unavailable' || result.kind === 'doubtful') {
				await clock.sleep(as<Milliseconds>(retryDelayMs), signal);
			}
		}

		return false;
	}

	/** Notes what the store holds. Returns whether it is something else than what was written last. */
	function isChanged(object: Pick<VersionedObject, 'revision' | 'spec'>): boolean {
		if (!known || object.revision <= known.revision) {
			return false;
		}

		const hasChanged = !isDeepStrictEqual(object.spec, known.spec);
		known = {revision: object.revision, spec: object.spec};
		return hasChanged;
	}

	/** Waits for changes of archives since a revision. Resolves to the revision from which to go on; undefined if the objects have to be listed. */
	async function followChanges(since: ObjectVersion, signal: AbortSignal): Promise<ObjectVersion | undefined> {
		const result = await store.watch(archiveKind, since, as<Milliseconds>(watchMs), signal);
		switch (result.kind) {
			case 'changes': {
				const own = result.changes.findLast(({object}) => object.name === name);
				if (own && isChanged(own.object)) {
					await restore(signal);
				}

				return result.revision;
			}

			case 'history-lost': {
				return undefined;
			}

			case 'failed': {
				await clock.sleep(as<Milliseconds>(retryDelayMs), signal);
				return undefined;
			}
		}
	}

	/** Reads the object of the archive. Resolves to the revision of the list; undefined if the store does not answer. */
	async function readOwn(signal: AbortSignal): Promise<ObjectVersion | undefined> {
		const listed = await store.list(archiveKind);
		if (listed.isErr()) {
			await clock.sleep(as<Milliseconds>(retryDelayMs), signal);
			return undefined;
		}

		const own = listed.value.objects.find(object => object.name === name);
		if (own && isChanged(own)) {
			await restore(signal);
		}

		return listed.value.revision;
	}

	async function restore(signal: AbortSignal): Promise<void> {
		if (requested !== undefined) {
			await write(requested, signal);
		}
	}

	return {
		isNew: () => isNew,
		write,
		async guard(signal) {
			let revision = known?.revision;
			while (!signal.aborted) {
				revision = revision === undefined ? await readOwn(signal) : await followChanges(revision, signal);
			}
		},
	};
}
