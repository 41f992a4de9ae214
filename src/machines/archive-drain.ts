/**
Emptying of an archive: every turn that has not expired is copied to other archives until it outlasts the losses that the
deployment tolerates without this machine. Archives that already hold a turn are asked first, so that only what is missing
crosses the network. What cannot be copied is tried again until it can be or the turn has expired.
*/
import {type ArchiveInventoryLink, type ArchiveLink, type ListedArchive} from '../contracts/archive.js';
import {type Clock} from '../contracts/clock.js';
import {
	as, type AttemptId, type InstanceId, type Milliseconds,
} from '../contracts/id.js';
import {rankByRendezvous} from '../contracts/rendezvous.js';
import {type TurnRecord} from '../contracts/turn.js';
import {areEnoughCopies, type LossTolerance, nextCopyTarget} from './copy-targets.js';
import {type ListedTurn, type TurnStore} from './turn-store/turn-store.js';

/** Turns that are looked up at other archives with one request. */
const turnsPerRequest = 100;

/** Turns that are copied at the same time: enough to share the syncs of the receiving disks. */
const concurrentCopies = 16;

/** Longer than a receiving archive waits for its disk. */
const copyTimeoutMs = 1500;

const lookupTimeoutMs = 1000;

/** Delay before what could not be copied is tried again, with the list of archives read anew. */
const retryDelayMs = 1000;

export type ArchiveDrainEvent
	= | {readonly kind: 'started'; readonly turns: number}
		/** Result of a pass over all turns. */
		| {readonly kind: 'passed'; readonly copies: number; readonly remaining: number; readonly archives: number}
		/** The first failure of an archive in a pass; it gets no more copies in that pass. */
		| {readonly kind: 'copy-failed'; readonly archive: InstanceId; readonly turn: AttemptId; readonly reason: string}
		| {readonly kind: 'archives-unavailable'; readonly reason: string}
		| {readonly kind: 'finished'; readonly copies: number};

export type ArchiveDrainOptions = {
	readonly own: Omit<ListedArchive, 'state'>;
	readonly turns: Pick<TurnStore, 'turns' | 'read'>;
	readonly link: Pick<ArchiveLink, 'keep'> & ArchiveInventoryLink;
	/** Reads the registered archives. */
	readonly list: () => Promise<{readonly kind: 'listed'; readonly archives: readonly ListedArchive[]} | {readonly kind: 'failed'; readonly reason: string}>;
	readonly tolerance: LossTolerance;
	readonly clock: Clock;
	readonly onEvent: (event: ArchiveDrainEvent) => void;
};

/** State of one pass over all turns. */
type Pass = {
	/** Archives that may take copies. */
	readonly targets: readonly ListedArchive[];
	readonly failed: Set<InstanceId>;
	copies: number;
};

function chunks<Item>(items: readonly Item[], size: number): ReadonlyArray<readonly Item[]> {
	return Array.from({length: Math.ceil(items.length / size)}, (_, index) => items.slice(index * size, (index + 1) * size));
}

/** Copies all turns of a store. Resolves to false if the signal aborts before that. */
export async function drainArchive(options: ArchiveDrainOptions, signal: AbortSignal): Promise<boolean> {
	const {own, turns, link, tolerance, clock, onEvent} = options;
	const done = new Set<AttemptId>();
	/** First turn of the chain that a turn belongs to, as far as it is known, so that chains stay together. */
	const chains = new Map<AttemptId, AttemptId>();
	let copies = 0;

	function chainOf({turn, previous}: TurnRecord): AttemptId {
		const chain = previous === undefined ? turn : chains.get(previous) ?? previous;
		chains.set(turn, chain);
		return chain;
	}

	async function copyTo(target: ListedArchive, record: TurnRecord, pass: Pass): Promise<boolean> {
		const result = await link.keep(target.address, record, as<Milliseconds>(copyTimeoutMs));
		if (result.kind === 'kept') {
			pass.copies++;
			return true;
		}

		if (!pass.failed.has(target.id)) {
			pass.failed.add(target.id);
			onEvent({
				kind: 'copy-failed', archive: target.id, turn: record.turn, reason: result.reason,
			});
		}

		return false;
	}

	/** Resolves to whether enough archives hold the turn now. */
	async function copyTurn(turn: AttemptId, found: readonly ListedArchive[], pass: Pass): Promise<boolean> {
		if (areEnoughCopies(found, tolerance)) {
			return true;
		}

		const record = await turns.read(turn);
		if (!record) {
			return false;
		}

		const ranked = rankByRendezvous(pass.targets, archive => archive.id, chainOf(record));
		const holders = [...found];
		while (!areEnoughCopies(holders, tolerance) && !signal.aborted) {
			const target = nextCopyTarget(ranked.filter(archive => !pass.failed.has(archive.id)), holders, own.dataCentre, tolerance);
			if (!target) {
				return false;
			}

			if (await copyTo(target, record, pass)) {
				holders.push(target);
			}
		}

		return !signal.aborted;
	}

	/** Looks up which archives hold each of the turns. */
	async function findHolders(listed: readonly ListedTurn[], pass: Pass): Promise<ReadonlyMap<AttemptId, readonly ListedArchive[]>> {
		// Of a partial turn another archive may hold a shorter part.
		const whole = listed.filter(turn => turn.isWhole).map(({turn}) => turn);
		const answers = whole.length === 0 ? [] : await Promise.all(pass.targets.map(async archive => ({archive, held: await link.holds(archive.address, whole, as<Milliseconds>(lookupTimeoutMs))})));
		return new Map(whole.map(turn => [turn, answers.filter(({held}) => held?.has(turn)).map(({archive}) => archive)]));
	}

	async function copyGroup(listed: readonly ListedTurn[], pass: Pass): Promise<void> {
		const holders = await findHolders(listed, pass);
		for (const group of chunks(listed, concurrentCopies)) {
			await Promise.all(group.map(async ({turn}) => {
				if (!signal.aborted && await copyTurn(turn, holders.get(turn) ?? [], pass)) {
					done.add(turn);
				}
			}));
		}
	}

	/** Goes over all turns once. Resolves to the number of those that remain. */
	async function run(): Promise<number> {
		const listing = await options.list();
		const remaining = () => turns.turns().filter(({turn}) => !done.has(turn));
		if (listing.kind === 'failed') {
			onEvent({kind: 'archives-unavailable', reason: listing.reason});
			return remaining().length;
		}

		const targets = listing.archives.filter(archive => archive.state === 'serving' && archive.id !== own.id);
		const pass: Pass = {targets, failed: new Set(), copies: 0};
		for (const group of chunks(remaining(), turnsPerRequest)) {
			if (!signal.aborted) {
				await copyGroup(group, pass);
			}
		}

		copies += pass.copies;
		const left = remaining().length;
		onEvent({
			kind: 'passed', copies: pass.copies, remaining: left, archives: targets.length,
		});
		return left;
	}

	onEvent({kind: 'started', turns: turns.turns().length});
	while (!signal.aborted) {
		if (turns.turns().every(({turn}) => done.has(turn)) || await run() === 0) {
			onEvent({kind: 'finished', copies});
			return !signal.aborted;
		}

		await clock.sleep(as<Milliseconds>(retryDelayMs), signal);
	}

	return false;
}
