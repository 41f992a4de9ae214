/**
Emptying of an archive: every turn that has not expired is copied to other archives until it outlasts the losses that the
deployment tolerates without this machine. Archives that already hold a turn are asked first, so that only what is missing
crosses the network. What cannot be copied is tried again until it can be or the turn has expired.
*/
import {type ArchiveCopyLink, type ListedArchive} from '../contracts/archive.js';
import {type Clock} from '../contracts/clock.js';
import {
	as, type AttemptId, type InstanceId, type Milliseconds,
} from '../contracts/id.js';
import {rankByRendezvous} from '../contracts/rendezvous.js';
import {type TurnRecord} from '../contracts/turn.js';
import {areEnoughCopies, type LossTolerance, nextCopyTarget} from './copy-targets.js';
import {type ListedTurn, type TurnStore} from './turn-store/turn-store.js';

/** Turns that are looked up and copied together, and their bytes: enough to share the syncs of the receiving disks. */
const turnsPerGroup = 100;
const bytesPerGroup = 2 * 1024 * 1024;

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
		| {readonly kind: 'copy-failed'; readonly archive: InstanceId; readonly reason: string}
		| {readonly kind: 'archives-unavailable'; readonly reason: string}
		| {readonly kind: 'finished'; readonly copies: number};

export type ArchiveDrainOptions = {
	readonly own: Omit<ListedArchive, 'state'>;
	readonly turns: Pick<TurnStore, 'turns' | 'read'>;
	readonly link: ArchiveCopyLink;
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

/** A turn that is to be copied, with the archives that hold it. */
type Copy = {readonly record: TurnRecord; readonly chain: AttemptId; readonly holders: ListedArchive[]};

/** Splits turns into groups; a turn that is larger than a group is one of its own. */
function groupTurns(turns: readonly ListedTurn[]): ReadonlyArray<readonly ListedTurn[]> {
	const groups: ListedTurn[][] = [];
	let bytes = 0;
	for (const turn of turns) {
		const group = groups.at(-1);
		bytes += turn.bytes;
		if (group && group.length < turnsPerGroup && bytes <= bytesPerGroup) {
			group.push(turn);
		} else {
			groups.push([turn]);
			({bytes} = turn);
		}
	}

	return groups;
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

	/** Leaves an archive out for the rest of a pass, as each request to it may take until its timeout. */
	function fail(archive: ListedArchive, reason: string, pass: Pass): void {
		pass.failed.add(archive.id);
		onEvent({kind: 'copy-failed', archive: archive.id, reason});
	}

	/** Looks up which archives hold each of the turns. */
	async function findHolders(listed: readonly ListedTurn[], pass: Pass): Promise<ReadonlyMap<AttemptId, readonly ListedArchive[]>> {
		// Of a partial turn another archive may hold a shorter part.
		const whole = listed.filter(turn => turn.isWhole).map(({turn}) => turn);
		const asked = whole.length === 0 ? [] : pass.targets.filter(archive => !pass.failed.has(archive.id));
		const answers = await Promise.all(asked.map(async archive => ({archive, held: await link.holds(archive.address, whole, as<Milliseconds>(lookupTimeoutMs))})));
		for (const {archive} of answers.filter(({held}) => !held)) {
			fail(archive, 'it did not answer which turns it holds', pass);
		}

		return new Map(whole.map(turn => [turn, answers.filter(({held}) => held?.has(turn)).map(({archive}) => archive)]));
	}

	/** Sends copies to one archive, and adds it to the holders of what it stored. */
	async function copyTo(target: ListedArchive, sent: readonly Copy[], pass: Pass): Promise<void> {
		const {stored, reason} = await link.copy(target.address, sent.map(({record}) => record), as<Milliseconds>(copyTimeoutMs));
		for (const {holders} of sent.filter(({record}) => stored.has(record.turn))) {
			pass.copies++;
			holders.push(target);
		}

		if (reason !== undefined) {
			fail(target, reason, pass);
		}
	}

	/** Sends each turn to the archive that takes its next copy. Resolves to those for which there was one. */
	async function copyOnce(pending: readonly Copy[], pass: Pass): Promise<readonly Copy[]> {
		const usable = pass.targets.filter(archive => !pass.failed.has(archive.id));
		const byTarget = new Map<ListedArchive, Copy[]>();
		for (const copy of pending) {
			const ranked = rankByRendezvous(usable, archive => archive.id, copy.chain);
			const target = nextCopyTarget(ranked, copy.holders, own.dataCentre, tolerance);
			if (target) {
				byTarget.set(target, [...byTarget.get(target) ?? [], copy]);
			}
		}

		await Promise.all([...byTarget].map(async ([target, sent]) => copyTo(target, sent, pass)));
		return [...byTarget.values()].flat();
	}

	/** Copies turns until enough archives hold each of them, or no archive is left for it. */
	async function copyGroup(listed: readonly ListedTurn[], pass: Pass): Promise<void> {
		const found = await findHolders(listed, pass);
		const holdersOf = (turn: AttemptId) => found.get(turn) ?? [];
		const missing = listed.filter(({turn}) => !areEnoughCopies(holdersOf(turn), tolerance));
		const records = await Promise.all(missing.map(async ({turn}) => turns.read(turn)));
		let pending: readonly Copy[] = records.filter(record => record !== undefined)
			.map(record => ({record, chain: chainOf(record), holders: [...holdersOf(record.turn)]}));
		const remaining = new Set(missing.map(({turn}) => turn));
		while (pending.length > 0 && !signal.aborted) {
			const copied = await copyOnce(pending, pass);
			for (const {record} of copied.filter(({holders}) => areEnoughCopies(holders, tolerance))) {
				remaining.delete(record.turn);
			}

			pending = copied.filter(({record}) => remaining.has(record.turn));
		}

		for (const {turn} of listed.filter(entry => !remaining.has(entry.turn))) {
			done.add(turn);
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
		for (const group of groupTurns(remaining())) {
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
