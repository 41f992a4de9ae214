/**
Looks up the chain of turns that a turn continues: in the cache, then at the archives, until the first turn of the chain is
found. That a turn does not exist is concluded only if no archive that the store lists at that moment has it, and those that have not
answered or may have lost turns could not hold all of its copies. Whatever is not certain makes the chain unavailable for now.
*/
import {type ListedArchive} from '../../contracts/archive.js';
import {type Clock} from '../../contracts/clock.js';
import {
	as, type AttemptId, type DataCentreId, type InstanceId, type Milliseconds,
} from '../../contracts/id.js';
import {type CopyRequirement} from '../../contracts/tolerance.js';
import {type WorkspaceName} from '../../contracts/workspace.js';
import {createRunTimeLimit} from '../run-time-limit.js';
import {type ArchiveRegistry} from './archive-registry.js';
import {type ArchiveSearch, type SearchResult} from './archive-search.js';
import {maximumBodyBytes} from './body-assembly.js';
import {
	type ChainCache, contentBytes, isWhole, type WholeTurn,
} from './chain-cache.js';
import {isProvenWithout} from './copy-placement.js';
import {type MemoryShare} from './turn-memory.js';
import {type AbsenceProof, type TurnSource, type UnavailableReason} from './turn-event.js';

/** Maximum number of turns in a chain; the longest ones known have 22. */
const maximumChainTurns = 256;

/** Time for which the archives are searched for one turn, in ms; those before it are mostly found with it. */
const searchTimeoutMs = 500;

/** Time for all turns of a chain, in ms, with the time for which this process stood still. */
const lookupTimeoutMs = 2000;

/** Time after that for the proof that a turn does not exist, in ms; it includes a read of the store. */
const proofTimeoutMs = 800;

export type ChainRequest = {
	/** The turn that the chain ends with. */
	readonly turn: AttemptId;
	readonly workspace: WorkspaceName | undefined;
	/** Archives in the order in which they are preferred. */
	readonly ranked: readonly ListedArchive[];
	readonly memory: MemoryShare;
	/** Time of the clock at which the caller no longer waits. */
	readonly deadline: Milliseconds;
	/** Aborts when the chain is no longer needed. */
	readonly signal: AbortSignal;
};

export type ChainResult
	/** The whole chain, the newest turn first. */
	= | {readonly kind: 'found'; readonly chain: readonly WholeTurn[]; readonly sources: Readonly<Record<TurnSource, number>>; readonly bytes: number}
		| {readonly kind: 'unknown'; readonly proof: AbsenceProof; readonly archives: readonly InstanceId[]}
		| {readonly kind: 'unavailable'; readonly reason: UnavailableReason; readonly detail: string}
		| {readonly kind: 'too-long'; readonly turns: number; readonly bytes: number};

export type ChainLookup = {
	readonly find: (request: ChainRequest) => Promise<ChainResult>;
};

export type ChainLookupOptions = {
	readonly dataCentre: DataCentreId;
	/** Copies of a turn that are enough. */
	readonly required: CopyRequirement;
	readonly registry: ArchiveRegistry;
	readonly search: ArchiveSearch;
	readonly cache: ChainCache;
	readonly clock: Clock;
};

type Absence = Extract<ChainResult, {kind: 'unknown' | 'unavailable'}>;

function unavailable(reason: UnavailableReason, detail: string): Extract<ChainResult, {kind: 'unavailable'}> {
	return {kind: 'unavailable', reason, detail};
}

function namesOf(archives: readonly ListedArchive[]): string {
	return archives.length === 0 ? 'none' : archives.map(({id}) => id).join(', ');
}

/** Why a turn may not be used by a caller of the workspace; undefined if it may. */
function objectionTo(record: WholeTurn, workspace: WorkspaceName | undefined): Absence | undefined {
	if (record.workspace === workspace) {
		return undefined;
	}

	// A turn that was kept while the configuration had no workspaces is not known to be another one's.
	return record.workspace === undefined || workspace === undefined
		? unavailable('workspace-unclear', `${record.turn} was kept ${record.workspace === undefined ? 'without a workspace' : `for workspace ${record.workspace}`}`)
		: {kind: 'unknown', proof: 'other-workspace', archives: []};
}

