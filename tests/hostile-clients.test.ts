/**
Small crowds of clients that exceed the limits, at an entry that runs with the descriptors of its machine: the entry lives, stays
within the memory and the descriptors of the machine, and answers an ordinary request beside the crowd.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {Readable} from 'node:stream';
import {test, type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {
	type EntryProcess, type Machine, smallestMachine, startEntryProcesses,
} from './fixtures/entry-processes.js';
import {type Script, startCrowd} from './fixtures/hostile-crowd.js';
import {knownRed} from './fixtures/known-red.js';

/** A machine whose descriptors a small crowd exceeds. */
const fewDescriptors: Machine = {...smallestMachine, descriptors: 256};

/** Descriptors that have to be left for endpoints, peers and the store. */
const spareDescriptors = 32;

const host = 'agents.example';
const maxBodyBytes = 4_194_304;

const manifest = {
	Version: 1,
	Routes: [{
		Name: 'work', Host: host, PathPrefix: '/work/', Service: 'app', Kind: 'idempotent', TimeoutMs: 8000, LatencyGoalMs: 400, Priority: 0, MaxAttempts: 1,
	}],
	Services: [{
		Name: 'app', HealthPath: '/health', MaxConns: 500, Protocol: 'h1', Tls: false,
	}],
	Limits: {
		MaxHeaderBytes: 16_384, MaxBodyBytes: maxBodyBytes, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000,
	},
};

/** Requests to this path are never answered. */
const unansweredPath = '/work/unanswered';

