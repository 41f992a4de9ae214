/**
Endpoints that answer with a status that HTTP does not have: callers must never get it, and the instance lives on.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {startFrontEnd, startRawEndpoint} from './fixtures/raw-front-end.js';
import {
	attemptOf, requestBytes, routes, statusOf,
} from './fixtures/raw-requests.js';

/** Statuses below the range of HTTP, those of the range that end no request, and those above it. */
const invalidStatuses = ['000', '001', '042', '099', '600', '999'];
const interimStatuses = ['100', '101', '103', '199'];

const body = 'whole';

function answerWith(status: string, attempt: string, framing = `Content-Length: ${Buffer.byteLength(body)}\r\n`): string {
	return `HTTP/1.1 ${status} Strange\r\nAttempt-Id: ${attempt}\r\nServer-Seal: seal\r\n${framing}\r\n${body}`;
}

const framings: ReadonlyArray<readonly [string, string | undefined]> = [
	['a length', undefined],
	['chunks', 'Transfer-Encoding: chunked\r\n'],
	['neither a length nor chunks', ''],
];

for (const [kind, route] of Object.entries(routes)) {
	for (const status of [...invalidStatuses, ...interimStatuses]) {
		for (const [name, framing] of framings) {
			test(`status ${status} with ${name} is never a caller's answer (${kind})`, async () => {
				const endpoint = await startRawEndpoint((request, socket) => {
					const text = answerWith(status, attemptOf(request), framing);
					socket.end(framing?.startsWith('Transfer') ? text.replace(body, `5\r\n${body}\r\n0\r\n\r\n`) : text);
				});
				const front = await startFrontEnd(route, [endpoint.port]);
				const response = await Promise.race([front.send(requestBytes('t1')), sleep(3000, 'none', {ref: false})]);
				assert.equal(statusOf(response), 502, response);
				assert.doesNotMatch(response, /server-seal/iv);
			});
		}
	}
}
