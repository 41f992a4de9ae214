/**
Connections of a process whose event loop is late, for lack of processor time: those that were established meanwhile count.
*/
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type Socket} from 'node:net';
import {test} from 'node:test';
import {as, type Address, type Milliseconds} from '../src/contracts/id.js';
import {createConnections} from '../src/links/connections.js';
import {connectWithin} from '../src/links/timed-connect.js';

const limitMs = 50;

/** Keeps the event loop from running for a time. */
function holdUp(ms: number): void {
	const end = performance.now() + ms;
	while (performance.now() < end) {
		// Busy on purpose.
	}
}

async function startServer() {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const bound = server.address() ?? undefined;
	return {server, port: typeof bound === 'object' ? bound.port : 0};
}

test('a connection that is established while the event loop is late is not taken for one that failed', async context => {
	const {server, port} = await startServer();
	context.after(() => {
		server.close();
	});
	const connected = new Promise<Socket | Error>(resolve => {
		connectWithin(as<Milliseconds>(limitMs), {host: '127.0.0.1', port}, resolve);
	});
	holdUp(4 * limitMs);
	const result = await connected;
	assert.ok(!(result instanceof Error));
	result.destroy();
});

test('an endpoint to which a connection opens while the event loop is late can be connected to', async context => {
	const {server, port} = await startServer();
	const closing = new AbortController();
	context.after(() => {
		closing.abort();
		server.close();
	});
	const canConnect = createConnections(closing.signal).canConnect(as<Address>(`127.0.0.1:${port}`));
	holdUp(700);
	assert.equal(await canConnect, true);
});
