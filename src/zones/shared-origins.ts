/**
Origins of streams, shared by all instances: where a stream began is looked up in the records of instances and, if none
knows it, concluded from the software versions that have served lately.
*/
import {type Clock} from '../contracts/clock.js';
import {type Milliseconds, type PoolName, type SoftwareVersion} from '../contracts/id.js';
import {type ObjectStore} from '../contracts/object-store.js';
import {type RelayRoute} from '../contracts/relay.js';
import {type RelayRequest} from '../contracts/relay-request.js';
import {type OriginLookup, type StreamOrigins} from '../machines/stream-origins.js';
import {type DirectoryEntry} from './endpoint-directory.js';
import {type Member} from './membership.js';
import {createListedVersions, type ListedVersionsOptions} from './listed-versions.js';
import {createOriginRecords} from './origin-records.js';
import {type RelayMessage, type RelayPeers, type RelayReply} from './relay-peers.js';
import {createVersionHistory, type VersionHistoryEvent} from './version-history.js';

/** Time after which no caller resumes a stream any more, in ms. */
const streamLifetimeMs = 30_000;

/** Age of the tables, in ms, above which versions may serve that this instance does not know. */
const maximumTablesAgeMs = 2000;

export type SharedOriginsOptions = {
	readonly self: () => Member;
	readonly members: () => readonly Member[];
	readonly peers: Pick<RelayPeers, 'request' | 'post'>;
	readonly store: ObjectStore;
	readonly objects: ListedVersionsOptions['objects'];
	readonly isWatcher: () => boolean;
	/** Pools whose streams may be resumed. */
	readonly pools: () => readonly PoolName[];
	/** Time since this instance last knew everything that the store had acknowledged. */
	readonly tablesAge: () => Milliseconds;
	readonly clock: Clock;
	readonly onEvent: (event: VersionHistoryEvent) => void;
};

export type SharedOrigins = StreamOrigins & {
	/** Records a change of the list of endpoints. */
	readonly apply: (entry: DirectoryEntry) => void;
	readonly answer: (message: Extract<RelayMessage, {kind: 'origin' | 'find-origin'}>) => RelayReply;
	readonly run: (signal: AbortSignal) => Promise<void>;
};

const unknown: OriginLookup = {kind: 'unknown'};

/** Creates the origins of an instance. */
export function createSharedOrigins(options: SharedOriginsOptions): SharedOrigins {
	const records = createOriginRecords({...options, lifetimeMs: streamLifetimeMs});
	const history = createVersionHistory({...options, lifetimeMs: streamLifetimeMs, maximumTablesAgeMs});
	const listed = createListedVersions(options);

	/**
	The origin of a stream that no instance knows, if only one version can have begun it. A version may have joined and begun
	streams since this instance last heard from the others, so the store is asked for those that are listed now.
	*/
	async function conclude(request: RelayRequest, route: RelayRoute): Promise<OriginLookup> {
		const [pool, ...otherPools] = route.shares.filter(({weight}) => weight > 0).map(share => share.pool);
		if (pool === undefined || otherPools.length > 0 || options.tablesAge() > maximumTablesAgeMs) {
			return unknown;
		}

		const [served, serving] = await Promise.all([history.candidates(pool), listed.read()]);
		if (!served || !serving) {
			return unknown;
		}

		const candidates: readonly SoftwareVersion[] = [...new Set([...served, ...serving.get(pool) ?? []])];
		const [version] = candidates;
		return version !== undefined && candidates.length === 1 ? {kind: 'found', origin: {pool, version, program: request.program?.id}} : unknown;
	}

	return {
		record: records.record,
		async lookUp(request, route) {
			const {firstAttempt, timeLeft = route.timeout} = request;
			const origin = firstAttempt === undefined ? undefined : await records.lookUp(firstAttempt, timeLeft);
			if (!origin) {
				return conclude(request, route);
			}

			const isAllowed = origin.program === request.program?.id && route.shares.some(({pool, weight}) => pool === origin.pool && weight > 0);
			return isAllowed ? {kind: 'found', origin} : unknown;
		},
		apply: history.apply,
		answer(message) {
			switch (message.kind) {
				case 'origin': {
					records.store(message.attempt, message.origin);
					return {kind: 'done'};
				}

				case 'find-origin': {
					return {kind: 'origin', origin: records.known(message.attempt)};
				}
			}
		},
		run: history.run,
	};
}
