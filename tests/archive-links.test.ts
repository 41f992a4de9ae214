/**
Links of archives: the disk of the machine, and server and client over loopback.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {execFileSync} from 'node:child_process';
import {once} from 'node:events';
import {
	closeSync, mkdtempSync, openSync, rmSync,
} from 'node:fs';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test, type TestContext} from 'node:test';
import {type HeldTurn} from '../src/contracts/archive.js';
import {createDeferred} from '../src/contracts/deferred.js';
import {type DiskResult} from '../src/contracts/disk.js';
import {
	as, type Address, type AttemptId, type Milliseconds,
} from '../src/contracts/id.js';
import {type ChainReply, type KeepResult} from '../src/contracts/turn.js';
import {createArchiveClient} from '../src/links/archive-client.js';
import {encodeChainReply} from '../src/links/archive-protocol.js';
import {type ArchiveServerOptions, serveArchive, type ServedArchive} from '../src/links/archive-server.js';
import {createDisk} from '../src/links/disk.js';
import {waitFor} from '../standins/cluster.js';
import {
	name, plain, recordOf, usedRecord,
} from './fixtures/turn-machine.js';

const timeout = as<Milliseconds>(2000);

function createFolder(context: TestContext): string {
	const folder = mkdtempSync(path.join(tmpdir(), 'hickoryfork-'));
	context.after(() => {
		rmSync(folder, {recursive: true, force: true});
	});
	return folder;
}

/** Waits for an operation of the disk that has to succeed. */
async function done<Value>(operation: DiskResult<Value>): Promise<Value> {
	const result = await operation;
	return result._unsafeUnwrap();
}

test('files are written in parts, read in ranges, listed and removed', async context => {
	const folder = path.join(createFolder(context), 'data');
	const disk = createDisk();
	const target = path.join(folder, 'a');
	assert.deepEqual(await done(disk.list(folder)), []);
	const file = await done(disk.create(target));
	await done(file.write(0, [Buffer.from('abc'), Buffer.alloc(0), Buffer.from('def')]));
	await done(file.sync());
	await done(disk.syncDirectory(folder));
	assert.equal(Buffer.from(await done(file.read(2, 100))).toString(), 'cdef');
	const again = await disk.create(target);
	assert.equal(again._unsafeUnwrapErr().kind, 'failed');
	assert.deepEqual(await done(disk.list(folder)), [{name: 'a', bytes: 6}]);
	await file.close();
	await done(disk.remove(target));
	const absent = await disk.open(target);
	assert.ok(absent.isErr());
});

// Guards against a hanging disk that takes all four threads which Node.js has for files, and with them those of a disk that works.
test('operations that hang take one thread', {timeout: 20_000}, async context => {
	const folder = createFolder(context);
	const disk = createDisk();
	const pipes = Array.from({length: 5}, (_, index) => path.join(folder, `pipe-${index}`));
	execFileSync('mkfifo', pipes);
	// Opening a pipe blocks until somebody writes to it.
	const hanging = pipes.map(async pipe => disk.open(pipe));
	const file = await done(disk.create(path.join(folder, 'a')));
	await done(file.write(0, [Buffer.from('x')]));
	await done(file.sync());
	const closing = file.close();
	for (const pipe of pipes) {
		// Opened for both directions, a pipe blocks nobody any more.
		const descriptor = openSync(pipe, 'r+');
		context.after(() => {
			closeSync(descriptor);
		});
	}

	for (const opened of await Promise.all(hanging)) {
		await opened._unsafeUnwrap().close();
	}

	await closing;
});

async function serve(context: TestContext, archive: Partial<ServedArchive>, limits: ArchiveServerOptions['limits'] = {}) {
	const errors: string[] = [];
	const {server, heldBytes} = await serveArchive({
		host: '127.0.0.1',
		port: 0,
		archive: {
			keep: async () => ({kind: 'kept'}), chain: async () => undefined, used: () => undefined, holds: () => undefined, inventory: () => undefined, copies: async () => undefined, ...archive,
		},
		limits,
		onError(reason) {
			errors.push(reason);
		},
	});
	const bound = server.address() ?? undefined;
	const port = typeof bound === 'object' ? bound.port : 0;
	const stopped = new AbortController();
	context.after(() => {
		stopped.abort();
		server.close();
		server.closeAllConnections();
	});
	return {
		server, heldBytes, errors, port, address: as<Address>(`127.0.0.1:${port}`), client: createArchiveClient(stopped.signal),
	};
}

function heldTurn(turn: AttemptId, extent: number, isSynced: boolean): HeldTurn {
	return {
		turn, extent, isSynced, remaining: as<Milliseconds>(1234.5),
	};
}

