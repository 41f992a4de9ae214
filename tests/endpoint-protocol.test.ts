/**
End-to-end tests of the platform's front end and endpoint protocol on loopback, with table-driven faults of endpoints
and callers.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';
import {after, test} from 'node:test';
import {createConnections} from '../src/links/connections.js';
import {
	as, type Address, type Milliseconds, type ObjectVersion,
} from '../src/contracts/id.js';
import {type RelayRoute} from '../src/contracts/relay.js';
import {createRoutingTable} from '../src/contracts/routing-table.js';
import {createQuarantine} from '../src/machines/quarantine.js';
import {createRelay} from '../src/machines/relay.js';
import {createRelayFleet} from '../src/machines/relay-fleet.js';
import {systemClock} from '../src/programs/runtime.js';
import {createEndpointLink} from '../platform/endpoint-link.js';
import {serveIngress} from '../platform/ingress.js';
import {createSeededRandom} from './fixtures/fake-clock.js';
import {
	configurationWith, dataCentre, endpointWith, routeWith, unlimitedBudgets,
} from './fixtures/relay-harness.js';

const closing = new AbortController();
const closers: Array<() => void> = [];

after(() => {
	closing.abort();
	for (const close of closers) {
		close();
	}
});

type Responder = (request: string, socket: Socket) => void;

/** Starts an endpoint that responds to each request with raw bytes. */
async function startEndpoint(answer: Responder): Promise<{readonly port: number; readonly requests: string[]}> {
	const requests: string[] = [];
	const server = createServer(socket => {
		let text = '';
		socket.on('error', () => undefined);
		socket.on('data', chunk => {
			text += chunk.toString();
			const end = text.indexOf('\r\n\r\n');
			const length = Number(/content-length: (\d+)/iv.exec(text)?.[1] ?? 0);
			if (end !== -1 && text.length >= end + 4 + length) {
				requests.push(text);
				answer(text, socket);
				text = '';
			}
		});
		closers.push(() => {
			socket.destroy();
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	closers.push(() => {
		server.close();
	});
	const bound = server.address() ?? undefined;
	return {port: typeof bound === 'object' ? bound.port : 0, requests};
}

/** Starts a front end for the endpoints on these ports. Its `send` writes raw bytes and reads until the connection closes. */
async function startFrontEnd(route: RelayRoute, ports: readonly number[]) {
	const fleet = createRelayFleet();
	for (const [index, port] of ports.entries()) {
		fleet.apply({kind: 'listed', revision: as<ObjectVersion>(1), endpoint: endpointWith(`e${index}`, {address: as<Address>(`127.0.0.1:${port}`)})});
	}

	const table = createRoutingTable(configurationWith([route]));
	const relay = createRelay({
		fleet,
		dataCentre,
		link: createEndpointLink(createConnections(closing.signal)),
		budgets: unlimitedBudgets,
		quarantine: createQuarantine(),
		clock: systemClock,
		random: createSeededRandom(1),
		table: () => table,
		onEvent: () => undefined,
	});
	const ingress = await serveIngress({
		relay, host: '127.0.0.1', port: 0, limits: () => table.configuration.limits, onError: () => undefined,
	});
	closers.push(() => {
		ingress.server.close();
		ingress.server.closeAllConnections();
	});
	const bound = ingress.server.address() ?? undefined;
	const port = typeof bound === 'object' ? bound.port : 0;
	return {
		port,
		async send(bytes: string): Promise<string> {
			const socket = connect(port, '127.0.0.1');
			socket.write(bytes);
			let text = '';
			socket.on('error', () => undefined);
			socket.on('data', chunk => {
				text += chunk.toString();
			});
			await once(socket, 'close');
			return text;
		},
	};
}

const responseHeaders = 'Attempt-Id: t1\r\nServer-Seal: seal\r\n';
const whole = `HTTP/1.1 200 OK\r\n${responseHeaders}Content-Length: 5\r\n\r\nwhole`;

function call(extra = ''): string {
	return `GET /work/1 HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: t1\r\nDeadline-Ms: 1500\r\nConnection: close\r\n${extra}\r\n`;
}

function respondWith(text: string, isClosing = false): Responder {
	return (_request, socket) => {
		if (isClosing) {
			socket.end(text);
		} else {
			socket.write(text);
		}
	};
}

type Case = {
	readonly name: string;
	readonly repetition: 'repeatable' | 'once';
	readonly answer: Responder;
	readonly status: number;
};

const cases: readonly Case[] = [
	{
		name: 'a complete response', repetition: 'once', answer: respondWith(whole), status: 200,
	},
	{
		name: 'a response without a length, ended by closing the connection,', repetition: 'once', answer: respondWith(`HTTP/1.1 200 OK\r\n${responseHeaders}\r\nwhole`, true), status: 200,
	},
	{
		name: 'a truncated response', repetition: 'once', answer: respondWith(`HTTP/1.1 200 OK\r\n${responseHeaders}Content-Length: 50\r\n\r\nwho`, true), status: 502,
	},
	{
		name: 'a response that is not HTTP', repetition: 'once', answer: respondWith('nonsense\r\n\r\n', true), status: 502,
	},
	{
		name: 'a response to another request', repetition: 'once', answer: respondWith('HTTP/1.1 200 OK\r\nAttempt-Id: t0\r\nServer-Seal: other\r\nContent-Length: 5\r\n\r\nother'), status: 502,
	},
	{
		name: 'a response saying that the request was not executed', repetition: 'once', answer: respondWith('HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n'), status: 503,
	},
	{
		name: 'a response from another endpoint at the address', repetition: 'once', answer: respondWith('HTTP/1.1 421 Misdirected\r\nInstance-Id: x\r\nContent-Length: 0\r\n\r\n'), status: 503,
	},
	{
		name: 'an error response of the endpoint', repetition: 'once', answer: respondWith(`HTTP/1.1 500 Failed\r\n${responseHeaders}Content-Length: 0\r\n\r\n`), status: 500,
	},
	{
		name: 'a connection closed without a response', repetition: 'once', answer: respondWith('', true), status: 502,
	},
];

for (const {name, repetition, answer, status} of cases) {
	test(`${name} gives the caller status ${status}`, async () => {
		const endpoint = await startEndpoint(answer);
		const front = await startFrontEnd(routeWith({repetition}), [endpoint.port]);
		const text = await front.send(call());
		assert.match(text, new RegExp(String.raw`^HTTP/1\.1 ${status} `, 'v'));
		if (status === 200) {
			assert.ok(text.endsWith('whole') && /server-seal: seal/iv.test(text));
		}
	});
}

test('reserved headers of a caller are removed, and those of the front end are added', async () => {
	const endpoint = await startEndpoint(respondWith(whole));
	const front = await startFrontEnd(routeWith({repetition: 'once'}), [endpoint.port]);
	await front.send(call('Hold: x\r\nKv-From: y\r\nPin-Ms: 9\r\nExpect-Instance: forged\r\nRequest-Urgency: 0\r\nX-Own: kept\r\n'));
	const [request = ''] = endpoint.requests;
	assert.doesNotMatch(request, /^(?:hold|kv-from|pin-ms|request-urgency):/imv);
	assert.match(request, /^expect-instance: e0\r$/imv);
	assert.match(request, /^x-own: kept\r$/imv);
	assert.ok(Number(/^deadline-ms: (\d+)/imv.exec(request)?.[1]) <= 1500);
});

test('bytes after a complete response never reach the next caller', async () => {
	const endpoint = await startEndpoint(respondWith(`${whole}HTTP/1.1 200 OK\r\nAttempt-Id: t1\r\nContent-Length: 5\r\n\r\nextra`));
	const front = await startFrontEnd(routeWith({repetition: 'repeatable'}), [endpoint.port]);
	for (let round = 0; round < 3; round++) {
		const text = await front.send(call());
		assert.ok(text.endsWith('whole'));
	}
});

test('a stream that breaks inside an event resumes after its last complete event', async () => {
	let round = 0;
	const endpoint = await startEndpoint((request, socket) => {
		const head = `HTTP/1.1 200 OK\r\n${responseHeaders}Transfer-Encoding: chunked\r\n\r\n`;
		const chunk = (text: string) => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
		if (round++ === 0) {
			socket.end(`${head}${chunk('id: 1\ndata: a\n\nid: 2\nda')}`);
			return;
		}

		assert.match(request, /^last-event-id: 1\r$/imv);
		socket.write(`${head}${chunk('id: 2\ndata: b\n\n')}0\r\n\r\n`);
	});
	const route = routeWith({
		isStream: true, repetition: 'resumable', maxEndpoints: 1, latencyGoal: as<Milliseconds>(250),
	});
	const front = await startFrontEnd(route, [endpoint.port]);
	const text = await front.send(call());
	assert.equal([...text.matchAll(/^data: (.)/gimv)].map(match => match[1]).join(''), 'ab');
	assert.ok(text.endsWith('0\r\n\r\n'));
});

const rejectedRequests: ReadonlyArray<{readonly name: string; readonly bytes: string; readonly status: number}> = [
	{name: 'a request with ambiguous framing', bytes: 'POST /work/1 HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: t1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n', status: 400},
	{name: 'a request without an id', bytes: 'GET /work/1 HTTP/1.1\r\nHost: host.example\r\nConnection: close\r\n\r\n', status: 400},
	{name: 'a header above the size limit', bytes: `GET /work/1 HTTP/1.1\r\nHost: host.example\r\nX: ${'x'.repeat(20_000)}\r\n\r\n`, status: 431},
	{name: 'a path without a route', bytes: call().replace('/work/', '/none/'), status: 404},
];

for (const {name, bytes, status} of rejectedRequests) {
	test(`${name} is refused with ${status} and reaches no endpoint`, async () => {
		const endpoint = await startEndpoint(respondWith(whole));
		const front = await startFrontEnd(routeWith(), [endpoint.port]);
		assert.match(await front.send(bytes), new RegExp(String.raw`^HTTP/1\.1 ${status} `, 'v'));
		assert.equal(endpoint.requests.length, 0);
	});
}

test('the connection to the endpoint is closed when the caller disconnects', async () => {
	let isClosed = false;
	const endpoint = await startEndpoint((_request, socket) => {
		socket.once('close', () => {
			isClosed = true;
		});
	});
	const front = await startFrontEnd(routeWith({repetition: 'repeatable'}), [endpoint.port]);
	const socket = connect(front.port, '127.0.0.1');
	socket.write(call());
	while (endpoint.requests.length === 0) {
		await systemClock.sleep(as<Milliseconds>(5));
	}

	socket.destroy();
	await systemClock.sleep(as<Milliseconds>(200));
	assert.ok(isClosed);
});

test('bytes that are not HTTP, sent after a request in progress, do not corrupt its response', async () => {
	const endpoint = await startEndpoint((_request, socket) => {
		socket.write(`HTTP/1.1 200 OK\r\n${responseHeaders}Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n`);
	});
	const route = routeWith({
		isStream: true, repetition: 'resumable', maxEndpoints: 1, latencyGoal: as<Milliseconds>(250),
	});
	const front = await startFrontEnd(route, [endpoint.port]);
	const socket = connect(front.port, '127.0.0.1');
	let text = '';
	socket.on('error', () => undefined);
	socket.on('data', chunk => {
		const isFirst = text === '';
		text += chunk.toString();
		if (isFirst) {
			socket.write('nonsense\r\n\r\n');
		}
	});
	socket.write(call().replace('Connection: close\r\n', ''));
	await once(socket, 'close');
	assert.match(text, /^HTTP\/1\.1 200 /v);
	assert.equal(text.match(/HTTP\/1\.1/gv)?.length, 1);
});
