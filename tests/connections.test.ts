/**
Connection pool: idle connections are reused until shortly before the server closes them.
*/
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {as, type Address, type Milliseconds} from '../src/contracts/id.js';
import {type Connections, createConnections} from '../src/links/connections.js';

const longIdle = as<Milliseconds>(8000);

type Endpoint = {readonly send: (maximumIdle: Milliseconds) => Promise<void>; readonly connections: () => number};

/** Starts an endpoint that closes connections idle for `keepAliveMs`. */
async function startEndpoint(context: TestContext, keepAliveMs: number): Promise<Endpoint> {
	const closing = new AbortController();
	const connections: Connections = createConnections(closing.signal);
	const server = createServer({keepAliveTimeout: keepAliveMs}, (_request, response) => {
		response.end('whole');
	});
	let count = 0;
	server.on('connection', () => {
		count++;
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	context.after(() => {
		closing.abort();
		server.close();
		server.closeAllConnections();
	});
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- The address of a TCP server is never a string.
	const {port} = server.address() as AddressInfo;
	return {
		connections: () => count,
		async send(maximumIdle) {
			const end = await connections.exchange(as<Address>(`127.0.0.1:${port}`), {
				method: 'GET', path: '/', headers: [], body: new Uint8Array(), maximumIdle, onHead: () => true, onData: () => true, signal: closing.signal,
			});
			assert.deepEqual(end, {kind: 'complete'});
		},
	};
}

test('a connection is reused until shortly before the server closes it', async context => {
	const endpoint = await startEndpoint(context, 1000);
	await endpoint.send(longIdle);
	await sleep(400);
	await endpoint.send(longIdle);
	assert.equal(endpoint.connections(), 1);
	await sleep(900);
	await endpoint.send(longIdle);
	assert.equal(endpoint.connections(), 2);
});

test('a request with a short idle limit opens a new connection and leaves the idle one in the pool', async context => {
	const endpoint = await startEndpoint(context, 5000);
	await endpoint.send(longIdle);
	await sleep(100);
	await endpoint.send(as<Milliseconds>(50));
	await sleep(10);
	await Promise.all([endpoint.send(longIdle), endpoint.send(longIdle)]);
	assert.equal(endpoint.connections(), 2);
});

test('a request succeeds when its pooled connection is due to be closed', async context => {
	const endpoint = await startEndpoint(context, 1000);
	await endpoint.send(longIdle);
	// The pool closes the connection after 750 ms idle. Its timer and that of the request both expire while the event loop is blocked, the timer of the pool first.
	const sending = sleep(780).then(async () => endpoint.send(longIdle));
	await sleep(700);
	const until = performance.now() + 150;
	while (performance.now() < until) {
		// Blocks the event loop.
	}

	await sending;
});
