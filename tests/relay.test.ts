/**
Relayed requests whose attempts fail: which of them are retried, on which endpoint, and what the caller receives.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {
	as, type Milliseconds, type PromptPartId, type Tokens,
} from '../src/contracts/id.js';
import {type RelayAttempt, type RelayResult} from '../src/contracts/relay-attempt.js';
import {
	createRelayHarness, endpointWith, eventBytes, requestWith, routeWith, turn,
} from './fixtures/relay-harness.js';

const answered: RelayResult = {kind: 'answered', head: {status: 200, headers: []}, body: Buffer.from('whole')};
const broken: RelayResult = {kind: 'broken', reason: 'reset'};
const unreachable: RelayResult = {kind: 'unreachable', reason: 'refused'};
const rejected: RelayResult = {kind: 'rejected', status: 503};
const endpoints = [endpointWith('a'), endpointWith('bb'), endpointWith('ccc')];
const stream = routeWith({isStream: true, repetition: 'resumable', maxEndpoints: 1});

/** Returns a script that gives the results in order and then repeats the last one. */
function inOrder(...results: readonly RelayResult[]) {
	let next = 0;
	return () => results[Math.min(next++, results.length - 1)] ?? answered;
}

function sendEvents(attempt: RelayAttempt, from: number, to: number): void {
	attempt.onHead({status: 200, headers: []});
	for (let id = from; id <= to; id++) {
		attempt.onEvent({id, bytes: eventBytes(id)});
	}
}

type Case = {
	readonly name: string;
	readonly repetition: 'repeatable' | 'once';
	readonly results: readonly RelayResult[];
	readonly attempts: number;
	readonly ending: 'answered' | 'failed' | 'not-run' | 'timeout';
};

const cases: readonly Case[] = [
	{
		name: 'a response is delivered', repetition: 'repeatable', results: [answered], attempts: 1, ending: 'answered',
	},
	{
		name: 'a repeatable request is retried at another endpoint when a connection breaks', repetition: 'repeatable', results: [broken, answered], attempts: 2, ending: 'answered',
	},
	{
		name: 'a repeatable request is retried at another endpoint when the first does not respond', repetition: 'repeatable', results: [{kind: 'silent'}, answered], attempts: 2, ending: 'answered',
	},
	{
		name: 'an at-most-once request is not retried when its connection breaks', repetition: 'once', results: [broken, answered], attempts: 1, ending: 'failed',
	},
	{
		name: 'an at-most-once request is retried when no connection was established', repetition: 'once', results: [unreachable, answered], attempts: 2, ending: 'answered',
	},
	{
		name: 'an at-most-once request is retried when an endpoint reports that it did not run it',
		repetition: 'once',
		results: [rejected, {kind: 'misdirected'}, answered],
		attempts: 3,
		ending: 'answered',
	},
	{
		name: 'an at-most-once request that times out at an endpoint is not retried', repetition: 'once', results: [{kind: 'expired'}], attempts: 1, ending: 'timeout',
	},
];

for (const {name, repetition, results, attempts, ending} of cases) {
	test(name, async () => {
		const harness = createRelayHarness({route: routeWith({repetition}), endpoints, script: inOrder(...results)});
		const caller = await harness.serve(requestWith());
		assert.equal(harness.attempts.length, attempts);
		assert.equal(caller.ending() ?? caller.refusals[0]?.kind, ending);
	});
}

test('a request rejected by every endpoint is refused as not run within half of its latency goal', async () => {
	const harness = createRelayHarness({route: routeWith({repetition: 'once'}), endpoints, script: inOrder(rejected)});
	const caller = await harness.serve(requestWith());
	assert.equal(caller.refusals[0]?.kind, 'not-run');
	const refused = harness.events.find(event => event.kind === 'refused');
	assert.ok(refused?.kind === 'refused' && refused.elapsed <= 200);
});

test('a repeatable request runs on no more endpoints than its route allows', async () => {
	const harness = createRelayHarness({route: routeWith({maxEndpoints: 2}), endpoints, script: inOrder(broken)});
	await harness.serve(requestWith());
	assert.equal(new Set(harness.attempts.map(attempt => attempt.endpoint.id)).size, 2);
});

test('a stream resumes after its last complete event at the same endpoint, in one response', async () => {
	let isFirst = true;
	const harness = createRelayHarness({
		route: stream,
		endpoints,
		script(attempt) {
			if (isFirst) {
				isFirst = false;
				sendEvents(attempt, 1, 3);
				return broken;
			}

			assert.equal(attempt.resumeAfter, 3);
			sendEvents(attempt, 3, 5);
			return {kind: 'finished'};
		},
	});
	const caller = await harness.serve(requestWith(turn));
	assert.equal(caller.body(), [1, 2, 3, 4, 5].map(id => Buffer.from(eventBytes(id)).toString()).join(''));
	assert.equal(caller.ending(), 'finished');
	assert.equal(harness.attempts[0]?.endpoint.id, harness.attempts[1]?.endpoint.id);
});

