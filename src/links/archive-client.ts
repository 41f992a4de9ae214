/**
Client of archives, for entries and for archives that are emptied or repaired. It keeps a few connections to each archive open, and
takes whatever is no valid reply to its request for no answer.
*/
import {Buffer} from 'node:buffer';
import {Pool} from 'undici';
import {type ArchiveCopyLink, type ArchiveLink, type ArchiveRepairLink} from '../contracts/archive.js';
import {describeError} from '../contracts/failure.js';
import {type Address, type Milliseconds} from '../contracts/id.js';
import {
	archivePath, archiveStatus, decodeChainReply, decodeCopiesReply, decodeInventoryReply, decodeTurnNames, decodeUsedReply, encodeCopyRequest, encodeInventoryRequest, encodeKeepRequest, encodeTurnNames, maximumReplyBytes, requestNumberHeader,
} from './archive-protocol.js';
import {readBoundedBytes} from './bounded-body.js';

/** Connections to one archive; a request takes about the time of a sync. */
const connectionsPerArchive = 4;

/** Requests to one archive that are under way or wait for a connection. */
const maximumRequests = 64;

/** Archives to which connections are kept open. */
const maximumArchives = 64;

const connectTimeoutMs = 300;

/** Shorter than the time for which archives keep idle connections. */
const idleTimeoutMs = 30_000;

/** Length of the reason in a refusal that is worth keeping. */
const maximumReasonBytes = 1000;

type Reply
	= | {readonly kind: 'answered'; readonly body: Uint8Array}
		| {readonly kind: 'refused'; readonly reason: string}
		| {readonly kind: 'unanswered'; readonly reason: string};

/** How long a caller waits: for a time, or until its signal aborts if that is earlier. */
type Patience = {readonly timeout: Milliseconds; readonly ended?: AbortSignal | undefined};

type Connections = {readonly pool: Pool; requests: number};

function unanswered(reason: string): Reply {
	return {kind: 'unanswered', reason};
}

/** Creates a client without connections. They close when the signal aborts. */
export function createArchiveClient(signal: AbortSignal): ArchiveLink & ArchiveCopyLink & ArchiveRepairLink {
	// In the order of use.
	const archives = new Map<Address, Connections>();
	let lastRequest = 0;

	function connectionsTo(address: Address): Connections {
		const used = archives.get(address) ?? {
			pool: new Pool(`http://${address}`, {
				connections: connectionsPerArchive, pipelining: 1, connect: {timeout: connectTimeoutMs}, keepAliveTimeout: idleTimeoutMs, headersTimeout: 0, bodyTimeout: 0,
			}),
			requests: 0,
		};
		archives.delete(address);
		archives.set(address, used);
		const [oldest] = archives;
		if (archives.size > maximumArchives && oldest) {
			archives.delete(oldest[0]);
			void oldest[1].pool.destroy();
		}

		return used;
	}

	/** Closes all connections to an archive. */
	function discard(address: Address): void {
		void archives.get(address)?.pool.destroy();
		archives.delete(address);
	}

	async function exchange(address: Address, pool: Pool, send: {readonly path: string; readonly body: Uint8Array; readonly signal: AbortSignal}): Promise<Reply> {
		const number = String(++lastRequest);
		const response = await pool.request({
			...send, method: 'POST', headers: {'content-type': 'application/octet-stream', [requestNumberHeader]: number},
		});
		if (response.headers[requestNumberHeader] !== number) {
			// The body fails as its connection is closed; it is not read.
			response.body.on('error', () => undefined);
			discard(address);
			return unanswered('the reply belongs to another request');
		}

		const content = await readBoundedBytes(response.body, () => maximumReplyBytes);
		if (!content) {
			return unanswered(`the reply is longer than ${maximumReplyBytes} bytes`);
		}

		switch (response.statusCode) {
			case archiveStatus.answered: {
				return {kind: 'answered', body: content};
			}

			case archiveStatus.refused:
			case archiveStatus.invalid:
			case archiveStatus.tooLarge: {
				return {kind: 'refused', reason: Buffer.from(content).toString('utf8', 0, maximumReasonBytes)};
			}

			default: {
				return unanswered(`the archive replied with status ${response.statusCode}`);
			}
		}
	}

	/** Sends a request. Never rejects. */
	async function request(address: Address, path: string, body: Uint8Array, {timeout, ended}: Patience): Promise<Reply> {
		if (signal.aborted) {
			return unanswered('the process stops');
		}

		const limit = new AbortController();
		const timer = setTimeout(() => {
			limit.abort(new Error(`no answer within ${Math.round(timeout)} ms`));
		}, timeout);
		try {
			const used = connectionsTo(address);
			if (used.requests >= maximumRequests) {
				return unanswered(`${used.requests} requests to the archive are under way`);
			}

			used.requests++;
			try {
				return await exchange(address, used.pool, {path, body, signal: ended ? AbortSignal.any([limit.signal, ended]) : limit.signal});
			} finally {
				used.requests--;
			}
		} catch (error) {
			return unanswered(describeError(error));
		} finally {
			clearTimeout(timer);
		}
	}

	signal.addEventListener('abort', () => {
		for (const {pool} of archives.values()) {
			void pool.destroy();
		}
	}, {once: true});

	return {
		async keep(archive, record, timeout) {
			const body = encodeKeepRequest(record);
			if (!body) {
				return {kind: 'refused', reason: 'the turn is too large'};
			}

			const reply = await request(archive, archivePath.keep, body, {timeout});
			switch (reply.kind) {
				case 'answered': {
					return reply.body.length === 0 ? {kind: 'kept'} : {kind: 'unreachable', reason: 'the reply is invalid'};
				}

				case 'refused': {
					return reply;
				}

				case 'unanswered': {
					return {kind: 'unreachable', reason: reply.reason};
				}
			}
		},
		async chain(archive, turn, timeout, ended) {
			const reply = await request(archive, archivePath.chain, encodeTurnNames([turn]), {timeout, ended});
			return reply.kind === 'answered' ? decodeChainReply(reply.body, turn) : undefined;
		},
		async used(archive, timeout) {
			const reply = await request(archive, archivePath.used, encodeTurnNames([]), {timeout});
			return reply.kind === 'answered' ? decodeUsedReply(reply.body) : undefined;
		},
		async holds(archive, turns, timeout) {
			const reply = await request(archive, archivePath.holds, encodeTurnNames(turns), {timeout});
			const held = reply.kind === 'answered' ? decodeTurnNames(reply.body) : undefined;
			return held && new Set(held);
		},
		async inventory(archive, after, timeout) {
			const reply = await request(archive, archivePath.inventory, encodeInventoryRequest(after), {timeout});
			return reply.kind === 'answered' ? decodeInventoryReply(reply.body) : undefined;
		},
		async copies(archive, turns, timeout) {
			const reply = await request(archive, archivePath.copies, encodeTurnNames(turns), {timeout});
			return reply.kind === 'answered' ? decodeCopiesReply(reply.body) : undefined;
		},
		async copy(archive, records, timeout) {
			const body = encodeCopyRequest(records);
			const reply = body ? await request(archive, archivePath.copy, body, {timeout}) : unanswered('a turn is too large');
			if (reply.kind !== 'answered') {
				return {stored: new Set(), reason: reply.reason};
			}

			const stored = new Set(decodeTurnNames(reply.body));
			return {stored, reason: stored.size < records.length ? 'the archive refused some of the turns' : undefined};
		},
	};
}
