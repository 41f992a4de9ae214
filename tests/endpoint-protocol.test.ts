/**
End-to-end tests of the platform's front end and endpoint protocol on loopback, with table-driven faults of endpoints
and callers.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';
import {test} from 'node:test';
import {as, type Milliseconds} from '../src/contracts/id.js';
import {systemClock} from '../src/programs/runtime.js';
import {startFrontEnd, startRawEndpoint, type Responder} from './fixtures/raw-front-end.js';
import {routeWith} from './fixtures/relay-harness.js';

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
		const endpoint = await startRawEndpoint(answer);
		const front = await startFrontEnd(routeWith({repetition}), [endpoint.port]);
		const text = await front.send(call());
		assert.match(text, new RegExp(String.raw`^HTTP/1\.1 ${status} `, 'v'));
		if (status === 200) {
			assert.ok(text.endsWith('whole') && /server-seal: seal/iv.test(text));
		}
	});
}

test('reserved headers of a caller are removed, and those of the front end are added', async () => {
	const endpoint = await startRawEndpoint(respondWith(whole));
	const front = await startFrontEnd(routeWith({repetition: 'once'}), [endpoint.port]);
	await front.send(call('Hold: x\r\nKv-From: y\r\nPin-Ms: 9\r\nExpect-Instance: forged\r\nRequest-Urgency: 0\r\nX-Own: kept\r\n'));
	const [request = ''] = endpoint.requests;
	assert.doesNotMatch(request, /^(?:hold|kv-from|pin-ms|request-urgency):/imv);
	assert.match(request, /^expect-instance: e0\r$/imv);
	assert.match(request, /^x-own: kept\r$/imv);
	assert.ok(Number(/^deadline-ms: (\d+)/imv.exec(request)?.[1]) <= 1500);
});

test('bytes after a complete response never reach the next caller', async () => {
	const endpoint = await startRawEndpoint(respondWith(`${whole}HTTP/1.1 200 OK\r\nAttempt-Id: t1\r\nContent-Length: 5\r\n\r\nextra`));
	const front = await startFrontEnd(routeWith({repetition: 'repeatable'}), [endpoint.port]);
	for (let round = 0; round < 3; round++) {
		const text = await front.send(call());
		assert.ok(text.endsWith('whole'));
	}
});

test('a stream that breaks inside an event resumes after its last complete event', async () => {
	let round = 0;
	const endpoint = await startRawEndpoint((request, socket) => {
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
		const endpoint = await startRawEndpoint(respondWith(whole));
		const front = await startFrontEnd(routeWith(), [endpoint.port]);
		assert.match(await front.send(bytes), new RegExp(String.raw`^HTTP/1\.1 ${status} `, 'v'));
		assert.equal(endpoint.requests.length, 0);
	});
}

test('the connection to the endpoint is closed when the caller disconnects', async () => {
	let isClosed = false;
	const endpoint = await startRawEndpoint((_request, socket) => {
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
	const endpoint = await startRawEndpoint((_request, socket) => {
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