test('a stream resumes at another endpoint when its own becomes unreachable', async () => {
	let dead: string | undefined;
	const harness = createRelayHarness({
		route: stream,
		endpoints,
		script(attempt) {
			if (dead === undefined) {
				dead = attempt.endpoint.id;
				sendEvents(attempt, 1, 2);
				return broken;
			}

			if (attempt.endpoint.id === dead) {
				return unreachable;
			}

			sendEvents(attempt, 3, 4);
			return {kind: 'finished'};
		},
	});
	const caller = await harness.serve(requestWith(turn));
	assert.equal(caller.ending(), 'finished');
	assert.equal(harness.attempts.length, 3);
});

test('a stream that cannot resume is aborted, so that it does not look complete', async () => {
	const harness = createRelayHarness({
		route: stream,
		endpoints,
		script(attempt) {
			sendEvents(attempt, 1, 1);
			return broken;
		},
	});
	const caller = await harness.serve(requestWith(turn));
	assert.equal(caller.ending(), 'aborted');
});

test('a program with an exhausted budget is refused before anything is sent', async () => {
	const harness = createRelayHarness({
		route: stream, endpoints, script: inOrder(answered), budgets: {reserve: async () => ({kind: 'exhausted'})},
	});
	const caller = await harness.serve(requestWith(turn));
	assert.equal(caller.refusals[0]?.kind, 'budget-exhausted');
	assert.equal(harness.attempts.length, 0);
});

test('tokens are settled by the number of events sent to the caller', async () => {
	const settled: number[] = [];
	const harness = createRelayHarness({
		route: stream,
		endpoints,
		script(attempt) {
			sendEvents(attempt, 1, 4);
			return {kind: 'finished'};
		},
		budgets: {
			reserve: async () => ({
				kind: 'granted',
				places: [],
				settle(used) {
					settled.push(used);
				},
			}),
		},
	});
	await harness.serve(requestWith(turn));
	assert.deepEqual(settled, [12]);
});

test('a turn is routed to the endpoint that served an earlier one, and its own endpoint is recorded', async () => {
	const before = as<PromptPartId>('before');
	const prompt = [
		{id: as<PromptPartId>('shared'), tokens: as<Tokens>(2560)},
		{id: before, tokens: as<Tokens>(2000)},
		{id: as<PromptPartId>('new'), tokens: as<Tokens>(100)},
	];
	for (const place of endpoints.map(({id}) => id)) {
		let settled: unknown;
		const harness = createRelayHarness({
			route: stream,
			endpoints,
			script(attempt) {
				sendEvents(attempt, 1, 1);
				return {kind: 'finished'};
			},
			budgets: {
				reserve: async () => ({
					kind: 'granted',
					places: [{part: before, endpoint: place}],
					settle(_used, served) {
						settled = served;
					},
				}),
			},
		});
		await harness.serve(requestWith({...turn, prompt}));
		assert.equal(harness.attempts[0]?.endpoint.id, place);
		assert.deepEqual(settled, {part: 'new', endpoint: place});
	}
});

test('a request that crashed two endpoints is quarantined', async () => {
	const crashed = new Set<string>();
	const harness = createRelayHarness({
		route: stream,
		endpoints,
		script(attempt) {
			if (crashed.has(attempt.endpoint.id)) {
				return unreachable;
			}

			crashed.add(attempt.endpoint.id);
			return broken;
		},
	});
	await harness.serve(requestWith(turn));
	const again = await harness.serve(requestWith(turn));
	assert.equal(again.refusals[0]?.kind, 'quarantined');
});

test('a path without a route is refused as no-route', async () => {
	const harness = createRelayHarness({route: routeWith(), endpoints, script: inOrder(answered)});
	const caller = await harness.serve(requestWith({target: '/other/1'}));
	assert.equal(caller.refusals[0]?.kind, 'no-route');
});

test('a slow request gets its full time at the second endpoint', async () => {
	const harness = createRelayHarness({
		route: routeWith(),
		endpoints,
		async script(attempt) {
			const work = 1200;
			const isSilent = attempt.responseTimeouts.first < work;
			await harness.clock.sleep(as<Milliseconds>(Math.min(work, attempt.responseTimeouts.first)));
			return isSilent ? {kind: 'silent'} : answered;
		},
	});
	const caller = await harness.serve(requestWith());
	assert.equal(harness.attempts.length, 2);
	assert.equal(caller.ending(), 'answered');
});

test('the remaining time shrinks with each attempt', async () => {
	const harness = createRelayHarness({
		route: routeWith(),
		endpoints,
		async script(attempt) {
			await harness.clock.sleep(as<Milliseconds>(100));
			return harness.attempts.length === 1 ? broken : {...answered, took: attempt.timeLeft};
		},
	});
	await harness.serve(requestWith());
	assert.ok((harness.attempts[0]?.timeLeft ?? 0) - (harness.attempts[1]?.timeLeft ?? 0) >= 100);
});
