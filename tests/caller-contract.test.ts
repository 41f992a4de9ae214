/**
Contract tests of the API for callers, over real sockets: invalid input gets a structured error without side effects,
streams resume, and a slow caller causes backpressure.
*/
import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
import {request as httpRequest} from 'node:http';
import {
	after, before, beforeEach, test,
} from 'node:test';
import {z} from 'zod';
import {type CallEvent} from '../src/contracts/call.js';
import {
	as, type AttemptId, type CustomerId, type Milliseconds, type ProgramId, type Tokens,
} from '../src/contracts/id.js';
import {type CallerServer, serveCallers} from '../src/links/caller.js';
import {maximumRequestBytes} from '../src/links/request-body.js';
import {callerLimits} from '../src/machines/client-limits.js';
import {type StreamRequest} from '../src/zones/peers.js';
import {type ProgramView} from '../src/zones/shard.js';
import {createSeededRandom} from './fixtures/fake-clock.js';
import {createStubInstance} from './fixtures/stub-instance.js';

const key = 'the-key';
const program = as<ProgramId>('padova.1.0123456789abcdef');
const view: ProgramView = {
	id: program,
	status: 'open',
	turns: 0,
	budget: {tokens: as<Tokens>(10), calls: 1, duration: as<Milliseconds>(1000)},
	spent: {tokens: as<Tokens>(0), calls: 0},
	reserved: {tokens: as<Tokens>(0), calls: 0},
	expiresAt: as<Milliseconds>(1000),
};
const errorBody = z.object({error: z.record(z.string(), z.unknown())});
const completionBody = z.object({choices: z.array(z.object({message: z.object({content: z.string()})})), usage: z.object({total_tokens: z.number()})});
const streamed: StreamRequest[] = [];
const opened: unknown[] = [];
let events: () => AsyncGenerator<CallEvent, void, undefined>;
let callers: CallerServer;
let origin: string;

before(async () => {
	const instance = createStubInstance({
		async open(opening) {
			opened.push(opening);
			return {kind: 'view', view};
		},
		program: async () => ({kind: 'view', view}),
		stream(request) {
			streamed.push(request);
			return events();
		},
	});
	callers = await serveCallers({
		instance,
		customers: new Map([[createHash('sha256').update(key).digest('hex'), as<CustomerId>('brenta')]]),
		random: createSeededRandom(1),
		host: '127.0.0.1',
		port: 0,
		limits: callerLimits({memory: undefined, descriptors: undefined}),
		onRequest() {
			// These tests do not check the reported requests.
		},
		onProblem() {
			// Nor the reported problems.
		},
	});
	const address = callers.server.address();
	assert.ok(typeof address === 'object' && address);
	origin = `http://127.0.0.1:${address.port}`;
});

beforeEach(() => {
	streamed.length = 0;
	opened.length = 0;
	events = async function * () {
		yield token(0);
		yield token(1);
		yield completed();
	};
});

after(async () => {
	callers.server.closeAllConnections();
	await callers.drain();
});

function token(index: number): CallEvent {
	return {
		kind: 'token', stream: as<AttemptId>('abc'), index, text: ` t${index}`,
	};
}

function completed(): CallEvent {
	const usage = {prompt: as<Tokens>(3), cached: as<Tokens>(1), completion: as<Tokens>(2)};
	return {
		kind: 'settled',
		outcome: {
			kind: 'completed',
			answer: {
				kind: 'message', tokens: [' t0', ' t1'], finish: 'stop', usage,
			},
		},
	};
}

async function sendRequest(path: string, init: RequestInit = {}): Promise<Response> {
	return fetch(`${origin}${path}`, {...init, headers: {authorization: `Bearer ${key}`, ...init.headers}});
}

const completion = {model: 'quotes', messages: [{role: 'user', content: 'hi'}]};
const valid = JSON.stringify(completion);

