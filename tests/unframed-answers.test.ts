/**
Responses with neither a length nor chunks, which end with their connection: one that is reset is broken off, and one that
is closed may be whole or not, so its caller never receives a frame that says that it is.
*/
import assert from 'node:assert/strict';
import {type Socket} from 'node:net';
import {test} from 'node:test';
import {createDispatch} from '../src/links/dispatch.js';
import {
	attemptWith, endpointAt, type Kind, optionsWith,
} from './fixtures/attempts.js';
import {startGateway} from './fixtures/gateway.js';
import {startFrontEnd, startRawEndpoint} from './fixtures/raw-front-end.js';
import {
	attemptOf, requestBytes, routes, statusOf,
} from './fixtures/raw-requests.js';

/** Time after which written bytes have arrived, so that a reset does not overtake them. */
const deliveryMs = 30;

const bodyOf = (response: string) => response.slice(response.indexOf('\r\n\r\n') + 4);

/** Whether the bytes that a caller received form a complete response. */
function isComplete(response: string): boolean {
	const length = /^content-length: (\d+)/imv.exec(response)?.[1];
	return length === undefined ? response.endsWith('0\r\n\r\n') : bodyOf(response).length === Number(length);
}

function head(attempt: string, version = '1.1'): string {
	return `HTTP/${version} 200 OK\r\nAttempt-Id: ${attempt}\r\nServer-Seal: seal\r\n\r\n`;
}

const event = (id: number) => `id: ${id}\ndata: ${id}\n\n`;

/** Sends bytes and then resets the connection. */
type Reset = {readonly name: string; readonly send: (socket: Socket, bytes: string) => void};

const laterReset: Reset = {
	name: '',
	send(socket, bytes) {
		socket.write(bytes, () => {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, deliveryMs);
		});
	},
};

/** The caller's event loop finds the bytes and the reset together, for which Node.js reports no error. */
const immediateReset: Reset = {
	name: ' at once',
	send(socket, bytes) {
		socket.write(bytes);
		socket.resetAndDestroy();
	},
};

const segments = 4;

const segmentedReset: Reset = {
	name: ' at once, in several segments',
	send(socket, bytes) {
		const length = Math.ceil(bytes.length / segments);
		for (let start = 0; start < bytes.length; start += length) {
			socket.write(bytes.slice(start, start + length));
		}

		socket.resetAndDestroy();
	},
};

const resets: readonly Reset[] = [laterReset, immediateReset, segmentedReset];

type Ending = {
	readonly name: string;
	/** Set if the response ends like a whole one, so that the caller's response has to end with its connection too. */
	readonly isIndistinct?: true;
	readonly end: (socket: Socket, attempt: string, body: string) => void;
};

/** Endings by the bytes that are sent before the connection is reset. */
const cutBytes: ReadonlyArray<readonly [string, (attempt: string, body: string) => string]> = [
	['that is reset after its body', (attempt, body) => head(attempt) + body],
	['that is reset within its body', (attempt, body) => head(attempt) + body.slice(0, -3)],
	['that is reset before its body', attempt => head(attempt)],
	['that is reset within its head', attempt => head(attempt).slice(0, 30)],
	['that announces the end of the connection and is reset within its body', (attempt, body) => head(attempt).replace('\r\n\r\n', '\r\nConnection: close\r\n\r\n') + body.slice(0, -3)],
	['in an earlier version of HTTP that is reset within its body', (attempt, body) => head(attempt, '1.0') + body.slice(0, -3)],
];

const resetEndings: readonly Ending[] = cutBytes.flatMap(([name, bytes]) => resets.map(reset => ({
	name: name + reset.name,
	end(socket: Socket, attempt: string, body: string) {
		reset.send(socket, bytes(attempt, body));
	},
})));

