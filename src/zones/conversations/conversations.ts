/**
Conversations on an entry instance: assembles the body of a turn from the turns before it, and stores the turn at archives
before the end of its response is sent. No instance is responsible for a conversation: whichever one a turn arrives at
finds the chain by the name of its last turn.
*/
import {type ArchiveLink, type ListedArchive} from '../../contracts/archive.js';
import {type Clock, type Random} from '../../contracts/clock.js';
import {as, type DataCentreId, type Milliseconds} from '../../contracts/id.js';
import {type ObjectStore} from '../../contracts/object-store.js';
import {copiesFor, type Tolerance} from '../../contracts/tolerance.js';
import {type UsedRecord} from '../../contracts/turn.js';
import {
	type KeptTurns, type OpenedTurn, type ReceivedPart, type TurnRequest,
} from '../../machines/kept-turns.js';
import {type Member} from '../membership.js';
import {type RelayMessage, type RelayPeers, type RelayReply} from '../relay-peers.js';
import {type ArchiveHealth, createArchiveHealth} from './archive-health.js';
import {probeArchives} from './archive-probe.js';
import {createArchiveRegistry} from './archive-registry.js';
import {createArchiveSearch} from './archive-search.js';
import {assembleBody} from './body-assembly.js';
import {createChainCache} from './chain-cache.js';
import {type ChainResult, createChainLookup} from './chain-lookup.js';
import {isEnough, rankArchives} from './copy-placement.js';
import {createDataCentreContact} from './data-centre-contact.js';
import {createPartLookup} from './part-lookup.js';
import {createTurnKeeping, type KeepOutcome} from './turn-keeping.js';
import {createTurnMemory, type MemoryShare} from './turn-memory.js';
import {createTurnRecorder, storedRetention} from './turn-recorder.js';
import {type TurnEvent, type UnavailableReason} from './turn-event.js';

/** Memory for turns that this instance has kept or read, in bytes. */
const cacheBytes = 8 * 1024 * 1024;

/** Memory for turns in progress, in bytes: bodies, and outputs as far as they have been recorded. */
const memoryBytes = 8 * 1024 * 1024;

/** Time after which a caller is asked to retry, of which a random part is added, in ms. */
const retryAfterMs = 200;

export type ConversationsOptions = {
	readonly dataCentre: DataCentreId;
	readonly tolerance: Tolerance;
	/** Longest retention of the routes that keep turns; undefined if no route does. */
	readonly retention: () => Milliseconds | undefined;
	readonly link: ArchiveLink;
	readonly store: Pick<ObjectStore, 'list' | 'listStale'>;
	/** Time since the store answered this instance or a neighbour. */
	readonly storeSilence: () => Milliseconds;
	readonly peers: Pick<RelayPeers, 'request'>;
	readonly self: () => Member;
	readonly members: () => readonly Member[];
	readonly clock: Clock;
	readonly random: Random;
	readonly onEvent: (event: TurnEvent) => void;
};

export type Conversations = KeptTurns & {
	readonly answer: (message: Extract<RelayMessage, {kind: 'archives'}>) => RelayReply;
	/** Keeps a record of used tokens at as many archives as a turn; undefined if no archive is known. */
	readonly keepUsed: (record: UsedRecord) => Promise<KeepOutcome | undefined>;
	/** Whether turns that arrive here cannot be kept because this data centre is cut off. */
	readonly isCutOff: () => boolean;
	/** Current counts for metrics. */
	readonly gauges: () => Readonly<Record<string, number>>;
	/** Reads which archives exist, while the configuration has a route that keeps turns. */
	readonly run: (signal: AbortSignal) => Promise<void>;
};

const noChain: ChainResult = {
	kind: 'found', chain: [], sources: {cache: 0, 'own-data-centre': 0, 'other-data-centre': 0}, bytes: 0,
};

const isServing = ({state}: ListedArchive) => state === 'serving';