/** Creates the lookup of an instance. */
export function createChainLookup(options: ChainLookupOptions): ChainLookup {
	const {registry, search, cache, clock} = options;

	/** Why the answers do not prove that the turn does not exist; undefined if they do, provided that all archives were asked. */
	function doubtAbout({silent, incomplete}: SearchResult): Absence | undefined {
		if (isProvenWithout([...silent, ...incomplete], options.required)) {
			return undefined;
		}

		const reason = silent.length > 0 ? 'archives-silent' : 'archives-incomplete';
		return unavailable(reason, `no answer from ${namesOf(silent)}; turns may be missing at ${namesOf(incomplete)}`);
	}

	/** Reads which archives exist, and asks all of them again: an archive that has left since may have copied the turn to one that was asked before. */
	async function confirmAbsence(turn: AttemptId, {deadline, signal}: ChainRequest): Promise<SearchResult | Absence> {
		const limit = createRunTimeLimit(clock, proofTimeoutMs, as<Milliseconds>(Math.min(deadline, clock.now() + lookupTimeoutMs)), signal);
		const listed = await limit.wait(registry.readConsistently());
		const archives = listed?.filter(archive => !registry.isDrained(archive)) ?? [];
		if (archives.length === 0) {
			return unavailable('registry-unavailable', listed ? 'the store lists no archive' : 'the store did not tell which archives exist');
		}

		const result = await search.find(turn, [archives], limit, isWhole);
		return result.found ? result : doubtAbout(result) ?? {kind: 'unknown', proof: 'all-archives', archives: archives.map(({id}) => id)};
	}

	/** Searches the archives for a turn and those before it. `isNamed` tells that the request names it. */
	async function searchFor(turn: AttemptId, request: ChainRequest, until: Milliseconds, isNamed: boolean): Promise<SearchResult | Absence> {
		const result = await search.find(turn, search.wavesOf(request.ranked, options.dataCentre), createRunTimeLimit(clock, searchTimeoutMs, until, request.signal), isWhole);
		if (result.found) {
			return result;
		}

		const doubt = doubtAbout(result);
		if (doubt) {
			return doubt;
		}

		// Only of the turn that a request names does it matter whether it exists nowhere.
		return isNamed ? confirmAbsence(turn, request) : unavailable('gap-in-chain', `no archive has ${turn}`);
	}

	async function find(request: ChainRequest): Promise<ChainResult> {
		const until = as<Milliseconds>(Math.min(request.deadline, clock.now() + lookupTimeoutMs));
		const chain: WholeTurn[] = [];
		const sources = {cache: 0, 'own-data-centre': 0, 'other-data-centre': 0};
		let bytes = 0;
		let next: AttemptId | undefined = request.turn;

		/** Appends a turn to the chain. Returns why the chain cannot be used, if so. */
		function append(record: WholeTurn, source: TurnSource): ChainResult | undefined {
			const objection = objectionTo(record, request.workspace);
			if (objection) {
				return objection;
			}

			chain.push(record);
			bytes += contentBytes(record);
			sources[source]++;
			next = record.previous;
			if (chain.length > maximumChainTurns || bytes > maximumBodyBytes) {
				return {kind: 'too-long', turns: chain.length, bytes};
			}

			return request.memory.add(contentBytes(record)) ? undefined : unavailable('memory', `${bytes} bytes of the chain do not fit`);
		}

		while (next !== undefined) {
			const cached = cache.get(next);
			const failed = cached ? append(cached, 'cache') : await appendFromArchives(next);
			if (failed) {
				return failed;
			}
		}

		return {
			kind: 'found', chain, sources, bytes,
		};

		async function appendFromArchives(turn: AttemptId): Promise<ChainResult | undefined> {
			const result = await searchFor(turn, request, until, chain.length === 0);
			if ('kind' in result) {
				return result;
			}

			const source = result.found?.archive.dataCentre === options.dataCentre ? 'own-data-centre' : 'other-data-centre';
			for (const record of result.found?.records ?? []) {
				if (!isWhole(record)) {
					break;
				}

				const failed = append(record, source);
				if (failed) {
					return failed;
				}

				cache.put(record);
			}

			return undefined;
		}
	}

	return {find};
}
