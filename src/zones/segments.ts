/**
Segments of a shard: the records that were checkpointed out of the ring of slots, packed into objects
of nearly the maximum size. The head lists the segments and the first batch that is still in the ring.

A segment's name contains the epoch of its writer, so that no two owners ever write the same object.
A new owner rewrites the head first, which fences earlier owners: they can neither update the head any
more nor remove a segment that it lists.
*/
import {type Clock} from '../contracts/clock.js';
import {
	as, type FencingNumber, type Milliseconds, type ObjectName, type ObjectVersion,
} from '../contracts/id.js';
import {maximumBatchBytes} from '../contracts/append-queue.js';
import {type Head} from '../contracts/ledger-event.js';
import {type Platform} from '../contracts/platform.js';
import {type JournalRecord} from '../contracts/record.js';

const retryMs = 100;

/** Size up to which the last segment is rewritten with further records; merging larger ones is left to compaction. */
const extensibleBytes = 64 * 1024;

/** Number of segments at which a shard is compacted for the first time. */
const segmentsBeforeCompaction = 16;

export type Segments = {
	/** Sequence number of the first batch in the ring; undefined when the platform does not answer. */
	readonly base: () => Promise<number | undefined>;
	/** Fences earlier owners and returns the records of all segments. Retries through outages until the signal aborts. */
	readonly fenceAndLoad: (epoch: FencingNumber) => Promise<readonly JournalRecord[]>;
	/** Writes the records of the ring up to a batch to segments and advances the head past it. Returns whether that succeeded. */
	readonly checkpoint: (sequence: number, records: readonly JournalRecord[], live: () => readonly JournalRecord[]) => Promise<boolean>;
	readonly count: () => number;
};

export type SegmentsOptions = {
	readonly folder: string;
	readonly platform: Platform;
	readonly clock: Clock;
	readonly signal: AbortSignal;
};

type OpenSegment = {readonly name: string; version: ObjectVersion; bytes: number; readonly records: JournalRecord[]};

type Chunk = {readonly records: JournalRecord[]; bytes: number};

/** Head of a shard that has no batch yet. */
export const emptyHead: Head = {base: 0, segments: []};

function isHead(value: unknown): value is Head {
	return typeof value === 'object' && value !== null && 'base' in value && 'segments' in value;
}

function recordsIn(value: unknown): readonly JournalRecord[] {
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Only owners of the shard write its objects.
	return Array.isArray(value) ? value as JournalRecord[] : [];
}

function pack(records: readonly JournalRecord[]): Chunk[] {
	const chunks: Chunk[] = [];
	for (const record of records) {
		const bytes = JSON.stringify(record).length;
		const last = chunks.at(-1);
		if (last && last.bytes + bytes <= maximumBatchBytes) {
			last.records.push(record);
			last.bytes += bytes;
		} else {
			chunks.push({records: [record], bytes});
		}
	}

	return chunks;
}

/** Creates the segments of one shard. Nothing is read or written at creation. */
export function createSegments(options: SegmentsOptions): Segments {
	const {platform, clock, signal, folder} = options;
	let epoch = as<FencingNumber>(0);
	let head = emptyHead;
	let headVersion = as<ObjectVersion>(0);
	let open: OpenSegment | undefined;
	let createdCount = 0;
	let compactAt = segmentsBeforeCompaction;

	const objectName = (suffix: string) => as<ObjectName>(`${folder}/${suffix}`);

	async function writeHead(next: Head): Promise<boolean> {
		const update = await platform.update(objectName('head'), headVersion, next);
		if (update.kind !== 'written') {
			return false;
		}

		head = next;
		headVersion = update.version;
		return true;
	}

	async function readHead(): Promise<boolean> {
		const object = await platform.read(objectName('head'));
		if (object.isErr()) {
			return false;
		}

		headVersion = object.value.version;
		head = isHead(object.value.value) ? object.value.value : emptyHead;
		return true;
	}

	async function fence(): Promise<void> {
		while (!signal.aborted) {
			if (await readHead() && await writeHead({...head})) {
				return;
			}

			await clock.sleep(as<Milliseconds>(retryMs), signal);
		}
	}

	async function load(segment: string): Promise<readonly JournalRecord[]> {
		while (!signal.aborted) {
			const object = await platform.read(objectName(`segment/${segment}`));
			if (object.isOk()) {
				return recordsIn(object.value.value);
			}

			await clock.sleep(as<Milliseconds>(retryMs), signal);
		}

		return [];
	}

	/** Writes a chunk as a new segment. Returns undefined when the write failed. */
	async function create(chunk: Chunk): Promise<OpenSegment | undefined> {
		createdCount++;
		const name = `${epoch}-${createdCount}`;
		const update = await platform.update(objectName(`segment/${name}`), as<ObjectVersion>(0), chunk.records);
		return update.kind === 'written'
			? {
				name, version: update.version, bytes: chunk.bytes, records: [...chunk.records],
			}
			: undefined;
	}

	/** Appends a chunk to the segment written last, if there is room. Returns whether it was appended. */
	async function extend(chunk: Chunk): Promise<boolean> {
		if (!open || open.bytes + chunk.bytes > extensibleBytes) {
			return false;
		}

		const update = await platform.update(objectName(`segment/${open.name}`), open.version, [...open.records, ...chunk.records]);
		if (update.kind !== 'written') {
			// The segment may have been extended although the write failed, so it is not written again.
			open = undefined;
			return false;
		}

		open.version = update.version;
		open.bytes += chunk.bytes;
		open.records.push(...chunk.records);
		return true;
	}

	/** Writes chunks to segments. Returns the names of new segments, or undefined when one could not be written. */
	async function store(chunks: readonly Chunk[]): Promise<readonly string[] | undefined> {
		const names: string[] = [];
		for (const chunk of chunks) {
			if (await extend(chunk)) {
				continue;
			}

			open = await create(chunk);
			if (!open) {
				return undefined;
			}

			names.push(open.name);
		}

		return names;
	}

	async function remove(names: readonly string[]): Promise<void> {
		await Promise.all(names.map(async name => {
			const object = await platform.read(objectName(`segment/${name}`));
			if (object.isOk() && object.value.version > 0) {
				await platform.remove(objectName(`segment/${name}`), object.value.version);
			}
		}));
	}

	/** Rewrites all live records as new segments, so that records of deleted programs take up no space. */
	async function compact(sequence: number, live: readonly JournalRecord[]): Promise<boolean> {
		const old = head.segments;
		open = undefined;
		const names = await store(pack(live));
		if (!names || !await writeHead({base: sequence + 1, segments: names})) {
			return false;
		}

		compactAt = Math.max(segmentsBeforeCompaction, names.length * 2);
		await remove(old);
		return true;
	}

	return {
		base: async () => await readHead() ? head.base : undefined,
		async fenceAndLoad(newEpoch) {
			epoch = newEpoch;
			await fence();
			const records: JournalRecord[] = [];
			for (const segment of head.segments) {
				records.push(...await load(segment));
			}

			return records;
		},
		async checkpoint(sequence, records, live) {
			if (head.segments.length >= compactAt) {
				return compact(sequence, live());
			}

			const names = await store(pack(records));
			return names !== undefined && writeHead({base: sequence + 1, segments: [...head.segments, ...names]});
		},
		count: () => head.segments.length,
	};
}
