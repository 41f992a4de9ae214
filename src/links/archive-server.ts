/**
HTTP server of an archive for entries and other archives. Everything that clients make it hold is bounded: connections,
bodies, and the bytes of all bodies and replies together, of which the largest is given up first.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type InventoryPage, type TurnCopies} from '../contracts/archive.js';
import {describeError} from '../contracts/failure.js';
import {type AttemptId} from '../contracts/id.js';
import {
	type ChainReply, type KeepResult, type TurnRecord, type UsedReply,
} from '../contracts/turn.js';
import {
	archivePath,
	archiveStatus,
	decodeCopyRequest,
	decodeInventoryRequest,
	decodeKeepRequest,
	decodeTurnNames,
	encodeChainReply,
	encodeCopiesReply,
	encodeInventoryReply,
	encodeTurnNames,
	encodeUsedReply,
	maximumRequestBytes,
	requestNumberHeader,
} from './archive-protocol.js';
import {createBoundedBody} from './bounded-body.js';
import {createHeldBytes, type Holding} from './held-bytes.js';

/** Connections of all entries at four each, on the largest deployments. */
const maximumConnections = 1024;

/** Heads have four short headers. */
const maximumHeadBytes = 8192;

const headTimeoutMs = 3000;

/** Time for a whole request; clients give up much earlier. */
const requestTimeoutMs = 5000;

/** Time for which a connection may be idle; clients close theirs before. */
const idleTimeoutMs = 60_000;

/** Time without progress after which a connection with an unfinished reply is closed. */
const stalledTimeoutMs = 10_000;

const timeoutCheckIntervalMs = 1000;

/** What all bodies of requests and replies may take together. */
const maximumHeldBytes = 12 * 1024 * 1024;

/** What the server asks of an archive. */
export type ServedArchive = {
	readonly keep: (record: TurnRecord) => Promise<KeepResult>;
	/** Resolves to undefined while the archive cannot answer yet. */
	readonly chain: (turn: AttemptId) => Promise<ChainReply | undefined>;
	/** Records of used tokens; undefined while the archive cannot answer yet. */
	readonly used: () => UsedReply | undefined;
	/** The turns that the archive holds whole; undefined while it cannot answer yet. */
	readonly holds: (turns: readonly AttemptId[]) => readonly AttemptId[] | undefined;
	/** What the archive holds, from after a turn on, or from the start; undefined while it cannot answer yet. */
	readonly inventory: (after: AttemptId | undefined) => InventoryPage | undefined;
	/** Reads records. Resolves to undefined while the archive cannot answer yet. */
	readonly copies: (turns: readonly AttemptId[]) => Promise<TurnCopies | undefined>;
};

export type ArchiveServerOptions = {
	readonly host: string;
	readonly port: number;
	readonly archive: ServedArchive;
	/** Limits for tests. */
	readonly limits?: {readonly connections?: number; readonly heldBytes?: number};
	/** A request was refused or given up for a fault of the client or a limit. */
	readonly onError: (reason: string) => void;
};

export type ArchiveServer = {
	readonly server: Server;
	readonly heldBytes: () => number;
};

type Reply = {readonly status: number; readonly body: Uint8Array | string};

function refuse(reason: string): Reply {
	return {status: archiveStatus.refused, body: reason};
}

const notReady = refuse('the archive is still reading its disk');
const invalidBody: Reply = {status: archiveStatus.invalid, body: 'the body is damaged or no such request'};

/** Reads the body of a request; undefined if it is too large. Rejects if the connection breaks. */
async function readBody(request: IncomingMessage, holding: Holding): Promise<Uint8Array | undefined> {
	if (Number(request.headers['content-length'] ?? 0) > maximumRequestBytes) {
		return undefined;
	}

	const body = createBoundedBody(() => maximumRequestBytes);
	for await (const chunk of request) {
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- A request without an encoding yields buffers.
		if (!body.push(chunk as Uint8Array)) {
			return undefined;
		}

		holding.set(body.heldBytes());
	}

	return body.whole();
}

