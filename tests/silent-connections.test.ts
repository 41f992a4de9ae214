/**
Connections to the store that stop responding without being closed, while the store responds on new ones.
*/
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {type Socket} from 'node:net';
import {test} from 'node:test';
import {
	as, type Address, type Milliseconds, type ObjectVersion,
} from '../src/contracts/id.js';
import {createStore} from '../platform/store.js';
import {knownRed} from './fixtures/known-red.js';

/** Number of connections that the client opens before they fall silent. */
const connectionCount = 4;

const name = 'after a watch that got no response, no call uses a connection that was open before';

test(name, knownRed(name), async () => {
	const silent = new Set<Socket>();
	const open = new Set<Socket>();
	let isHolding = true;
	const held: Array<() => void> = [];
	const server = createServer((request, response) => {
		const respond = () => {
			response.setHeader('content-type', 'application/json');
			response.end(JSON.stringify({items: [], CurrentRev: 1}));
		};

		if (isHolding) {
			held.push(respond);
		} else if (!silent.has(request.socket)) {
			respond();
		}
	});
	server.on('connection', socket => {
		open.add(socket);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const bound = server.address();
	assert.ok(typeof bound === 'object' && bound);
	const closing = new AbortController();
	const store = createStore({address: as<Address>(`127.0.0.1:${bound.port}`), signal: closing.signal});
	try {
		const calls = Array.from({length: connectionCount}, async () => store.list('endpoints'));
		while (held.length < connectionCount) {
			await once(server, 'request');
		}

		isHolding = false;
		for (const respond of held) {
			respond();
		}

		await Promise.all(calls);
		for (const socket of open) {
			silent.add(socket);
		}

		const watch = await store.watch('endpoints', as<ObjectVersion>(1), as<Milliseconds>(50), closing.signal);
		assert.equal(watch.kind, 'failed');
		const lists = await Promise.all(Array.from({length: connectionCount}, async () => store.list('endpoints')));
		assert.deepEqual(lists.map(list => list.isOk()), lists.map(() => true));
	} finally {
		closing.abort();
		server.closeAllConnections();
		server.close();
	}
});