/** Starts an endpoint that answers with the number of bytes that it got. Returns its address. */
async function startEndpoint(context: TestContext): Promise<string> {
	const server = createServer((incoming, response) => {
		let bytes = 0;
		incoming.on('data', (chunk: Uint8Array) => {
			bytes += chunk.length;
		});
		incoming.on('end', () => {
			if (incoming.url !== unansweredPath) {
				response.writeHead(200, {'attempt-id': String(incoming.headers['attempt-id']), 'server-seal': 'seal'});
				response.end(String(bytes));
			}
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	context.after(() => {
		server.close();
		server.closeAllConnections();
	});
	const bound = server.address() ?? undefined;
	return `127.0.0.1:${typeof bound === 'object' ? bound.port : 0}`;
}

const head = (method: string, path: string, lines: string) => `${method} ${path} HTTP/1.1\r\nHost: ${host}\r\nAttempt-Id: ab12\r\nDeadline-Ms: 8000\r\n${lines}\r\n`;
const chunkedHead = head('POST', '/work/1', 'Transfer-Encoding: chunked\r\n');
const none = new Uint8Array();
const largeBytes = 65_536;
const large = Buffer.alloc(largeBytes, 'a');
const largeChunk = Buffer.from(`${largeBytes.toString(16)}\r\n${'a'.repeat(largeBytes)}\r\n`);
const tinyChunks = Buffer.from('1\r\na\r\n'.repeat(8192));
const halfOfHead = `GET /work/1 HTTP/1.1\r\nHost: ${host}\r\nX-More: `;
const unanswered = Buffer.from(head('GET', unansweredPath, '').repeat(256));

type Attack = {
	readonly name: string;
	readonly machine: Machine;
	readonly members: number;
	readonly script: (member: number) => Script;
};

const attacks: readonly Attack[] = [
	{
		name: 'bodies in large chunks that stop just short of their end',
		machine: smallestMachine,
		members: 60,
		script: () => ({begin: chunkedHead, repeated: largeChunk, times: (maxBodyBytes / largeBytes) - 1}),
	},
	{
		name: 'bodies in chunks of one byte that stop just short of their end',
		machine: smallestMachine,
		members: 100,
		script: () => ({begin: chunkedHead, repeated: tinyChunks, times: 64}),
	},
	{
		name: 'bodies far over the limit, as announced',
		machine: smallestMachine,
		members: 60,
		script: () => ({begin: head('POST', '/work/1', `Content-Length: ${16 * maxBodyBytes}\r\n`), repeated: large, times: 2 * maxBodyBytes / largeBytes}),
	},
	{
		name: 'bodies far over the limit, in chunks',
		machine: smallestMachine,
		members: 60,
		script: () => ({begin: chunkedHead, repeated: largeChunk, times: 2 * maxBodyBytes / largeBytes}),
	},
	{
		name: 'whole bodies whose requests do not end',
		machine: smallestMachine,
		members: 60,
		script: () => ({begin: head('POST', unansweredPath, `Content-Length: ${maxBodyBytes}\r\n`), repeated: large, times: maxBodyBytes / largeBytes}),
	},
	{
		name: 'connections, some of which leave early and some send half a head',
		machine: fewDescriptors,
		members: 400,
		script: member => ({
			begin: member % 4 === 0 ? '' : halfOfHead, repeated: none, times: 0, ...(member % 4 === 0 && {leavesAfterMs: 50}),
		}),
	},
	{
		name: 'heads in tiny pieces',
		machine: fewDescriptors,
		members: 300,
		script: () => ({
			begin: halfOfHead, repeated: Buffer.from('a'), times: 2000, pauseMs: 2,
		}),
	},
	{
		name: 'requests on one connection',
		machine: smallestMachine,
		members: 40,
		script: () => ({begin: '', repeated: unanswered, times: 10}),
	},
];

/** Longest time for which a crowd sends before the ordinary request is made beside it. */
const sendingLimitMs = 8000;

const triesOfOrdinary = 3;
const tryTimeoutMs = 3000;
const retryDelayMs = 1000;

/** Status and body of the answer to an ordinary request of a caller that tries again twice; the last error without an answer. */
async function sendOrdinary(entry: EntryProcess): Promise<string> {
	let outcome = '';
	for (let attempt = 0; attempt < triesOfOrdinary && outcome !== '200 6000'; attempt++) {
		await delay(attempt * retryDelayMs);
		try {
			const {statusCode, body} = await request(`http://${entry.address}/work/ordinary`, {
				method: 'POST', headers: {host, 'attempt-id': `cd${attempt}`, 'deadline-ms': String(tryTimeoutMs)}, body: 'a'.repeat(6000), signal: AbortSignal.timeout(tryTimeoutMs),
			});
			outcome = `${statusCode} ${await body.text()}`;
		} catch (error) {
			outcome = String(error);
		}
	}

	return outcome;
}

/** Answer to a single request with the largest body, in chunks or with its length. */
async function sendLargest(entry: EntryProcess, framing: {readonly chunkBytes?: number}): Promise<string> {
	const chunk = 'a'.repeat(framing.chunkBytes ?? maxBodyBytes);
	const body = framing.chunkBytes === undefined ? chunk : Readable.from(Array.from({length: maxBodyBytes / chunk.length}, () => chunk));
	const {statusCode, body: answer} = await request(`http://${entry.address}/work/largest`, {
		method: 'POST', headers: {host, 'attempt-id': 'ef', 'deadline-ms': '8000'}, body,
	});
	return `${statusCode} ${await answer.text()}`;
}

const isAlive = (entry: EntryProcess) => (entry.child().exitCode ?? entry.child().signalCode) === null;
const inMib = (bytes: number) => Math.round(bytes / 1024 / 1024);

for (const {name, machine, members, script} of attacks) {
	const title = `an entry lives and goes on serving beside many ${name}`;
	// Guards against a process that ends, hangs or outgrows its machine because of clients that nobody controls.
	test(title, knownRed(title), async context => {
		const cluster = await startEntryProcesses(['a-1'], manifest, machine);
		context.after(async () => {
			await cluster.stop();
		});
		const [entry] = cluster.entries;
		assert.ok(entry);
		cluster.store.put('servers', 'app-1', {
			Service: 'app', Address: await startEndpoint(context), Zone: 'a', Version: 'v1', Slots: 500, State: 'ready', ColdLeftMs: 0, Sequence: 1,
		});
		await cluster.ready();
		assert.equal(await sendOrdinary(entry), '200 6000');
		const restingMemory = entry.residentMemory();

		let descriptors = 0;
		const watch = setInterval(() => {
			descriptors = isAlive(entry) ? Math.max(descriptors, entry.openDescriptors()) : descriptors;
		}, 50);
		const crowd = startCrowd(entry.address, Array.from({length: members}, (_, member) => script(member)));
		context.after(() => {
			clearInterval(watch);
			crowd.dismiss();
		});
		await crowd.settled(sendingLimitMs);
		const outcome = await sendOrdinary(entry);
		const connected = crowd.connected();
		crowd.dismiss();
		// Time for the process to notice that the crowd is gone.
		await delay(retryDelayMs);
		assert.ok(isAlive(entry), `the process ended: ${entry.log().slice(-500)}`);
		const peak = entry.peakMemory();
		context.diagnostic(`memory ${inMib(restingMemory)} MiB, then ${inMib(peak)} MiB at the most; ${descriptors} descriptors; ordinary request: ${outcome}`);
		context.diagnostic(`crowd: ${connected} of ${members} connected, disconnected ${crowd.disconnections()} times`);
		assert.equal(outcome, '200 6000');
		assert.ok(peak < machine.memoryMb * 1024 * 1024, `${inMib(peak)} MiB`);
		assert.ok(descriptors < machine.descriptors - spareDescriptors, `${descriptors} descriptors`);
	});
}

// Guards against limits that a client within those of the configuration meets.
test('in calm conditions single requests with the largest body are served on the smallest machine', async context => {
	const cluster = await startEntryProcesses(['a-1'], manifest, smallestMachine);
	context.after(async () => {
		await cluster.stop();
	});
	const [entry] = cluster.entries;
	assert.ok(entry);
	cluster.store.put('servers', 'app-1', {
		Service: 'app', Address: await startEndpoint(context), Zone: 'a', Version: 'v1', Slots: 500, State: 'ready', ColdLeftMs: 0, Sequence: 1,
	});
	await cluster.ready();
	for (const framing of [{}, {chunkBytes: 65_536}, {chunkBytes: 16}]) {
		assert.equal(await sendLargest(entry, framing), `200 ${maxBodyBytes}`);
	}

	assert.ok(entry.peakMemory() < smallestMachine.memoryMb * 1024 * 1024, `${inMib(entry.peakMemory())} MiB`);
});
