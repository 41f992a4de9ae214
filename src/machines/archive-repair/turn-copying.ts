/**
Copying of turns from other archives to the own store. Each archive is asked for its part one reply after the other, so that
a repair takes a bounded share of the memory and processor time of both sides; what one cannot give is asked of the next.
*/
import PQueue from 'p-queue';
import {type ArchiveRepairLink, type ListedArchive} from '../../contracts/archive.js';
import {as, type AttemptId, type Milliseconds} from '../../contracts/id.js';
import {type TurnRecord} from '../../contracts/turn.js';
import {type TurnStore} from '../turn-store/turn-store.js';
import {type MissingTurn} from './missing-turns.js';

/** Turns that one request asks for. */
const turnsPerRequest = 128;

/** Archives that are read at the same time. */
const parallelSources = 2;

const copyTimeoutMs = 2000;

export type TurnCopyingOptions = {
	readonly link: Pick<ArchiveRepairLink, 'copies'>;
	readonly store: Pick<TurnStore, 'keep' | 'syncedExtent'>;
	readonly signal: AbortSignal;
};

export type CopyOutcome = {
	/** Number of turns that are held synced now. */
	readonly held: number;
	/** Whether the own store has refused a record. */
	readonly isRefused: boolean;
};

/** Copies turns, until the own store refuses one. */
export async function copyTurns(missing: readonly MissingTurn[], {link, store, signal}: TurnCopyingOptions): Promise<CopyOutcome> {
	const failed = new Set<ListedArchive>();
	/** Records that the own store has refused. */
	let refusals = 0;
	const isRefused = () => refusals > 0;

	async function keepAll(records: readonly TurnRecord[]): Promise<void> {
		const results = await Promise.all(records.map(async record => store.keep(record)));
		refusals += results.filter(({kind}) => kind !== 'kept').length;
	}

	/** Copies from one archive what it still has. */
	async function copyFrom(archive: ListedArchive, turns: readonly AttemptId[]): Promise<void> {
		for (let at = 0; at < turns.length && !signal.aborted && !isRefused();) {
			const asked = turns.slice(at, at + turnsPerRequest);
			const copies = await link.copies(archive.address, asked, as<Milliseconds>(copyTimeoutMs));
			if (!copies || copies.read === 0) {
				failed.add(archive);
				return;
			}

			await keepAll(copies.records.filter(({turn}) => asked.includes(turn)));
			at += copies.read;
		}
	}

	const isHeld = ({turn, extent}: MissingTurn) => (store.syncedExtent(turn) ?? -Infinity) >= extent;
	// Turns are spread over those that hold them: each begins with another one of its sources.
	let pending = missing.map((turn, offset) => ({turn, sources: [...turn.sources.slice(offset % turn.sources.length), ...turn.sources.slice(0, offset % turn.sources.length)]}));
	while (pending.length > 0 && !signal.aborted && !isRefused()) {
		const bySource = new Map<ListedArchive, AttemptId[]>();
		for (const {turn, sources} of pending) {
			const source = sources.shift();
			if (source && !failed.has(source)) {
				const turns = bySource.get(source) ?? [];
				turns.push(turn.turn);
				bySource.set(source, turns);
			}
		}

		const queue = new PQueue({concurrency: parallelSources});
		await queue.addAll([...bySource].map(([archive, turns]) => async () => copyFrom(archive, turns)));
		pending = pending.filter(({turn, sources}) => sources.length > 0 && !isHeld(turn));
	}

	return {held: missing.filter(turn => isHeld(turn)).length, isRefused: isRefused()};
}
