/**
Emptying of an archive: every turn that has not expired is copied to other archives until it outlasts the losses that the
deployment tolerates without this machine. Archives that already hold a turn are asked first, so that only what is missing
crosses the network. What cannot be copied is tried again until it can be or the turn has expired.
*/
import {type ArchiveCopyLink, type ArchiveListing, type ListedArchive} from '../contracts/archive.js';
import {type Clock} from '../contracts/clock.js';
import {
	as, type AttemptId, type InstanceId, type Milliseconds,
} from '../contracts/id.js';
import {copiesFor, type Tolerance} from '../contracts/tolerance.js';
import {type TurnRecord} from '../contracts/turn.js';
import {isEnough} from '../zones/conversations/copy-placement.js';
import {type Copy, type CopySpreading, createCopySpreading} from './copy-spreading.js';
import {type ListedTurn, type TurnStore} from './turn-store/turn-store.js';

/** Turns that are looked up and copied together, and their bytes: enough to share the syncs of the receiving disks. */
const turnsPerGroup = 100;
const bytesPerGroup = 2 * 1024 * 1024;

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
	readonly list: () => Promise<ArchiveListing>;
	readonly tolerance: Tolerance;
	readonly clock: Clock;
	readonly onEvent: (event: ArchiveDrainEvent) => void;
};

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
	const required = copiesFor(tolerance);
	const done = new Set<AttemptId>();
	/** First turn of the chain that a turn belongs to, as far as it is known, so that chains stay together. */
	const chains = new Map<AttemptId, AttemptId>();
	let copies = 0;

	function chainOf({turn, previous}: TurnRecord): AttemptId {
		const chain = previous === undefined ? turn : chains.get(previous) ?? previous;
		chains.set(turn, chain);
		return chain;
	}

	/** Looks up which archives hold each of the turns. */
	async function findHolders(listed: readonly ListedTurn[], pass: CopySpreading): Promise<ReadonlyMap<AttemptId, readonly ListedArchive[]>> {
		// Of a partial turn another archive may hold a shorter part.
		const whole = listed.filter(turn => turn.isWhole).map(({turn}) => turn);
		const asked = whole.length === 0 ? [] : pass.targets.filter(archive => !pass.failed.has(archive.id));
		const answers = await Promise.all(asked.map(async archive => ({archive, held: await link.holds(archive.address, whole, as<Milliseconds>(lookupTimeoutMs))})));
		for (const {archive} of answers.filter(({held}) => !held)) {
			pass.fail(archive, 'it did not answer which turns it holds');
		}

		return new Map(whole.map(turn => [turn, answers.filter(({held}) => held?.has(turn)).map(({archive}) => archive)]));
	}

	/** Copies turns until enough archives hold each of them, or no archive is left for it. */
	async function copyGroup(listed: readonly ListedTurn[], pass: CopySpreading): Promise<number> {
		const found = await findHolders(listed, pass);
		const holdersOf = (turn: AttemptId) => found.get(turn) ?? [];
		const missing = listed.filter(({turn}) => !isEnough(holdersOf(turn), required));
		const records = await Promise.all(missing.map(async ({turn}) => turns.read(turn)));
		const pending: readonly Copy[] = records.filter(record => record !== undefined)
			.map(record => ({record, chain: chainOf(record), holders: [...holdersOf(record.turn)]}));
		const made = await pass.spread(pending, signal);
		const remaining = new Set(missing.map(({turn}) => turn));
		for (const {record} of pending.filter(({holders}) => isEnough(holders, required))) {
			remaining.delete(record.turn);
		}

		for (const {turn} of listed.filter(entry => !remaining.has(entry.turn))) {
			done.add(turn);
		}

		return made;
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
		const pass = createCopySpreading({
			targets,
			dataCentre: own.dataCentre,
			link,
			tolerance,
			onFailure(archive, reason) {
				onEvent({kind: 'copy-failed', archive, reason});
			},
		});
		let made = 0;
		for (const group of groupTurns(remaining())) {
			if (!signal.aborted) {
				made += await copyGroup(group, pass);
			}
		}

		copies += made;
		const left = remaining().length;
		onEvent({
			kind: 'passed', copies: made, remaining: left, archives: targets.length,
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
