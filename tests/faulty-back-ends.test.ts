/**
Back ends of the product's own interface that repeat an earlier refusal, answer for another request, or stop in the
middle of a response. A call is reported as not started only where that is certain, and as answered only if the answer
is whole.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {type AttemptResult} from '../src/contracts/attempt.js';
import {abortReason} from '../src/contracts/abort-cause.js';
import {createDispatch} from '../src/links/dispatch.js';
import {
	attemptWith, endpointAt, type Kind, optionsWith,
} from './fixtures/attempts.js';
import {startRawEndpoint} from './fixtures/raw-front-end.js';

/** Time after a response until its connection can carry the next request. */
const reuseDelayMs = 20;

const kinds: readonly Kind[] = ['repeatable call', 'at-most-once call', 'model call'];

function dispatchFor(context: TestContext) {
	const closing = new AbortController();
	context.after(() => {
		closing.abort();
	});
	return createDispatch(closing.signal);
}

function attemptOf(request: string): string {
	return /^x-attempt: (\w+)/imv.exec(request)?.[1] ?? '';
}

function refusal(attempt: string | undefined): string {
	return `HTTP/1.1 503 Full\r\nRetry-After: 1\r\n${attempt === undefined ? '' : `X-Attempt: ${attempt}\r\n`}Content-Length: 0\r\n\r\n`;
}

const finishedStream = [
	'data: {"choices":[{"delta":{"content":"a"}}]}\n\n',
	'data: {"choices":[{"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":1}}\n\n',
	'data: [DONE]\n\n',
].map(text => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`).join('');

function answerTo(kind: Kind, attempt: string, extra = ''): string {
	const head = `HTTP/1.1 200 OK\r\nX-Attempt: ${attempt}\r\n${extra}`;
	return kind === 'model call' ? `${head}Transfer-Encoding: chunked\r\n\r\n${finishedStream}0\r\n\r\n` : `${head}Content-Length: 5\r\n\r\nwhole`;
}

function codeOf(result: AttemptResult): string {
	return result.kind === 'answered' ? 'answered' : result.failure.code;
}

for (const kind of kinds) {
	for (const [name, echo] of [['with the id of the earlier attempt', true], ['without an id', false]] as const) {
		test(`a refusal that an endpoint repeats ${name} does not report "not started" (${kind})`, async context => {
			const run: string[] = [];
			const refused = new WeakSet<Socket>();
			const endpoint = await startRawEndpoint((request, socket) => {
				const attempt = attemptOf(request);
				if (attempt === 't1') {
					refused.add(socket);
					socket.write(refusal(attempt));
					return;
				}

				run.push(attempt);
				socket.write(refused.has(socket) ? refusal(echo ? 't1' : undefined) : answerTo(kind, attempt));
			});
			const dispatch = dispatchFor(context);
			const {signal} = new AbortController();
			const first = await dispatch.send(endpointAt(endpoint.port), attemptWith(kind, 't1'), optionsWith(signal));
			assert.equal(first.kind, 'not-started');
			await sleep(reuseDelayMs);
			const result = await dispatch.send(endpointAt(endpoint.port), attemptWith(kind, 't2'), optionsWith(signal));
			assert.deepEqual(run, ['t2']);
			assert.notEqual(result.kind, 'not-started');
		});
	}

	test(`an answer with the id of another attempt is not taken for the answer (${kind})`, async context => {
		const endpoint = await startRawEndpoint((_request, socket) => {
			socket.write(answerTo(kind, 't0'));
		});
		const result = await dispatchFor(context).send(endpointAt(endpoint.port), attemptWith(kind, 't1'), optionsWith(new AbortController().signal));
		assert.equal(result.kind, 'broken');
	});

	test(`a response that stops anywhere is not an answer (${kind})`, async context => {
		const dispatch = dispatchFor(context);
		for (const whole of [answerTo(kind, 't1'), answerTo(kind, 't1', 'Connection: close\r\n')]) {
			let end = 0;
			const endpoint = await startRawEndpoint((_request, socket) => {
				socket.end(whole.slice(0, end));
			});
			for (end = 0; end < whole.length; end++) {
				const result = await dispatch.send(endpointAt(endpoint.port), attemptWith(kind, 't1'), optionsWith(new AbortController().signal));
				assert.equal(result.kind, 'broken', `after ${JSON.stringify(whole.slice(0, end))}`);
			}
		}
	});

	for (const status of ['000', '099', '600', '999']) {
		test(`a response with status ${status} is not an answer (${kind})`, async context => {
			const endpoint = await startRawEndpoint((request, socket) => {
				socket.end(answerTo(kind, attemptOf(request), 'Connection: close\r\n').replace('200 OK', `${status} Strange`));
			});
			const result = await dispatchFor(context).send(endpointAt(endpoint.port), attemptWith(kind, 't1'), optionsWith(new AbortController().signal));
			assert.notEqual(result.kind, 'answered');
			assert.notEqual(result.kind, 'not-started');
		});
	}

	test(`an aborted call reports why it was aborted, whatever the messages say (${kind})`, async context => {
		const endpoint = await startRawEndpoint(() => undefined);
		const dispatch = dispatchFor(context);
		for (const [cause, message] of [['cancelled', 'the deadline of the caller is not ours'], ['deadline-exceeded', 'too late']] as const) {
			const controller = new AbortController();
			setTimeout(() => {
				controller.abort(abortReason(cause, message));
			}, 20);
			assert.equal(codeOf(await dispatch.send(endpointAt(endpoint.port), attemptWith(kind, 't1'), optionsWith(controller.signal))), cause);
		}
	});

	test(`a call without a response ends as deadline-exceeded (${kind})`, async context => {
		const endpoint = await startRawEndpoint(() => undefined);
		const result = await dispatchFor(context).send(endpointAt(endpoint.port), attemptWith(kind, 't1'), optionsWith(new AbortController().signal, 50));
		assert.equal(codeOf(result), 'deadline-exceeded');
	});
}

test('an at-most-once call never shares a connection', async context => {
	const sockets: Socket[] = [];
	const endpoint = await startRawEndpoint((request, socket) => {
		sockets.push(socket);
		socket.write(answerTo('repeatable call', attemptOf(request)));
	});
	const dispatch = dispatchFor(context);
	const calls = ['repeatable call', 'at-most-once call', 'at-most-once call', 'repeatable call'] as const;
	for (const [index, kind] of calls.entries()) {
		const result = await dispatch.send(endpointAt(endpoint.port), attemptWith(kind, `t${index}`), optionsWith(new AbortController().signal));
		assert.equal(result.kind, 'answered');
		await sleep(reuseDelayMs);
	}

	assert.deepEqual(sockets.map(socket => sockets.indexOf(socket)), [0, 1, 2, 0]);
});
