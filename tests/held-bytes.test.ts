/**
The limit that all responses of a process share.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';
import {test} from 'node:test';
import {createHeldBytes} from '../src/links/held-bytes.js';
import {serveIngress} from '../platform/ingress.js';
import {requestBytes} from './fixtures/raw-requests.js';

test('the response that holds most is given up when all together exceed the limit', () => {
	const givenUp: string[] = [];
	const held = createHeldBytes(100);
	const open = (name: string) => held.open(() => {
		givenUp.push(name);
	});
	const [small, large] = [open('small'), open('large')];
	large.set(70);
	small.set(30);
	assert.deepEqual(givenUp, []);
	small.set(31);
	assert.deepEqual(givenUp, ['large']);
	assert.equal(held.total(), 31);
	large.set(500);
	assert.equal(held.total(), 31);
	small.release();
	assert.equal(held.total(), 0);
});

// Guards against a process that keeps the events of callers which do not read them.
test('a caller that does not take its stream is disconnected when the limit is exceeded', async context => {
	const event = Buffer.alloc(64 * 1024);
	const disconnected = new AbortController();
	const ingress = await serveIngress({
		held: createHeldBytes(1024 * 1024),
		host: '127.0.0.1',
		port: 0,
		limits: () => undefined,
		shouldClose: () => false,
		hasWorkspaces: () => false,
		onError: () => undefined,
		relay: {
			async serve(request, caller, signal) {
				caller.open({status: 200, headers: []});
				for (let sent = 0; sent < 400; sent++) {
					caller.event(event);
				}

				await once(signal, 'abort');
				disconnected.abort();
			},
			active: () => 0,
			recordEnd: () => undefined,
			endBy: () => undefined,
		},
	});
	const bound = ingress.server.address() ?? undefined;
	const socket = connect(typeof bound === 'object' ? bound.port : 0, '127.0.0.1');
	context.after(() => {
		socket.destroy();
		ingress.server.close();
	});
	socket.on('error', () => undefined);
	socket.write(requestBytes('t1'));
	await once(disconnected.signal, 'abort');
});
