/**
Kept connections: used again for as long as the other end keeps them, and not beyond.
*/
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {as, type Address, type Milliseconds} from '../src/contracts/id.js';
import {type Connections, createConnections} from '../src/links/connections.js';

const long = as<Milliseconds>(8000);

type Endpoint = {readonly send: (longestIdle: Milliseconds) => Promise<void>; readonly connections: () => number};

/** Starts an endpoint that keeps idle connections for as long as it says. */
async function startEndpoint(context: TestContext, keptMs: number): Promise<Endpoint> {
	const closing = new AbortController();
	const connections: Connections = createConnections(closing.signal);
	const server = createServer({keepAliveTimeout: keptMs}, (_request, response) => {
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
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- A TCP server's address is no string.
	const {port} = server.address() as AddressInfo;
	return {
		connections: () => count,
		async send(longestIdle) {
			const end = await connections.exchange(as<Address>(`127.0.0.1:${port}`), {
				method: 'GET', path: '/', headers: [], body: new Uint8Array(), maximumIdle: longestIdle, onHead: () => true, onData: () => true, signal: closing.signal,
			});
			assert.deepEqual(end, {kind: 'complete'});
		},
	};
}

test('a connection is used again until shortly before the other end closes it', async context => {
	const endpoint = await startEndpoint(context, 1000);
	await endpoint.send(long);
	await sleep(400);
	await endpoint.send(long);
	assert.equal(endpoint.connections(), 1);
	await sleep(900);
	await endpoint.send(long);
	assert.equal(endpoint.connections(), 2);
});

test('a request that may not be repeated leaves an old connection to others', async context => {
	const endpoint = await startEndpoint(context, 5000);
	await endpoint.send(long);
	await sleep(100);
	await endpoint.send(as<Milliseconds>(50));
	await sleep(10);
	await Promise.all([endpoint.send(long), endpoint.send(long)]);
	assert.equal(endpoint.connections(), 2);
});

test('a request is sent although the connection that it would have used is closing', async context => {
	const endpoint = await startEndpoint(context, 1000);
	await endpoint.send(long);
	// The connection is closed 750 ms later. Both timers come due while the loop is held up, that one first.
	const sending = sleep(780).then(async () => endpoint.send(long));
	await sleep(700);
	const until = performance.now() + 150;
	while (performance.now() < until) {
		// Nothing else may run.
	}

	await sending;
});