test('records, chains and inventories pass between client and server byte for byte', async context => {
	const kept: unknown[] = [];
	const records = [recordOf('b', {previous: 'a'}), recordOf('a', {lastEvent: 7})];
	const used = usedRecord('p', 700);
	const {client, address} = await serve(context, {
		async keep(record) {
			kept.push(plain(record));
			return kept.length === 1 ? {kind: 'kept'} : {kind: 'refused', reason: 'the disk is full'};
		},
		chain: async turn => ({records: turn === 'b' ? records : [], isComplete: turn !== 'b'}),
		used: () => ({records: [used], isComplete: true}),
		holds: turns => turns.filter(turn => turn !== 'x'),
		inventory: after => ({turns: [heldTurn(name(`${after ?? ''}é`), Infinity, true), heldTurn(used.turn, 700, false)], isLast: after === undefined, isComplete: after !== undefined}),
		copies: async turns => ({read: turns.length, records: [...records, used]}),
	});
	assert.deepEqual(await client.keep(address, recordOf('a'), timeout), {kind: 'kept'});
	assert.deepEqual(await client.keep(address, recordOf('b', {lastEvent: 2}), timeout), {kind: 'refused', reason: 'the disk is full'});
	assert.deepEqual(kept, [plain(recordOf('a')), plain(recordOf('b', {lastEvent: 2}))]);
	const reply = await client.chain(address, name('b'), timeout);
	assert.deepEqual([reply?.isComplete, reply?.records.map(record => plain(record))], [false, records.map(record => plain(record))]);
	assert.deepEqual(await client.chain(address, name('c'), timeout), {records: [], isComplete: true});
	assert.deepEqual(await client.used(address, timeout), {records: [used], isComplete: true});
	assert.deepEqual(await client.holds(address, [name('a'), name('x'), name('é')], timeout), new Set([name('a'), name('é')]));
	assert.deepEqual(await client.inventory(address, undefined, timeout), {turns: [heldTurn(name('é'), Infinity, true), heldTurn(used.turn, 700, false)], isLast: true, isComplete: false});
	assert.deepEqual(await client.inventory(address, name('a'), timeout), {turns: [heldTurn(name('aé'), Infinity, true), heldTurn(used.turn, 700, false)], isLast: false, isComplete: true});
	const copies = await client.copies(address, [name('a'), name('b'), used.turn], timeout);
	assert.deepEqual([copies?.read, copies?.records.map(record => plain(record))], [3, [...records, used].map(record => plain(record))]);
	kept.length = 0;
	assert.deepEqual(await client.copy(address, [recordOf('c'), recordOf('d')], timeout), {stored: new Set([name('c')]), reason: 'the archive refused some of the turns'});
});

test('an archive that still reads its disk gives no answer to reads and keeps nothing', async context => {
	const {client, address} = await serve(context, {keep: async () => ({kind: 'refused', reason: 'reading'})});
	assert.equal(await client.chain(address, name('a'), timeout), undefined);
	assert.equal(await client.used(address, timeout), undefined);
	assert.equal(await client.holds(address, [name('a')], timeout), undefined);
	assert.equal(await client.inventory(address, undefined, timeout), undefined);
	assert.equal(await client.copies(address, [name('a')], timeout), undefined);
	assert.deepEqual(await client.keep(address, recordOf('a'), timeout), {kind: 'refused', reason: 'reading'});
});

// Guards against an entry that waits for an archive, or opens a connection for each of its requests.
test('an archive that does not answer costs the timeout, and others use few connections again and again', async context => {
	const {client, address, server} = await serve(context, {keep: async record => record.turn === 'slow' ? createDeferred<KeepResult>().promise : {kind: 'kept'}});
	let opened = 0;
	server.on('connection', () => {
		opened++;
	});
	await Promise.all(Array.from({length: 40}, async () => client.keep(address, recordOf('a'), timeout)));
	await Promise.all(Array.from({length: 40}, async () => client.keep(address, recordOf('a'), timeout)));
	assert.ok(opened >= 1 && opened <= 4);
	const before = performance.now();
	const late = await client.keep(address, recordOf('slow'), as<Milliseconds>(60));
	assert.equal(late.kind, 'unreachable');
	assert.ok(performance.now() - before < 1500);
	const nobody = as<Address>('127.0.0.1:1');
	const refused = await client.keep(nobody, recordOf('a'), timeout);
	assert.equal(refused.kind, 'unreachable');
	assert.equal(await client.chain(nobody, name('a'), timeout), undefined);
});

// Guards against probes that hold all connections to an archive that was cut off, after it is back.
test('reads that are given up leave their connections to others at once', async context => {
	const {client, address} = await serve(context, {chain: async turn => turn === name('slow') ? createDeferred<ChainReply>().promise : {records: [], isComplete: true}});
	const given = new AbortController();
	const before = performance.now();
	const hanging = Array.from({length: 8}, async () => client.chain(address, name('slow'), as<Milliseconds>(10_000), given.signal));
	setTimeout(() => {
		given.abort();
	}, 100);
	assert.deepEqual(await Promise.all(hanging), Array.from({length: 8}));
	assert.ok(await client.chain(address, name('a'), timeout));
	assert.ok(performance.now() - before < 1500);
});

