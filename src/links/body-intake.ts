/**
Reads the body of one request into a buffer whose memory is counted. Chunks are copied as they arrive, since each one that Node.js
keeps takes far more memory than its bytes.
*/
import {type IncomingMessage} from 'node:http';
import {type Milliseconds} from '../contracts/id.js';
import {type BlockPool, createRequestBuffer} from './request-buffer.js';

export type BodyIntakeOptions = {
	readonly pool: BlockPool;
	readonly limit: number;
	/** Time for the whole body. */
	readonly time: Milliseconds;
	/** Called for each chunk. */
	readonly onChunk: () => void;
	/** Called when the memory that the body takes has changed. May stop the intake. */
	readonly onMemory: (bytes: number) => void;
	/** Called once, unless the intake was stopped. */
	readonly onEnd: (end: IntakeEnd) => void;
};

export type IntakeEnd
	= | {readonly kind: 'whole'; readonly body: Uint8Array}
		| {readonly kind: 'too-large'}
		| {readonly kind: 'late'; readonly received: number}
	/** The connection broke. */
		| {readonly kind: 'broken'; readonly reason: string};

export type BodyIntake = {
	/** Frees the memory. What arrives afterwards is dropped, and `onEnd` is not called any more. */
	readonly stop: () => void;
};

/** Length of the body as far as the head says it. Node.js leaves out headers after the thousandth, so a body may come nevertheless. */
export function announcedLength({headers}: IncomingMessage): number | undefined {
	const length = headers['content-length'];
	return length === undefined ? undefined : Number(length);
}

/** Starts reading a body. */
export function startBodyIntake(request: IncomingMessage, options: BodyIntakeOptions): BodyIntake {
	const buffer = createRequestBuffer(options.pool);
	let isEnded = false;
	const timer = setTimeout(() => {
		end({kind: 'late', received: buffer.size()});
	}, options.time);

	function stop(): void {
		isEnded = true;
		clearTimeout(timer);
		buffer.release();
	}

	function end(result: IntakeEnd): void {
		if (!isEnded) {
			stop();
			options.onEnd(result);
		}
	}

	function receive(chunk: Uint8Array): void {
		if (buffer.size() + chunk.length > options.limit) {
			end({kind: 'too-large'});
			return;
		}

		const before = buffer.capacity();
		buffer.append(chunk);
		if (buffer.capacity() !== before) {
			options.onMemory(buffer.capacity());
		}
	}

	request.on('data', (chunk: Uint8Array) => {
		options.onChunk();
		if (!isEnded) {
			receive(chunk);
		}
	});
	request.once('end', () => {
		if (!isEnded) {
			// For a moment the body is there twice.
			options.onMemory(buffer.capacity() + buffer.size());
		}

		if (!isEnded) {
			const body = buffer.whole();
			options.onMemory(body.buffer.byteLength);
			end({kind: 'whole', body});
		}
	});
	request.once('error', error => {
		end({kind: 'broken', reason: error.message});
	});
	request.once('close', () => {
		end({kind: 'broken', reason: 'the connection was closed'});
	});
	return {stop};
}