const broken: readonly Ending[] = [
	{
		name: 'that is closed within its body',
		isIndistinct: true,
		end(socket, attempt, body) {
			socket.end(head(attempt) + body.slice(0, -3));
		},
	},
	{
		name: 'that is closed before its body',
		isIndistinct: true,
		end(socket, attempt) {
			socket.end(head(attempt));
		},
	},
	...resetEndings,
	{
		name: 'that is closed within its head',
		end(socket, attempt) {
			socket.end(head(attempt).slice(0, 30));
		},
	},
	{
		name: 'without any byte, closed',
		end(socket) {
			socket.end();
		},
	},
	{
		name: 'without any byte, reset',
		end(socket) {
			socket.resetAndDestroy();
		},
	},
	{
		name: 'that exceeds the bound on bodies',
		end(socket, attempt) {
			socket.end(head(attempt) + 'x'.repeat(9 * 1024 * 1024));
		},
	},
	{
		name: 'that never ends',
		end(socket, attempt, body) {
			socket.write(head(attempt) + body);
		},
	},
];

const connections = [
	{name: 'a new connection', isKept: false, isTunnelled: false},
	{name: 'a kept connection', isKept: true, isTunnelled: false},
	{name: 'a tunnel', isKept: false, isTunnelled: true},
	{name: 'a kept tunnel', isKept: true, isTunnelled: true},
] as const;

const gateway = startGateway();

for (const [kind, route] of Object.entries(routes)) {
	const whole = route.isStream ? event(1) + event(2) : 'whole';

	for (const {name: connection, isKept, isTunnelled} of connections) {
		const startEndpoint = async (ending: Ending['end']) => startRawEndpoint((request, socket) => {
			const attempt = attemptOf(request);
			if (isKept && attempt === 't0') {
				const framed = head(attempt).replace('\r\n\r\n', `\r\nContent-Length: ${whole.length}\r\n\r\n`);
				socket.write(framed + whole);
				return;
			}

			ending(socket, attempt, whole);
		});

		const sendTo = async (port: number, method?: string) => {
			const {paths} = await gateway;
			const front = await startFrontEnd(route, [port], isTunnelled ? {paths} : {});
			if (isKept) {
				assert.equal(statusOf(await front.send(requestBytes('t0'))), 200);
			}

			return front.exchange(requestBytes('t1', method));
		};

		for (const version of ['1.0', '1.1']) {
			test(`a response over ${connection} in HTTP ${version} that is closed after its body is whole (${kind})`, async () => {
				const endpoint = await startEndpoint((socket, attempt, body) => {
					socket.end(head(attempt, version) + body);
				});
				const {text: response, isReset} = await sendTo(endpoint.port);
				assert.ok(statusOf(response) === 200 && !isReset);
				assert.doesNotMatch(response, /^(?:content-length|transfer-encoding):/imv);
				assert.equal(bodyOf(response), whole);
			});
		}

		for (const {name, end, isIndistinct} of broken) {
			test(`a response over ${connection} ${name} never looks complete (${kind})`, async () => {
				const endpoint = await startEndpoint(end);
				const {text: response, isReset} = await sendTo(endpoint.port);
				const isUnframed = !/^(?:content-length|transfer-encoding):/imv.test(response);
				const isBrokenOff = isUnframed ? isReset || isIndistinct : !isComplete(response);
				assert.ok(statusOf(response) !== 200 || isBrokenOff, response.slice(0, 300));
			});
		}
	}

	if (route.isStream) {
		test(`a response that is closed within an event never looks complete (${kind})`, async () => {
			const endpoint = await startRawEndpoint((request, socket) => {
				socket.end(head(attemptOf(request)) + whole.slice(0, -1));
			});
			const front = await startFrontEnd(route, [endpoint.port]);
			const {text, isReset} = await front.exchange(requestBytes('t1'));
			assert.ok(isReset && text.includes('data: 1'));
		});
	}
}

type Cut = {readonly name: string; readonly length: number; readonly send: (socket: Socket, bytes: string) => void};

const cuts: readonly Cut[] = [
	...resets.map(({name, send}) => ({name: `reset${name} between two events`, length: event(1).length, send})),
	{
		name: 'closed within an event',
		length: event(1).length + 5,
		send(socket, bytes) {
			socket.end(bytes);
		},
	},
];