/** Starts a server that answers in place of an archive. */
async function impersonate(context: TestContext, answer: (request: IncomingMessage, response: ServerResponse) => void) {
	const server = createServer((request, response) => {
		request.resume();
		request.once('end', () => {
			answer(request, response);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const bound = server.address() ?? undefined;
	const stopped = new AbortController();
	context.after(() => {
		stopped.abort();
		server.close();
		server.closeAllConnections();
	});
	return {address: as<Address>(`127.0.0.1:${typeof bound === 'object' ? bound.port : 0}`), client: createArchiveClient(stopped.signal)};
}

// Guards against acknowledgements and turns that nobody sent for this request.
test('bytes that are no valid reply to the request are no answer', async context => {
	const good = Buffer.from(encodeChainReply({records: [recordOf('a')], isComplete: true}));
	const other = Buffer.from(encodeChainReply({records: [recordOf('b')], isComplete: true}));
	const gap = Buffer.from(encodeChainReply({records: [recordOf('a'), recordOf('b')], isComplete: true}));
	const damaged = Buffer.from(good);
	damaged.writeUInt8(255 - damaged.readUInt8(60), 60);
	let body = good;
	let status = 200;
	let shift = 0;
	const {client, address} = await impersonate(context, (request, response) => {
		const number = Number(request.headers['hickoryfork-request']) + shift;
		response.writeHead(status, {'hickoryfork-request': String(number), 'content-length': body.length});
		response.end(body);
	});
	const chain = async () => client.chain(address, name('a'), timeout);
	const valid = await chain();
	assert.equal(valid?.records.length, 1);
	for (const invalid of [other, gap, damaged, good.subarray(0, -1), Buffer.alloc(0), Buffer.from('<html>'), Buffer.alloc(9_000_000)]) {
		body = invalid;
		assert.equal(await chain(), undefined);
	}

	const kept = await client.keep(address, recordOf('a'), timeout);
	assert.equal(kept.kind, 'unreachable');
	body = Buffer.alloc(0);
	assert.deepEqual(await client.keep(address, recordOf('a'), timeout), {kind: 'kept'});
	shift = -1;
	const repeated = await client.keep(address, recordOf('a'), timeout);
	assert.equal(repeated.kind, 'unreachable');
	shift = 0;
	status = 204;
	const unknown = await client.keep(address, recordOf('a'), timeout);
	assert.equal(unknown.kind, 'unreachable');
});

// Guards against an entry that runs out of memory.
test('a reply that does not end is given up for its size', async context => {
	let sent = 0;
	const {client, address} = await impersonate(context, (request, response) => {
		response.writeHead(200, {'hickoryfork-request': request.headers['hickoryfork-request']});
		const send = () => {
			for (let isTaken = true; isTaken && !response.destroyed; sent += 60_000) {
				isTaken = response.write(Buffer.alloc(60_000));
			}
		};

		response.on('drain', send);
		send();
	});
	assert.equal(await client.chain(address, name('a'), as<Milliseconds>(20_000)), undefined);
	assert.ok(sent < 32_000_000);
});

async function openSocket(context: TestContext, port: number): Promise<Socket> {
	const socket = connect(port, '127.0.0.1');
	socket.on('error', () => undefined);
	context.after(() => {
		socket.destroy();
	});
	await once(socket, 'connect');
	return socket;
}

// Guards against clients that make the archive run out of memory with bodies that they never finish.
test('unfinished bodies are given up, the largest first, and others are still served', async context => {
	const limit = 300_000;
	const {client, address, port, heldBytes, errors} = await serve(context, {}, {heldBytes: limit});
	for (let index = 0; index < 20; index++) {
		const socket = await openSocket(context, port);
		socket.write(`POST /1/keep HTTP/1.1\r\nhost: a\r\ncontent-length: 1000000\r\n\r\n${'x'.repeat(40_000)}`);
	}

	await waitFor('bodies to be given up', async () => errors.length >= 10);
	assert.ok(heldBytes() <= limit);
	assert.match(errors[0] ?? '', /hold too many bytes/v);
	assert.deepEqual(await client.keep(address, recordOf('a'), timeout), {kind: 'kept'});
});

test('a body beyond the limit is refused by its announced length, and damaged ones by their checksum', async context => {
	const {port} = await serve(context, {});
	const replies = [];
	for (const request of ['content-length: 900000000\r\n\r\n', 'content-length: 6\r\n\r\nabcdef']) {
		const socket = await openSocket(context, port);
		socket.write(`POST /1/keep HTTP/1.1\r\nhost: a\r\n${request}`);
		const received: unknown[] = await once(socket, 'data');
		replies.push(String(received[0]).slice(9, 12));
	}

	assert.deepEqual(replies, ['413', '400']);
});

// Guards against a process that runs out of descriptors.
test('connections beyond the limit are closed', async context => {
	const {port, errors} = await serve(context, {}, {connections: 5});
	const sockets = await Promise.all(Array.from({length: 12}, async () => openSocket(context, port)));
	for (const socket of sockets) {
		socket.resume();
	}

	const closed = () => sockets.filter(socket => socket.destroyed).length;
	await waitFor('connections to be closed', async () => closed() >= 7 && errors.length >= 7);
	assert.equal(closed(), 7);
});
