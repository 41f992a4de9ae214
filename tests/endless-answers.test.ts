/**
Many endpoints' answers without end at once, at an entry that runs with the memory of the deploy file: the entry lives, and
its other requests go on.
*/
import assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import {createServer, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {request} from 'undici';
import {startEntryProcesses} from './fixtures/entry-processes.js';
import {knownRed} from './fixtures/known-red.js';

/** Memory of an entry machine on the users' smallest deployment, in bytes. */
const machineMemory = 186 * 1024 * 1024;

const endlessRequests = 150;
const soundRequests = 100;
const host = 'agents.example';

const manifest = {
	Version: 1,
	Routes: [
		{
			Name: 'sound', Host: host, PathPrefix: '/sound/', Service: 'sound', Kind: 'idempotent', TimeoutMs: 4000, LatencyGoalMs: 400, Priority: 0, MaxAttempts: 2,
		},
		{
			Name: 'faulty', Host: host, PathPrefix: '/faulty/', Service: 'faulty', Kind: 'idempotent', TimeoutMs: 4000, LatencyGoalMs: 400, Priority: 2, MaxAttempts: 2,
		},
		{
			Name: 'faulty-stream', Host: host, PathPrefix: '/faulty-stream/', Service: 'faulty', Kind: 'streaming', TimeoutMs: 4000, LatencyGoalMs: 400, Priority: 2, MaxAttempts: 1,
			Retained: false, RetentionS: 60, Sticky: true, Resumable: true, GapGoalMs: 300,
		},
	],
	Services: ['sound', 'faulty'].map(name => ({
		Name: name, HealthPath: '/health', MaxConns: 500, Protocol: 'h1', Tls: false,
	})),
	Limits: {
		MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000,
	},
};

type Responder = (socket: Socket, attempt: string) => void;

/** Starts an endpoint that answers each request with raw bytes. Returns its address. */
async function startEndpoint(context: TestContext, respond: Responder): Promise<string> {
	const sockets = new Set<Socket>();
	const server = createServer({noDelay: true}, socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('data', bytes => {
			const attempt = /^attempt-id: (\S+)/imv.exec(bytes.toString())?.[1];
			if (attempt !== undefined) {
				respond(socket, attempt);
			}
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	context.after(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	const bound = server.address() ?? undefined;
	return `127.0.0.1:${typeof bound === 'object' ? bound.port : 0}`;
}

const head = (attempt: string) => `HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\nServer-Seal: seal\r\n`;
const filler = 'a'.repeat(16_384);

/** Pause between two writes of an answer, in ms. */
const pauseMs = 10;

/** Writes without end, but not faster than a slow link, so that all answers grow side by side. */
function writeWithoutEnd(socket: Socket, begin: string, repeat: string): void {
	socket.write(begin);
	const timer = setInterval(() => {
		if (socket.destroyed) {
			clearInterval(timer);
		} else if (socket.writableLength < repeat.length) {
			socket.write(repeat);
		}
	}, pauseMs);
}

const answersWithoutEnd: ReadonlyArray<readonly [string, string, Responder]> = [
	['bodies', '/faulty/', (socket, attempt) => {
		writeWithoutEnd(socket, `${head(attempt)}\r\n`, filler);
	}],
	['bodies in small chunks', '/faulty/', (socket, attempt) => {
		writeWithoutEnd(socket, `${head(attempt)}Transfer-Encoding: chunked\r\n\r\n`, '10\r\naaaaaaaaaaaaaaaa\r\n'.repeat(700));
	}],
	['events that do not end', '/faulty-stream/', (socket, attempt) => {
		writeWithoutEnd(socket, `${head(attempt)}Content-Type: text/event-stream\r\n\r\nid: 1\ndata: `, filler);
	}],
];

async function get(address: string, target: string): Promise<number> {
	try {
		const {statusCode, body} = await request(`http://${address}${target}`, {
			headers: {host, 'attempt-id': randomUUID().replaceAll('-', ''), 'deadline-ms': '4000'},
		});
		await body.dump();
		return statusCode;
	} catch {
		// The connection was closed without an answer.
		return 0;
	}
}

for (const [name, target, respond] of answersWithoutEnd) {
	// Guards against a process that ends because it keeps what faulty endpoints send, with the requests of all its callers.
	const title = `an entry that gets many ${name} lives and goes on serving others`;
	test(title, knownRed(title), async context => {
		const cluster = await startEntryProcesses(['a-1'], manifest);
		context.after(async () => {
			await cluster.stop();
		});
		const [entry] = cluster.entries;
		assert.ok(entry);
		const list = (service: string, address: string) => {
			cluster.store.put('servers', service, {
				Service: service, Address: address, Zone: 'a', Version: 'v1', Slots: 500, State: 'ready', ColdLeftMs: 0, Sequence: 1,
			});
		};

		list('sound', await startEndpoint(context, (socket, attempt) => {
			socket.write(`${head(attempt)}Content-Length: 5\r\n\r\nwhole`);
		}));
		list('faulty', await startEndpoint(context, respond));
		await cluster.ready();
		const faulty = Promise.all(Array.from({length: endlessRequests}, async (_, index) => get(entry.address, `${target}${index}`)));
		const statuses: number[] = [];
		for (let index = 0; index < soundRequests; index++) {
			statuses.push(await get(entry.address, `/sound/${index}`));
			await new Promise(resolve => {
				setTimeout(resolve, 30);
			});
		}

		await faulty;
		assert.equal(entry.child().exitCode ?? entry.child().signalCode, null, entry.log().slice(-500));
		assert.deepEqual(statuses.filter(status => status !== 200), []);
		assert.ok(entry.peakMemory() < machineMemory, `${Math.round(entry.peakMemory() / 1024 / 1024)} MiB`);
	});
}
