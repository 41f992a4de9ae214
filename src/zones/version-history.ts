/**
Software versions that serve each pool or did until recently. Where a stream began is not always known; if only one
version can have begun it, the stream continues at that one. The watchers of the data centres keep the versions
in the store, in one object for each pool, so that an instance that has just started knows of versions whose endpoints left
before it read the list.
*/
import {z} from 'zod';
import {type Clock} from '../contracts/clock.js';
import {type Failure} from '../contracts/failure.js';
import {
	as, type EndpointId, type Milliseconds, type ObjectName, type ObjectVersion, type PoolName, type SoftwareVersion,
} from '../contracts/id.js';
import {type ObjectStore, type VersionedObject, type WriteResult} from '../contracts/object-store.js';
import {type DirectoryEntry} from './endpoint-directory.js';

/** Kind of the objects in the store, which are named after pools. */
const historyKind = 'hickoryfork-versions';

/** Interval at which a watcher compares the versions with those in the store, in ms. */
const writeIntervalMs = 250;

/** Delay before a watcher retries a write that the store did not acknowledge, in ms. */
const retryIntervalMs = 1000;

const historyBody = z.object({versions: z.array(z.string())});

type Serving = {readonly pool: PoolName; readonly version: SoftwareVersion};

type StoredVersions = {readonly revision: ObjectVersion; readonly versions: ReadonlySet<SoftwareVersion>};

export type VersionHistoryEvent
	= | {readonly kind: 'versions-written'; readonly pool: PoolName; readonly versions: readonly SoftwareVersion[]}
		| {readonly kind: 'versions-unavailable'; readonly failure: Failure};

export type VersionHistoryOptions = {
	readonly store: Pick<ObjectStore, 'list' | 'create' | 'replace'>;
	/** Whether this instance watches the store for its data centre. */
	readonly isWatcher: () => boolean;
	/** Pools whose streams may be resumed. */
	readonly pools: () => readonly PoolName[];
	/** Time after which no caller resumes a stream any more, in ms. */
	readonly lifetimeMs: number;
	/** Time since this instance last knew everything that the store had acknowledged. */
	readonly tablesAge: () => Milliseconds;
	/** Age of the tables, in ms, above which versions may have served that this instance has not seen. */
	readonly maximumTablesAgeMs: number;
	readonly clock: Clock;
	readonly onEvent: (event: VersionHistoryEvent) => void;
};

export type VersionHistory = {
	/** Records a change of the list of endpoints. */
	readonly apply: (entry: DirectoryEntry) => void;
	/** Versions that may have begun a stream of the pool that is resumed now; undefined if they are not known. */
	readonly candidates: (pool: PoolName) => Promise<ReadonlySet<SoftwareVersion> | undefined>;
	/** Keeps the versions in the store while this instance is a watcher, until the signal aborts. */
	readonly run: (signal: AbortSignal) => Promise<void>;
};

