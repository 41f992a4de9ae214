/**
Streams that are broken off while their caller's response has neither a length nor chunks, so that only a reset tells
that they are not complete.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {test} from 'node:test';
import {createHeldBytes, maximumHeldBytes} from '../src/links/held-bytes.js';
import {serveIngress} from '../platform/ingress.js';
import {requestBytes} from './fixtures/raw-requests.js';

const event = 'id: 1\ndata: 1\n\n';

// Guards against a reset that overtakes the caller's event loop, which then reports a regular end.
test('a caller whose stream is broken off right after an event sees a reset', async context => {
	const ingress = await serveIngress({
		held: createHeldBytes(maximumHeldBytes),
		host: '127.0.0.1',
		port: 0,
		limits: () => undefined,
		shouldClose: () => false,
		hasWorkspaces: () => false,
		onError: () => undefined,
		relay: {
			async serve(request, caller) {
				caller.open({status: 200, headers: ['Attempt-Id', request.attempt], isUnframed: true});
				caller.event(Buffer.from(event));
				caller.abort();
			},
			active: () => 0,
			recordEnd: () => undefined,
			endBy: () => undefined,
		},
	});
	context.after(() => {
		ingress.server.close();
	});
	const bound = ingress.server.address() ?? undefined;
	const socket = connect(typeof bound === 'object' ? bound.port : 0, '127.0.0.1');
	socket.write(requestBytes('t1'));
	let text = '';
	let isReset = false;
	socket.on('data', chunk => {
		text += chunk.toString();
	});
	socket.on('error', () => {
		isReset = true;
	});
	await new Promise(resolve => {
		socket.once('close', resolve);
	});
	assert.ok(text.endsWith(event));
	assert.ok(isReset);
});