for (const {name, length, send} of cuts) {
	test(`a resumable stream without a length that is ${name} goes on after its last whole event`, async () => {
		let attempts = 0;
		const endpoint = await startRawEndpoint((request, socket) => {
			const bytes = head(attemptOf(request));
			if (attempts++ > 0) {
				assert.match(request, /^last-event-id: 1\r$/imv);
				socket.end(bytes + event(2));
			} else {
				send(socket, bytes + (event(1) + event(2)).slice(0, length));
			}
		});
		const front = await startFrontEnd(routes['resumable stream'], [endpoint.port]);
		const response = await front.send(requestBytes('t1'));
		assert.equal(attempts, 2);
		assert.equal(bodyOf(response), event(1) + event(2));
	});
}

test('a stream with chunks that goes on without them is resumed until its end is certain', async () => {
	let attempts = 0;
	const endpoint = await startRawEndpoint((request, socket) => {
		const framed = head(attemptOf(request)).replace('\r\n\r\n', '\r\nTransfer-Encoding: chunked\r\n\r\n');
		switch (attempts++) {
			case 0: {
				socket.end(`${framed}${event(1).length.toString(16)}\r\n${event(1)}\r\n`);
				return;
			}

			case 1: {
				socket.end(head(attemptOf(request)) + event(2));
				return;
			}

			default: {
				assert.match(request, /^last-event-id: 2\r$/imv);
				socket.end(`${framed}0\r\n\r\n`);
			}
		}
	});
	const front = await startFrontEnd(routes['resumable stream'], [endpoint.port]);
	const response = await front.send(requestBytes('t1'));
	assert.equal(attempts, 3);
	assert.ok(isComplete(response));
});

const bodiless: ReadonlyArray<readonly [string, string, string]> = [
	['a HEAD request with a length', 'HEAD', '200 OK\r\nContent-Length: 5'],
	['a HEAD request without a length', 'HEAD', '200 OK'],
	['status 204', 'GET', '204 No Content'],
	['status 304', 'GET', '304 Not Modified\r\nContent-Length: 5'],
];

for (const [name, method, start] of bodiless) {
	test(`a response without a body is passed on with its own length only: ${name}`, async () => {
		const endpoint = await startRawEndpoint((request, socket) => {
			socket.write(`HTTP/1.1 ${start}\r\nAttempt-Id: ${attemptOf(request)}\r\nServer-Seal: seal\r\n\r\n`);
		});
		const front = await startFrontEnd(routes.repeatable, [endpoint.port]);
		const response = await front.send(requestBytes('t1', method));
		assert.equal(statusOf(response), Number(start.slice(0, 3)));
		assert.equal(/^content-length: (\d+)/imv.exec(response)?.[1], /Content-Length: (\d+)/v.exec(start)?.[1]);
		assert.equal(bodyOf(response), '');
	});
}

const finishedStream = 'data: {"choices":[{"delta":{"content":"a"}}]}\n\n'
	+ 'data: {"choices":[{"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":1}}\n\n'
	+ 'data: [DONE]\n\n';

const kinds: readonly Kind[] = ['repeatable call', 'at-most-once call', 'model call'];

for (const kind of kinds) {
	const body = kind === 'model call' ? finishedStream : 'whole';
	const headOf = (request: string) => `HTTP/1.1 200 OK\r\nX-Attempt: ${/^x-attempt: (\w+)/imv.exec(request)?.[1]}\r\n\r\n`;

	test(`an answer of a back end that is closed after its body is whole (${kind})`, async context => {
		const closing = new AbortController();
		context.after(() => {
			closing.abort();
		});
		const endpoint = await startRawEndpoint((request, socket) => {
			socket.end(headOf(request) + body);
		});
		const result = await createDispatch(closing.signal).send(endpointAt(endpoint.port), attemptWith(kind, 't1'), optionsWith(closing.signal));
		assert.equal(result.kind, 'answered');
	});

	for (const {name, send} of resets) {
		test(`an answer of a back end that is reset${name} within its body is broken (${kind})`, async context => {
			const closing = new AbortController();
			context.after(() => {
				closing.abort();
			});
			const endpoint = await startRawEndpoint((request, socket) => {
				// A model call is reset after its last event: only the reset tells that the answer is not whole.
				send(socket, headOf(request) + (kind === 'model call' ? body : body.slice(0, 3)));
			});
			const result = await createDispatch(closing.signal).send(endpointAt(endpoint.port), attemptWith(kind, 't1'), optionsWith(closing.signal));
			assert.equal(result.kind, 'broken');
		});
	}
}
