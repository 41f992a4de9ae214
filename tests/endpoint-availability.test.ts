/**
Endpoints that fail while they look idle: one that goes down and up every second behind an address that accepts
connections, and one that answers part of its requests with an error.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {as, type Milliseconds} from '../src/contracts/id.js';
import {type RelayResult} from '../src/contracts/relay-attempt.js';
import {createEndpointAvailability, type Monitoring} from '../src/machines/endpoint-availability.js';
import {createSeededRandom} from './fixtures/fake-clock.js';
import {
	createRelayHarness, endpointWith, requestWith, routeWith,
} from './fixtures/relay-harness.js';

const ms = (value: number) => as<Milliseconds>(value);
const answer: RelayResult = {kind: 'answered', head: {status: 200, headers: []}, body: new Uint8Array()};
const serverError: RelayResult = {kind: 'answered', head: {status: 500, headers: []}, body: new Uint8Array()};

/** Serves requests that may run once, one after another; `respond` decides what the failing endpoint does with the nth. */
async function serveBeside(monitoring: Monitoring, count: number, respond: (number: number) => RelayResult) {
	const arrived = {failing: 0, sound: 0};
	const harness = createRelayHarness({
		route: routeWith({repetition: 'once', maxEndpoints: 1}),
		endpoints: [endpointWith('failing'), endpointWith('sound')],
		monitoring,
		async script(attempt) {
			if (attempt.endpoint.id === 'failing') {
				arrived.failing++;
				await harness.clock.sleep(ms(2), attempt.signal);
				return respond(arrived.failing);
			}

			arrived.sound++;
			await harness.clock.sleep(ms(200), attempt.signal);
			return answer;
		},
	});
	for (let request = 0; request < count; request++) {
		await harness.serve(requestWith({}));
		await harness.clock.advance(20);
	}

	return {...arrived, announced: harness.failing.length};
}

// Guards against an endpoint that is down, and therefore idle, drawing most requests of an instance.
test('an endpoint that breaks off each response gets few requests', async () => {
	const broken: RelayResult = {kind: 'broken', reason: 'reset'};
	const before = await serveBeside('connections', 30, () => broken);
	const now = await serveBeside('responses', 30, () => broken);
	assert.ok(before.failing > 20, `${before.failing} of 30 requests without monitoring of responses`);
	assert.ok(now.failing <= 6, `${now.failing} of 30 requests`);
	assert.ok(now.announced >= 1, 'peers are told');
});

// Guards against an endpoint that answers errors quickly, and therefore looks fast, drawing most requests.
test('an endpoint that answers half of its requests with an error gets few requests', async () => {
	const respond = (number: number) => number % 2 === 0 ? answer : serverError;
	const before = await serveBeside('connections', 60, respond);
	const now = await serveBeside('responses', 60, respond);
	assert.ok(before.failing > 40, `${before.failing} of 60 requests without monitoring of responses`);
	assert.ok(now.failing <= 15, `${now.failing} of 60 requests`);
});

test('a single broken response passes an endpoint over for a moment only, and peers are not told', () => {
	const availability = createEndpointAvailability('responses', createSeededRandom(1));
	availability.recordResponse({isError: false, sentAt: ms(0)}, ms(100));
	assert.equal(availability.recordBroken(ms(1000)), false);
	assert.equal(availability.isUsable(ms(1100)), false);
	assert.equal(availability.isUsable(ms(1300)), true);
});

// Guards against the requests that wait for a failing endpoint all failing with the first that tries it again.
test('a single request tries an endpoint that has failed', () => {
	const availability = createEndpointAvailability('responses', createSeededRandom(1));
	availability.recordBroken(ms(1000));
	assert.equal(availability.isUsable(ms(1300)), true);
	availability.recordSent(ms(1300));
	assert.equal(availability.isUsable(ms(1310)), false);
	availability.recordResponse({isError: false, sentAt: ms(1300)}, ms(1400));
	assert.equal(availability.isUsable(ms(1400)), true);
});

test('the end of a request that was sent before a failure does not end the backoff', () => {
	const availability = createEndpointAvailability('responses', createSeededRandom(1));
	availability.recordBroken(ms(1000));
	availability.recordResponse({isError: false, sentAt: ms(500)}, ms(1010));
	assert.equal(availability.isUsable(ms(1100)), false);
});

// An endpoint may fail for the callers of one data centre only.
test('a report of a peer counts unless this instance was just answered', () => {
	const answered = createEndpointAvailability('responses', createSeededRandom(1));
	answered.recordResponse({isError: false, sentAt: ms(900)}, ms(1000));
	answered.recordPeerFailure(ms(1100));
	assert.equal(answered.isUsable(ms(1101)), true);
	const other = createEndpointAvailability('responses', createSeededRandom(1));
	other.recordPeerFailure(ms(1100));
	assert.equal(other.isUsable(ms(1101)), false);
	assert.equal(other.isUsable(ms(1900)), true);
});

test('where only connections are monitored, broken responses and reports of peers change nothing', () => {
	const availability = createEndpointAvailability('connections', createSeededRandom(1));
	assert.equal(availability.recordBroken(ms(1000)), false);
	availability.recordPeerFailure(ms(1000));
	availability.recordPeerShare(0.9, ms(1000));
	assert.equal(availability.isUsable(ms(1001)), true);
	assert.equal(availability.expectedFailureShare(ms(1001)), 0);
});
