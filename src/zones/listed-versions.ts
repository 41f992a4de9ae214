/**
Software versions that the store lists for each pool at the time of a question, which an instance that may be out of step
asks for instead of its own copy of the list. Concurrent questions share an answer that was asked for after all of them.
*/
import {type PoolName, type SoftwareVersion} from '../contracts/id.js';
import {type ObjectStore} from '../contracts/object-store.js';
import {type SharedObjects} from './shared-objects.js';

export type VersionsByPool = ReadonlyMap<PoolName, ReadonlySet<SoftwareVersion>>;

export type ListedVersions = {
	/** Versions of the endpoints that are listed, leaving ones included; undefined if the store does not answer. */
	readonly read: () => Promise<VersionsByPool | undefined>;
};

export type ListedVersionsOptions = {
	readonly store: Pick<ObjectStore, 'list'>;
	readonly objects: Pick<SharedObjects, 'endpointKind' | 'decodeEndpoint'>;
};

/** Creates the reader of an instance. */
export function createListedVersions({store, objects}: ListedVersionsOptions): ListedVersions {
	let current: Promise<VersionsByPool | undefined> | undefined;
	let next: Promise<VersionsByPool | undefined> | undefined;

	async function list(): Promise<VersionsByPool | undefined> {
		const listed = await store.list(objects.endpointKind);
		if (listed.isErr()) {
			return undefined;
		}

		const versions = new Map<PoolName, Set<SoftwareVersion>>();
		for (const object of listed.value.objects) {
			const endpoint = objects.decodeEndpoint(object);
			if (endpoint) {
				versions.set(endpoint.pool, (versions.get(endpoint.pool) ?? new Set()).add(endpoint.version));
			}
		}

		return versions;
	}

	async function start(): Promise<VersionsByPool | undefined> {
		next = undefined;
		current = list();
		const versions = await current;
		current = undefined;
		return versions;
	}

	/** Starts once the list that is under way has ended, since that one may be older than the question. */
	async function startAfterCurrent(): Promise<VersionsByPool | undefined> {
		await current;
		return start();
	}

	return {
		async read() {
			if (!current) {
				return start();
			}

			next ??= startAfterCurrent();
			return next;
		},
	};
}