/** Creates the history of an instance that has seen no endpoint yet. */
export function createVersionHistory(options: VersionHistoryOptions): VersionHistory {
	const {clock, store, lifetimeMs} = options;
	const serving = new Map<EndpointId, Serving>();
	/** When the last endpoint of a version left the pool. */
	const endedAt = new Map<PoolName, Map<SoftwareVersion, Milliseconds>>();
	let stored: Map<PoolName, StoredVersions> | undefined;
	let firstListedAt: Milliseconds | undefined;
	let retryAt = as<Milliseconds>(0);
	let checkedAt = clock.now();

	/**
	Starts to observe anew if versions may have come and gone unseen: after the tables were too old, or after the process
	stood still, which then takes what it reads for new.
	*/
	function checkContinuity(): void {
		const now = clock.now();
		if (now - checkedAt > options.maximumTablesAgeMs || options.tablesAge() > options.maximumTablesAgeMs) {
			firstListedAt = firstListedAt === undefined ? undefined : now;
			stored = undefined;
		}

		checkedAt = now;
	}

	function end(id: EndpointId): void {
		const ended = serving.get(id);
		if (ended) {
			serving.delete(id);
			const versions = endedAt.get(ended.pool) ?? new Map<SoftwareVersion, Milliseconds>();
			versions.set(ended.version, clock.now());
			endedAt.set(ended.pool, versions);
		}
	}

	function apply(entry: DirectoryEntry): void {
		switch (entry.kind) {
			case 'listed': {
				const {id, pool, version} = entry.endpoint;
				const current = serving.get(id);
				firstListedAt ??= clock.now();
				if (current?.pool !== pool || current.version !== version) {
					end(id);
					serving.set(id, {pool, version});
				}

				return;
			}

			case 'removed': {
				end(entry.id);
			}
		}
	}

	/** Versions that serve the pool, or did within the lifetime of a stream, as far as this instance has seen. */
	function observed(pool: PoolName): Set<SoftwareVersion> {
		const now = clock.now();
		const recent = [...endedAt.get(pool) ?? []].filter(([, at]) => now - at <= lifetimeMs).map(([version]) => version);
		const current = [...serving.values()].filter(entry => entry.pool === pool).map(({version}) => version);
		return new Set([...recent, ...current]);
	}

	/** Whether this instance has seen the list of endpoints for the lifetime of a stream. */
	function isComplete(): boolean {
		return firstListedAt !== undefined && clock.now() - firstListedAt > lifetimeMs;
	}

	function adopt({name, revision, spec}: VersionedObject): void {
		const versions = historyBody.safeParse(spec).data?.versions ?? [];
		stored ??= new Map();
		stored.set(as<PoolName>(name), {revision, versions: new Set(versions.map(version => as<SoftwareVersion>(version)))});
	}

	/** Reads the versions in the store. Returns whether it answered. */
	async function load(): Promise<boolean> {
		const list = await store.list(historyKind);
		if (list.isErr()) {
			options.onEvent({kind: 'versions-unavailable', failure: list.error});
			return false;
		}

		stored = new Map();
		for (const object of list.value.objects) {
			adopt(object);
		}

		return true;
	}

	function handleWrite(pool: PoolName, versions: ReadonlySet<SoftwareVersion>, result: WriteResult): void {
		switch (result.kind) {
			case 'written': {
				stored?.set(pool, {revision: result.revision, versions});
				options.onEvent({kind: 'versions-written', pool, versions: [...versions]});
				return;
			}

			case 'conflict': {
				// Another watcher was faster; its versions are compared with the next interval.
				if (result.object) {
					adopt(result.object);
				}

				return;
			}

			case 'absent': {
				stored?.delete(pool);
				return;
			}

			case 'unavailable':
			case 'doubtful': {
				stored = undefined;
				retryAt = as<Milliseconds>(clock.now() + retryIntervalMs);
				options.onEvent({kind: 'versions-unavailable', failure: result.failure});
			}
		}
	}

	/** Writes the versions of a pool if those in the store lack one, or have one that has ended for certain. */
	async function synchronize(pool: PoolName): Promise<void> {
		const current = stored?.get(pool);
		const known = current?.versions ?? new Set<SoftwareVersion>();
		const seen = observed(pool);
		const wanted = isComplete() ? seen : new Set([...known, ...seen]);
		const isDifferent = wanted.size !== known.size || [...wanted].some(version => !known.has(version));
		if (wanted.size > 0 && isDifferent) {
			const name = as<ObjectName>(pool);
			const spec = {versions: [...wanted]};
			handleWrite(pool, wanted, current ? await store.replace(historyKind, name, spec, current.revision) : await store.create(historyKind, name, spec));
		}
	}

	return {
		apply,
		async candidates(pool) {
			checkContinuity();
			if (isComplete()) {
				return observed(pool);
			}

			const isLoaded = stored !== undefined || await load();
			const versions = stored?.get(pool)?.versions;
			return isLoaded && versions ? new Set([...versions, ...observed(pool)]) : undefined;
		},
		async run(signal) {
			while (!signal.aborted) {
				await clock.sleep(as<Milliseconds>(writeIntervalMs), signal);
				checkContinuity();
				if (!options.isWatcher() || firstListedAt === undefined || clock.now() < retryAt) {
					continue;
				}

				if (stored === undefined && !await load()) {
					retryAt = as<Milliseconds>(clock.now() + retryIntervalMs);
					continue;
				}

				for (const pool of options.pools()) {
					await synchronize(pool);
				}
			}
		},
	};
}