/** Creates the conversations of an instance. */
export function createConversations(options: ConversationsOptions): Conversations {
	const {clock, random, link, dataCentre} = options;
	/** A full or slow disk fails to keep turns while it still answers reads, so the two are observed apart. */
	const keepHealth = createHealth('keep');
	const readHealth = createHealth('read');
	const required = copiesFor(options.tolerance);
	const keeping = createTurnKeeping({
		link, required, health: keepHealth, clock,
	});
	const registry = createArchiveRegistry({
		...options,
		retention() {
			const retention = options.retention();
			return retention && storedRetention(retention);
		},
		isSufficient: archives => isEnough(archives.filter(archive => isServing(archive)), required),
	});
	const cache = createChainCache(cacheBytes);
	const memory = createTurnMemory(memoryBytes);
	const search = createArchiveSearch({link, health: readHealth, clock});
	const chains = createChainLookup({
		required,
		dataCentre, registry, search, cache, clock,
	});
	const archivesInUse = () => (registry.known() ?? []).filter(archive => !registry.isDrained(archive));
	const canKeepTurns = () => keeping.isPossible(archivesInUse().filter(archive => isServing(archive)));
	const contact = createDataCentreContact({
		...options,
		archives: () => required.dataCentres > 1 ? registry.known() ?? [] : [],
		canKeepTurns,
	});
	const parts = createPartLookup({dataCentre, search, clock});

	function createHealth(use: 'keep' | 'read'): ArchiveHealth {
		return createArchiveHealth({
			clock,
			onChange(archive, isAnswering) {
				options.onEvent({
					kind: 'archive', archive, use, isAnswering,
				});
			},
		});
	}

	function refuse({attempt, previous, signal}: TurnRequest, reason: UnavailableReason, detail: string): OpenedTurn {
		if (!signal.aborted) {
			options.onEvent({
				kind: 'unavailable', attempt, previous, reason, detail,
			});
		}

		return {kind: 'unavailable', retryAfter: as<Milliseconds>(retryAfterMs * (1 + random.fraction()))};
	}

	/** Archives in the order in which they are preferred for a key. */
	const rankedBy = (key: string) => rankArchives(archivesInUse(), key, dataCentre);

	/** Archives for the turns of a program. */
	const rankedFor = ({program, previous, attempt}: TurnRequest) => rankedBy(program ?? previous ?? attempt);
	const rankedForCopies = (turn: TurnRequest) => rankedFor(turn).filter(archive => isServing(archive));

	async function findChain(turn: TurnRequest, share: MemoryShare, deadline: Milliseconds): Promise<ChainResult> {
		const {attempt, previous, workspace} = turn;
		if (previous === undefined) {
			return noChain;
		}

		const startedAt = clock.now();
		const result = await chains.find({
			turn: previous, workspace, ranked: rankedFor(turn), memory: share, deadline, signal: turn.signal,
		});
		if (result.kind === 'found') {
			options.onEvent({
				kind: 'read', attempt, previous, sources: result.sources, bytes: result.bytes, took: as<Milliseconds>(clock.now() - startedAt),
			});
		}

		return result;
	}

	async function findPart(turn: TurnRequest, deadline: Milliseconds): Promise<ReceivedPart | undefined> {
		const {attempt, resumption} = turn;
		if (!resumption) {
			return undefined;
		}

		const startedAt = clock.now();
		const part = await parts.find(turn, resumption, rankedFor(turn), deadline);
		options.onEvent({
			kind: 'part-read', attempt, firstAttempt: resumption.firstAttempt, isFound: part !== undefined, took: as<Milliseconds>(clock.now() - startedAt),
		});
		return part;
	}

	function openWith(turn: TurnRequest, share: MemoryShare, chain: ChainResult, received: ReceivedPart | undefined): OpenedTurn {
		const {attempt, previous} = turn;
		switch (chain.kind) {
			case 'found': {
				if (!share.add(turn.input.length + (received?.output.length ?? 0))) {
					return refuse(turn, 'memory', `${memory.total()} bytes are held by other turns`);
				}

				return {
					kind: 'opened',
					body: assembleBody(chain.chain, turn.input),
					received,
					recorder: createTurnRecorder({
						turn, received, memory: share, keeping, cache, ranked: () => rankedForCopies(turn), onEvent: options.onEvent,
					}),
				};
			}

			case 'unknown': {
				options.onEvent({
					kind: 'unknown', attempt, previous: previous ?? attempt, proof: chain.proof, archives: chain.archives,
				});
				return {kind: 'unknown-turn'};
			}

			case 'unavailable': {
				return refuse(turn, chain.reason, chain.detail);
			}

			case 'too-long': {
				options.onEvent({
					kind: 'too-long', attempt, previous, turns: chain.turns, bytes: chain.bytes,
				});
				return {kind: 'too-long'};
			}
		}
	}

	return {
		async open(turn) {
			const deadline = as<Milliseconds>(clock.now() + turn.timeLeft);
			const archives = await registry.obtain(turn.timeLeft);
			if (!archives) {
				return refuse(turn, 'archives-unknown', 'neither the store nor a peer has told which archives exist');
			}

			// A turn that could not be kept would be aborted at its end.
			if (contact.isCutOff() || !canKeepTurns()) {
				return refuse(turn, 'too-few-archives', `${archives.filter(archive => isServing(archive)).length} archives take turns, ${keepHealth.skipped()} of them do not answer`);
			}

			const share = memory.open();
			const [chain, received] = await Promise.all([findChain(turn, share, deadline), findPart(turn, deadline)]);
			const opened = openWith(turn, share, chain, received);
			if (opened.kind !== 'opened') {
				share.release();
			}

			return opened;
		},
		async keepUsed(record) {
			return registry.known() && keeping.keep(record, rankedBy(record.content.program).filter(archive => isServing(archive)), as<Milliseconds>(Infinity));
		},
		isCutOff: contact.isCutOff,
		answer: () => registry.answer(),
		gauges: () => ({
			archives: registry.known()?.length ?? 0,
			archivesNotKeeping: keepHealth.skipped(),
			archivesNotAnswering: readHealth.skipped(),
			cachedTurnBytes: cache.bytes(),
			turnMemoryBytes: memory.total(),
		}),
		async run(signal) {
			await Promise.all([
				registry.run(signal),
				contact.run(signal),
				probeArchives({
					link, health: keepHealth, archives: () => registry.known()?.filter(archive => isServing(archive)) ?? [], clock,
				}, signal),
			]);
		},
	};
}
