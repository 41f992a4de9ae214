/**
Kept turns on the wire: which turn a request continues, what the endpoint receives, and how the end of a response and the
refusals of a turn look to the caller.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {as, type Milliseconds} from '../src/contracts/id.js';
import {parseRelaySettings} from '../src/programs/relay-settings.js';
import {type KeptTurns, type OpenedTurn, type TurnRequest} from '../src/machines/kept-turns.js';
import {routeWith} from './fixtures/relay-harness.js';
import {startFrontEnd, startRawEndpoint} from './fixtures/raw-front-end.js';

const route = routeWith({
	isStream: true, repetition: 'resumable', maxEndpoints: 1, keepsTurns: true, latencyGoal: as<Milliseconds>(250),
});

const body = 'new input';

function requestBytes(headers: string): string {
	return `POST /work/1 HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: t1\r\nDeadline-Ms: 1500\r\nConnection: close\r\n${headers}Content-Length: ${body.length}\r\n\r\n${body}`;
}

const event = 'weight-versions: 3\nid: 1\ndata: a\n\n';

function streamAnswer(framing: string, content: string): string {
	return `HTTP/1.1 200 OK\r\nAttempt-Id: t1\r\nServer-Seal: seal\r\nContent-Type: text/event-stream\r\n${framing}\r\n${content}`;
}

const chunked = streamAnswer('Transfer-Encoding: chunked\r\n', `${event.length.toString(16)}\r\n${event}\r\n0\r\n\r\n`);

type Exchange = {
	readonly opened: readonly TurnRequest[];
	readonly recorded: readonly string[];
	/** What the endpoint received. */
	readonly requests: readonly string[];
	/** What the caller received. */
	readonly text: string;
	readonly isReset: boolean;
};

/** Sends one request; `open` decides what becomes of its turn. */
async function exchange(headers: string, open: (recorder: Extract<OpenedTurn, {kind: 'opened'}>['recorder']) => OpenedTurn, isKept = true, answer = chunked): Promise<Exchange> {
	const endpoint = await startRawEndpoint((_request, socket) => {
		socket.write(answer);
		if (!answer.includes('chunked')) {
			socket.end();
		}
	});
	const opened: TurnRequest[] = [];
	const recorded: string[] = [];
	const turns: KeptTurns = {
		async open(turn) {
			opened.push(turn);
			return open({
				event(data) {
					recorded.push(Buffer.from(data).toString());
				},
				keep: async () => isKept,
				breakOff: () => undefined,
				close: () => undefined,
			});
		},
	};
	const front = await startFrontEnd(route, [endpoint.port], {turns});
	const {text, isReset} = await front.exchange(requestBytes(headers));
	return {
		opened, recorded, requests: endpoint.requests, text, isReset,
	};
}

function openWith(assembled: string) {
	return (recorder: Extract<OpenedTurn, {kind: 'opened'}>['recorder']): OpenedTurn => ({
		kind: 'opened', body: Buffer.from(assembled), received: undefined, recorder,
	});
}

test('the endpoint receives the assembled body with its length, and the header that names the previous turn', async () => {
	const {opened, requests, recorded, text} = await exchange('Previous-Turn: t0\r\n', openWith('all of it, new input'));
	assert.equal(opened[0]?.previous, 't0');
	assert.equal(Buffer.from(opened[0]?.input ?? []).toString(), body);
	assert.match(requests[0] ?? '', /^POST \/work\/1 HTTP\/1\.1\r\n.*\r\nPrevious-Turn: t0\r\n.*\r\ncontent-length: 20\r\n/sv);
	assert.ok(requests[0]?.endsWith('\r\n\r\nall of it, new input'));
	assert.deepEqual(recorded, ['a']);
	assert.ok(text.endsWith('0\r\n\r\n'));
});

for (const [header, previous] of [['', undefined], ['Previous-Turn:\r\n', undefined], ['Previous-Turn: \t \r\n', undefined], ['Previous-Turn: ?? {\r\n', '?? {']] as const) {
	test(`a request with ${JSON.stringify(header)} ${previous === undefined ? 'is the first turn of a chain' : 'continues a turn'}`, async () => {
		const {opened} = await exchange(header, openWith(body));
		assert.deepEqual(opened.map(turn => turn.previous), [previous]);
	});
}

// Guards against responses whose end a caller takes for a promise that the turn is kept.
for (const [framing, answer] of [['chunks', chunked], ['the end of its connection', streamAnswer('Connection: close\r\n', event)]] as const) {
	test(`a response framed by ${framing} whose turn is not kept does not look complete`, async () => {
		const kept = await exchange('', openWith(body), true, answer);
		const lost = await exchange('', openWith(body), false, answer);
		assert.ok(kept.text.includes(event) && lost.text.includes(event));
		assert.equal(kept.isReset, false);
		assert.ok(lost.isReset || (framing === 'chunks' && !lost.text.endsWith('0\r\n\r\n')));
	});
}

const refusals: ReadonlyArray<{readonly opened: OpenedTurn; readonly status: number; readonly isRetried: boolean}> = [
	{opened: {kind: 'unknown-turn'}, status: 404, isRetried: false},
	{opened: {kind: 'too-long'}, status: 413, isRetried: false},
	{opened: {kind: 'unavailable', retryAfter: as<Milliseconds>(250)}, status: 503, isRetried: true},
];

for (const {opened, status, isRetried} of refusals) {
	test(`a turn that is ${opened.kind} is refused with ${status}${isRetried ? ' and a time to come back' : ''}`, async () => {
		const {text, requests} = await exchange('Previous-Turn: t0\r\n', () => opened);
		assert.match(text, new RegExp(String.raw`^HTTP/1\.1 ${status} `, 'v'));
		assert.equal(text.includes('\r\nretry-after: 0.25\r\n'), isRetried);
		assert.deepEqual(requests, []);
	});
}

const settings = `
	[instance]
	id = "a1"
	dataCentre = "a"
	[platform]
	address = "127.0.0.1:1"
	heartbeatMs = 1000
	[stop]
	graceMs = 1000
`;

// Guards against a template whose fields the platform does not have, which leaves the section empty.
for (const [section, tolerance] of [
	['', {machines: 1, dataCentres: 1}],
	['[tolerance]\n', {machines: 1, dataCentres: 1}],
	['[tolerance]\nmachines = 2\ndataCentres = 0\n', {machines: 2, dataCentres: 0}],
] as const) {
	test(`settings with ${JSON.stringify(section)} tolerate the loss of ${tolerance.machines} machines and ${tolerance.dataCentres} data centres`, () => {
		assert.deepEqual(parseRelaySettings('file', `${settings}${section}`)._unsafeUnwrap().tolerance, tolerance);
	});
}

test('settings with a tolerance that is not a number are refused', () => {
	assert.match(parseRelaySettings('file', `${settings}[tolerance]\nmachines = "two"\n`)._unsafeUnwrapErr().message, /tolerance\.machines/v);
});
