/**
Memory for request bodies that arrive in pieces. Small bodies are kept in a buffer that doubles, larger ones in blocks that all
bodies share and that are used again: a body that is given up frees its memory at once, rather than when it is collected.
*/
import {Buffer} from 'node:buffer';
import {createByteBuffer} from './byte-buffer.js';

const blockBytes = 64 * 1024;

/** Number of blocks that are kept although no body uses them. */
const retainedBlocks = 64;

export type BlockPool = {
	readonly take: () => Uint8Array;
	readonly giveBack: (blocks: readonly Uint8Array[]) => void;
};

/** Creates a pool without blocks. It keeps at most as many free ones as are in use, or `retainedBlocks`. */
export function createBlockPool(): BlockPool {
	const free: Uint8Array[] = [];
	let used = 0;
	return {
		take() {
			used++;
			return free.pop() ?? Buffer.allocUnsafeSlow(blockBytes);
		},
		giveBack(blocks) {
			used -= blocks.length;
			free.push(...blocks);
			free.length = Math.min(free.length, Math.max(used, retainedBlocks));
		},
	};
}

export type RequestBuffer = {
	readonly append: (bytes: Uint8Array) => void;
	readonly size: () => number;
	/** Memory that the buffer takes, in bytes. */
	readonly capacity: () => number;
	/** Returns all bytes in one piece. The buffer must not be used afterwards. */
	readonly whole: () => Uint8Array;
	/** Frees the memory. The buffer must not be used afterwards. */
	readonly release: () => void;
};

/** Creates an empty buffer. */
export function createRequestBuffer(pool: BlockPool): RequestBuffer {
	let small = createByteBuffer();
	let blocks: Uint8Array[] = [];
	let size = 0;

	function appendToBlocks(bytes: Uint8Array): void {
		let rest = bytes;
		while (rest.length > 0) {
			const used = size % blockBytes;
			if (used === 0) {
				blocks.push(pool.take());
			}

			const part = rest.subarray(0, blockBytes - used);
			blocks.at(-1)?.set(part, used);
			size += part.length;
			rest = rest.subarray(part.length);
		}
	}

	function release(): void {
		pool.giveBack(blocks);
		blocks = [];
		small = createByteBuffer();
		size = 0;
	}

	return {
		append(bytes) {
			if (blocks.length === 0 && size + bytes.length <= blockBytes) {
				small.append(bytes);
				size += bytes.length;
				return;
			}

			if (blocks.length === 0) {
				size = 0;
				appendToBlocks(small.bytes());
				small = createByteBuffer();
			}

			appendToBlocks(bytes);
		},
		size: () => size,
		capacity: () => small.capacity() + (blocks.length * blockBytes),
		whole() {
			if (blocks.length === 0) {
				return small.bytes();
			}

			const bytes = Buffer.allocUnsafeSlow(size);
			for (const [index, block] of blocks.entries()) {
				bytes.set(block.subarray(0, size - (index * blockBytes)), index * blockBytes);
			}

			release();
			return bytes;
		},
		release,
	};
}
