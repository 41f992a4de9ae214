/**
Disk of this machine. Operations of the file system block a thread of libuv's pool of four for as long as the disk does not
respond, so at most two run at a time: one that reads and one that changes something.
*/
import {
	mkdir, open, readdir, stat, unlink, type FileHandle,
} from 'node:fs/promises';
import path from 'node:path';
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import PQueue from 'p-queue';
import {type Disk, type DiskFailure, type DiskFile} from '../contracts/disk.js';
import {describeError} from '../contracts/failure.js';

/** Reads that wait for the disk at the same time; each keeps its request in memory. */
const maximumWaitingReads = 256;

const fullCodes = new Set(['ENOSPC', 'EDQUOT']);

function codeOf(error: unknown): string {
	return error instanceof Error && 'code' in error ? String(error.code) : '';
}

function toFailure(error: unknown): DiskFailure {
	return {kind: fullCodes.has(codeOf(error)) ? 'full' : 'failed', reason: describeError(error)};
}

async function runIn<Value>(lane: PQueue, operation: () => Promise<Value>): Promise<Result<Value, DiskFailure>> {
	try {
		return ok(await lane.add(operation));
	} catch (error) {
		return err(toFailure(error));
	}
}

async function readRange(handle: FileHandle, position: number, length: number, target: Uint8Array | undefined): Promise<Uint8Array> {
	// Not from the shared pool of Buffer: short records stay in the cache and would keep its slabs alive.
	const buffer = target?.subarray(0, length) ?? Buffer.allocUnsafeSlow(length);
	let filled = 0;
	while (filled < length) {
		const {bytesRead} = await handle.read(buffer, filled, length - filled, position + filled);
		if (bytesRead === 0) {
			return buffer.subarray(0, filled);
		}

		filled += bytesRead;
	}

	return buffer;
}

function withoutFirst(parts: readonly Uint8Array[], count: number): readonly Uint8Array[] {
	let skipped = 0;
	return parts.flatMap(part => {
		const start = Math.min(part.length, count - skipped);
		skipped += start;
		return start === part.length ? [] : [part.subarray(start)];
	});
}

async function writeAll(handle: FileHandle, position: number, parts: readonly Uint8Array[]): Promise<true> {
	let remaining = parts;
	let at = position;
	while (remaining.length > 0) {
		const {bytesWritten} = await handle.writev(remaining, at);
		remaining = withoutFirst(remaining, bytesWritten);
		at += bytesWritten;
	}

	return true;
}

async function syncNames(directory: string): Promise<true> {
	const handle = await open(directory, 'r');
	try {
		await handle.sync();
	} finally {
		await handle.close();
	}

	return true;
}

/** Creates a directory, and syncs its name and those of the directories above it that are new. */
async function makeDirectory(directory: string): Promise<void> {
	const first = await mkdir(directory, {recursive: true});
	const created = first === undefined ? 0 : path.relative(path.dirname(first), path.resolve(directory)).split(path.sep).length;
	let parent = path.resolve(directory);
	for (let level = 0; level < created; level++) {
		parent = path.dirname(parent);
		await syncNames(parent);
	}
}

/** Creates the disk of this machine. */
export function createDisk(): Disk {
	const changes = new PQueue({concurrency: 1});
	const reads = new PQueue({concurrency: 1});

	function toFile(handle: FileHandle): DiskFile {
		return {
			async read(position, length, target) {
				return reads.size < maximumWaitingReads
					? runIn(reads, async () => readRange(handle, position, length, target))
					: err({kind: 'failed', reason: `${reads.size} reads wait for the disk`});
			},
			write: async (position, parts) => runIn(changes, async () => writeAll(handle, position, parts)),
			sync: async () => runIn(changes, async (): Promise<true> => {
				await handle.datasync();
				return true;
			}),
			async close() {
				// Closing waits for reads of the file, so it must not hold up changes.
				await runIn(reads, async () => handle.close());
			},
		};
	}

	return {
		list: async directory => runIn(reads, async () => {
			const entries = await readdir(directory, {withFileTypes: true}).catch((error: unknown) => {
				if (codeOf(error) === 'ENOENT') {
					return [];
				}

				throw error;
			});
			const names = entries.filter(entry => entry.isFile()).map(entry => entry.name);
			const files = [];
			for (const name of names) {
				const {size} = await stat(path.join(directory, name));
				files.push({name, bytes: size});
			}

			return files;
		}),
		create: async file => runIn(changes, async () => {
			await makeDirectory(path.dirname(file));
			return toFile(await open(file, 'wx+'));
		}),
		open: async file => runIn(reads, async () => toFile(await open(file, 'r'))),
		remove: async file => runIn(changes, async (): Promise<true> => {
			await unlink(file);
			return true;
		}),
		syncDirectory: async directory => runIn(changes, async () => syncNames(directory)),
	};
}