/** Starts the server. Resolves once the port is bound. */
export async function serveArchive(options: ArchiveServerOptions): Promise<ArchiveServer> {
	const {archive, onError} = options;
	const held = createHeldBytes(options.limits?.heldBytes ?? maximumHeldBytes);

	async function keep(body: Uint8Array): Promise<Reply> {
		const record = decodeKeepRequest(body);
		if (!record) {
			return invalidBody;
		}

		const result = await archive.keep(record);
		switch (result.kind) {
			case 'kept': {
				return {status: archiveStatus.answered, body: ''};
			}

			case 'refused':
			case 'unreachable': {
				return refuse(result.reason);
			}
		}
	}

	async function chain(body: Uint8Array): Promise<Reply> {
		const [turn, ...others] = decodeTurnNames(body) ?? [];
		if (turn === undefined || others.length > 0) {
			return invalidBody;
		}

		const reply = await archive.chain(turn);
		return reply ? {status: archiveStatus.answered, body: encodeChainReply(reply)} : notReady;
	}

	function used(body: Uint8Array): Reply {
		if (decodeTurnNames(body)?.length !== 0) {
			return invalidBody;
		}

		const reply = archive.used();
		return reply ? {status: archiveStatus.answered, body: encodeUsedReply(reply)} : notReady;
	}

	function holds(body: Uint8Array): Reply {
		const turns = decodeTurnNames(body);
		const heldTurns = turns && archive.holds(turns);
		if (!turns) {
			return invalidBody;
		}

		return heldTurns ? {status: archiveStatus.answered, body: encodeTurnNames(heldTurns)} : notReady;
	}

	async function copy(body: Uint8Array): Promise<Reply> {
		const records = decodeCopyRequest(body);
		if (!records) {
			return invalidBody;
		}

		const results = await Promise.all(records.map(async record => ({turn: record.turn, result: await archive.keep(record)})));
		const kept = results.filter(({result}) => result.kind === 'kept');
		return {status: archiveStatus.answered, body: encodeTurnNames(kept.map(({turn}) => turn))};
	}

	function inventory(body: Uint8Array): Reply {
		const request = decodeInventoryRequest(body);
		if (!request) {
			return invalidBody;
		}

		const page = archive.inventory(request.after);
		return page ? {status: archiveStatus.answered, body: encodeInventoryReply(page)} : notReady;
	}

	async function copies(body: Uint8Array): Promise<Reply> {
		const turns = decodeTurnNames(body);
		if (!turns) {
			return invalidBody;
		}

		const read = await archive.copies(turns);
		return read ? {status: archiveStatus.answered, body: encodeCopiesReply(read)} : notReady;
	}

	async function answer(path: string, body: Uint8Array): Promise<Reply> {
		switch (path) {
			case archivePath.keep: {
				return keep(body);
			}

			case archivePath.chain: {
				return chain(body);
			}

			case archivePath.used: {
				return used(body);
			}

			case archivePath.holds: {
				return holds(body);
			}

			case archivePath.copy: {
				return copy(body);
			}

			case archivePath.inventory: {
				return inventory(body);
			}

			case archivePath.copies: {
				return copies(body);
			}

			default: {
				return {status: 404, body: 'no such request'};
			}
		}
	}

	function send(request: IncomingMessage, response: ServerResponse, {status, body}: Reply): void {
		if (response.destroyed) {
			return;
		}

		const length = Buffer.byteLength(body);
		const holding = held.open(() => {
			onError('a reply that its client does not take was given up');
			response.destroy();
		});
		response.once('close', holding.release);
		response.writeHead(status, {
			'content-type': 'application/octet-stream', 'content-length': length, [requestNumberHeader]: request.headers[requestNumberHeader] ?? '',
		});
		response.end(body);
		if (!response.writableFinished) {
			holding.set(length);
		}
	}

	async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		// The body is held until its reply is known, as the record that waits for the disk refers to it.
		const holding = held.open(() => {
			request.destroy(new Error('all requests together hold too many bytes'));
			response.destroy();
		});
		try {
			const body = await readBody(request, holding);
			if (body) {
				send(request, response, await answer(request.url ?? '', body));
				return;
			}

			onError(`a body of more than ${maximumRequestBytes} bytes was refused`);
			response.shouldKeepAlive = false;
			send(request, response, {status: archiveStatus.tooLarge, body: 'the body is too large'});
		} finally {
			holding.release();
		}
	}

	const server = createServer({
		maxHeaderSize: maximumHeadBytes,
		headersTimeout: headTimeoutMs,
		requestTimeout: requestTimeoutMs,
		keepAliveTimeout: idleTimeoutMs,
		connectionsCheckingInterval: timeoutCheckIntervalMs,
		noDelay: true,
	}, (request, response) => {
		response.on('error', (error: Error) => {
			onError(`a reply could not be sent: ${describeError(error)}`);
		});
		serve(request, response).catch((error: unknown) => {
			onError(`a request was given up: ${describeError(error)}`);
			response.destroy();
		});
	});
	server.maxConnections = options.limits?.connections ?? maximumConnections;
	server.setTimeout(stalledTimeoutMs);
	server.on('drop', () => {
		onError(`a connection beyond ${server.maxConnections} was closed`);
	});
	server.listen(options.port, options.host);
	await once(server, 'listening');
	return {server, heldBytes: held.total};
}