type Refusal = {
	readonly name: string;
	readonly path: string;
	readonly body?: string;
	readonly headers?: Record<string, string>;
	readonly status: number;
	readonly code: string;
};

const refusals: readonly Refusal[] = [
	{
		name: 'an unknown key', path: '/v1/chat/completions', body: valid, headers: {authorization: 'Bearer wrong'}, status: 401, code: 'unauthenticated',
	},
	{
		name: 'no key', path: '/v1/programs', headers: {authorization: ''}, status: 401, code: 'unauthenticated',
	},
	{
		name: 'a body that is not JSON', path: '/v1/chat/completions', body: '{', status: 400, code: 'invalid-request',
	},
	{
		name: 'a body without messages', path: '/v1/chat/completions', body: '{"model":"quotes"}', status: 400, code: 'invalid-request',
	},
	{
		name: 'a body that is too large',
		path: '/v1/chat/completions',
		body: JSON.stringify({...completion, pad: 'x'.repeat(maximumRequestBytes)}),
		status: 413,
		code: 'too-large',
	},
	{
		name: 'a malformed program id', path: '/v1/chat/completions', body: valid, headers: {'hickoryfork-program': '../x'}, status: 400, code: 'invalid-request',
	},
	{
		name: 'a program id with a shard that does not exist',
		path: '/v1/chat/completions',
		body: valid,
		headers: {'hickoryfork-program': 'padova.999.0123456789'},
		status: 400,
		code: 'invalid-request',
	},
	{
		name: 'a negative timeout', path: '/v1/chat/completions', body: valid, headers: {'hickoryfork-timeout-ms': '-5'}, status: 400, code: 'invalid-request',
	},
	{
		name: 'a turn that is not a number', path: '/v1/chat/completions', body: valid, headers: {'hickoryfork-turn': 'one'}, status: 400, code: 'invalid-request',
	},
	{
		name: 'an idempotency key that is too long', path: '/v1/chat/completions', body: valid, headers: {'idempotency-key': 'k'.repeat(200)}, status: 400, code: 'invalid-request',
	},
	{
		name: 'a malformed stream position', path: '/v1/chat/completions', body: valid, headers: {'last-event-id': 'nonsense'}, status: 400, code: 'invalid-request',
	},
	{
		name: 'an unknown key in a budget', path: '/v1/programs', body: '{"budget":{"money":1}}', status: 400, code: 'invalid-request',
	},
	{
		name: 'a budget below one', path: '/v1/programs', body: '{"budget":{"tokens":0}}', status: 400, code: 'invalid-request',
	},
	{
		name: 'a path that does not exist', path: '/v2/anything', status: 404, code: 'not-found',
	},
];

for (const entry of refusals) {
	test(`refused as ${entry.code}: ${entry.name}`, async () => {
		const response = await sendRequest(entry.path, {
			method: 'POST', ...(entry.body !== undefined && {body: entry.body}), ...(entry.headers && {headers: entry.headers}),
		});
		const body = errorBody.parse(await response.json());
		assert.equal(response.status, entry.status);
		assert.equal(body.error.code, entry.code);
		assert.equal(body.error.outcome, 'not-run');
		for (const field of ['message', 'step', 'peer', 'log']) {
			assert.ok(field in body.error, field);
		}

		assert.deepEqual([streamed.length, opened.length], [0, 0]);
	});
}

test('a completion that is not streamed returns the text and its usage', async () => {
	const response = await sendRequest('/v1/chat/completions', {method: 'POST', body: valid, headers: {'hickoryfork-program': program, 'idempotency-key': 'k1', 'hickoryfork-turn': '4'}});
	const body = completionBody.parse(await response.json());
	assert.equal(body.choices[0]?.message.content, ' t0 t1');
	assert.equal(body.usage.total_tokens, 5);
	const [request] = streamed;
	assert.ok(request?.kind === 'call');
	assert.deepEqual([request.call.key, request.call.turn, request.call.customer, request.call.program], ['k1', 4, 'brenta', program]);
});

