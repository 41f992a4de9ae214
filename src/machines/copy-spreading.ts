/**
Spreading of copies: sends each record to one archive after the other until enough of them hold it. An archive that fails gets no more
for the rest of a pass, as each request to it may take until its timeout.
*/
import {type ArchiveCopyLink, type ListedArchive} from '../contracts/archive.js';
import {
	as, type AttemptId, type DataCentreId, type InstanceId, type Milliseconds,
} from '../contracts/id.js';
import {rankByRendezvous} from '../contracts/rendezvous.js';
import {copiesFor, type Tolerance} from '../contracts/tolerance.js';
import {type TurnRecord} from '../contracts/turn.js';
import {isEnough} from '../zones/conversations/copy-placement.js';
import {nextCopyTarget} from './copy-targets.js';

/** Longer than a receiving archive waits for its disk. */
const copyTimeoutMs = 1500;

/** A record that is to be copied, with the archives that hold it. */
export type Copy = {readonly record: TurnRecord; readonly chain: AttemptId; readonly holders: ListedArchive[]};

export type CopySpreading = {
	/** Archives that may take copies. */
	readonly targets: readonly ListedArchive[];
	/** Archives that get no more copies. */
	readonly failed: ReadonlySet<InstanceId>;
	/** Sends copies until enough archives hold each record, or none is left for it. Resolves to the number of copies made. */
	readonly spread: (copies: readonly Copy[], signal: AbortSignal) => Promise<number>;
	/** Leaves an archive out from now on. */
	readonly fail: (archive: ListedArchive, reason: string) => void;
};

export type CopySpreadingOptions = {
	readonly targets: readonly ListedArchive[];
	/** Data centre that takes the first copy. */
	readonly dataCentre: DataCentreId;
	readonly link: Pick<ArchiveCopyLink, 'copy'>;
	readonly tolerance: Tolerance;
	readonly onFailure: (archive: InstanceId, reason: string) => void;
};

/** Creates the spreading of one pass. */
export function createCopySpreading({targets, dataCentre, link, tolerance, onFailure}: CopySpreadingOptions): CopySpreading {
	const required = copiesFor(tolerance);
	const failed = new Set<InstanceId>();
	let made = 0;

	function fail(archive: ListedArchive, reason: string): void {
		failed.add(archive.id);
		onFailure(archive.id, reason);
	}

	/** Sends copies to one archive, and adds it to the holders of what it stored. */
	async function copyTo(target: ListedArchive, sent: readonly Copy[]): Promise<void> {
		const {stored, reason} = await link.copy(target.address, sent.map(({record}) => record), as<Milliseconds>(copyTimeoutMs));
		for (const {holders} of sent.filter(({record}) => stored.has(record.turn))) {
			made++;
			holders.push(target);
		}

		if (reason !== undefined) {
			fail(target, reason);
		}
	}

	/** Sends each record to the archive that takes its next copy. Resolves to those for which there was one. */
	async function copyOnce(pending: readonly Copy[]): Promise<readonly Copy[]> {
		const usable = targets.filter(archive => !failed.has(archive.id));
		const byTarget = new Map<ListedArchive, Copy[]>();
		for (const copy of pending) {
			const ranked = rankByRendezvous(usable, archive => archive.id, copy.chain);
			const target = nextCopyTarget(ranked, copy.holders, dataCentre, tolerance);
			if (target) {
				byTarget.set(target, [...byTarget.get(target) ?? [], copy]);
			}
		}

		await Promise.all([...byTarget].map(async ([target, sent]) => copyTo(target, sent)));
		return [...byTarget.values()].flat();
	}

	return {
		targets,
		failed,
		fail,
		async spread(copies, signal) {
			const before = made;
			let pending = copies;
			while (pending.length > 0 && !signal.aborted) {
				const copied = await copyOnce(pending);
				pending = copied.filter(({holders}) => !isEnough(holders, required));
			}

			return made - before;
		},
	};
}