test('a streamed completion numbers its tokens and ends with its usage', async () => {
	const response = await sendRequest('/v1/chat/completions', {method: 'POST', body: JSON.stringify({...completion, stream: true}), headers: {'hickoryfork-program': program}});
	const text = await response.text();
	assert.deepEqual([...text.matchAll(/^id: (.+)$/gmv)].map(match => match[1]), ['abc.0', 'abc.1']);
	assert.match(text, /"finish_reason":"stop".*"total_tokens":5/v);
	assert.ok(text.endsWith('data: [DONE]\n\n'));
});

test('a stream resumes at the token after the last one received', async () => {
	await sendRequest(`/v1/programs/${program}/calls/k1`, {headers: {accept: 'text/event-stream', 'last-event-id': 'abc.7'}});
	assert.deepEqual(streamed[0]?.position, {stream: 'abc', index: 8});
});

test('a service call forwards method, path, query and body, and returns the response', async () => {
	events = async function * () {
		yield {kind: 'settled', outcome: {kind: 'completed', answer: {kind: 'response', status: 201, body: '{"ok":true}'}}};
	};

	const response = await sendRequest(`/v1/programs/${program}/services/stock/blanks/42?size=3`, {method: 'PUT', body: '{"count":2}'});
	assert.equal(response.status, 201);
	assert.equal(response.headers.get('hickoryfork-outcome'), 'completed');
	assert.equal(await response.text(), '{"ok":true}');
	const [request] = streamed;
	assert.deepEqual(request?.kind === 'call' && request.call.request, {
		kind: 'service', method: 'PUT', path: '/blanks/42?size=3', body: '{"count":2}',
	});
});

test('a completion without a program opens a new one', async () => {
	await sendRequest('/v1/chat/completions', {method: 'POST', body: valid});
	assert.equal(opened.length, 1);
	assert.equal(streamed.length, 1);
});

test('a refusal carries the time after which to retry', async () => {
	events = async function * () {
		yield {
			kind: 'refused', failure: {
				code: 'overloaded', message: 'full', step: 'place', peer: 'engines', execution: 'not-run', retryAfter: as<Milliseconds>(1500), log: [],
			},
		};
	};

	const response = await sendRequest('/v1/chat/completions', {method: 'POST', body: JSON.stringify({...completion, stream: true}), headers: {'hickoryfork-program': program}});
	assert.equal(response.status, 503);
	assert.equal(response.headers.get('retry-after'), '2');
	assert.equal(response.headers.get('hickoryfork-outcome'), 'not-run');
});

test('a caller that stops reading pauses its stream, which completes once it reads again', async () => {
	const total = 20_000;
	const text = 'x'.repeat(1000);
	let pulled = 0;
	events = async function * () {
		for (; pulled < total; pulled++) {
			yield {
				kind: 'token', stream: as<AttemptId>('abc'), index: pulled, text,
			};
		}

		yield completed();
	};

	const received = await new Promise<{readonly paused: number; readonly bytes: number}>((resolve, reject) => {
		const request = httpRequest(`${origin}/v1/chat/completions`, {method: 'POST', headers: {authorization: `Bearer ${key}`, 'hickoryfork-program': program}}, response => {
			response.pause();
			let previous = -1;
			// The stream pauses once the buffers on both sides are full.
			const timer = setInterval(() => {
				if (pulled !== previous) {
					previous = pulled;
					return;
				}

				clearInterval(timer);
				let bytes = 0;
				response.on('data', (part: Uint8Array) => {
					bytes += part.length;
				});
				response.on('end', () => {
					resolve({paused: previous, bytes});
				});
				response.resume();
			}, 100);
		});
		request.on('error', reject);
		request.end(JSON.stringify({...completion, stream: true}));
	});
	assert.ok(received.paused < total, `${received.paused} of ${total} tokens were taken while the caller did not read`);
	assert.equal(pulled, total);
	assert.ok(received.bytes > total * text.length);
});
