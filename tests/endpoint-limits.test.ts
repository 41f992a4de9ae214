/**
Number of endpoints that run one request: a route says how many may, whatever makes another endpoint look better.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	as, type EndpointId, type Milliseconds, type ObjectVersion, type SoftwareVersion,
} from '../src/contracts/id.js';
import {type RequestsPerSecond} from '../src/contracts/rate-limit.js';
import {type RelayAttempt, type RelayResult} from '../src/contracts/relay-attempt.js';
import {type ListedEndpoint} from '../src/contracts/relay.js';
import {type RatePermits} from '../src/machines/rate-permits.js';
import {
	createRelayHarness, endpointWith, eventBytes, type RelayHarness, requestWith, routeWith, turn, unlimitedPermits,
} from './fixtures/relay-harness.js';

const endpoints = ['a', 'b', 'c'].map(id => endpointWith(id));
const stream = routeWith({isStream: true, repetition: 'resumable', maxEndpoints: 1});
const broken: RelayResult = {kind: 'broken', reason: 'the connection was reset'};

/** Makes an endpoint unfit for another attempt, or shows that it has ended. */
type Change = (harness: RelayHarness, endpoint: ListedEndpoint) => void;

function list(harness: RelayHarness, endpoint: ListedEndpoint): void {
	harness.fleet.apply({kind: 'listed', revision: as<ObjectVersion>(2), endpoint});
}

/** Plays a stream whose first attempt breaks after one event. Returns the endpoints of its attempts and how it ended. */
async function playBrokenStream(change: Change, {permits = unlimitedPermits, isGone = false}: {permits?: RatePermits; isGone?: boolean} = {}) {
	const harness = createRelayHarness({
		route: stream,
		endpoints,
		permits,
		canConnect: async () => !isGone,
		script(attempt: RelayAttempt) {
			const id = harness.attempts.length;
			attempt.onHead({status: 200, headers: []});
			attempt.onEvent({id, bytes: eventBytes(id)});
			if (id > 1) {
				return {kind: 'finished'};
			}

			change(harness, attempt.endpoint);
			return broken;
		},
	});
	const caller = await harness.serve(requestWith(turn));
	return {used: harness.attempts.map(attempt => attempt.endpoint.id), ending: caller.ending()};
}

const unfit: ReadonlyArray<readonly [string, Change]> = [
	['said that it leaves', (harness, {id, bornAt}) => {
		harness.fleet.recordLeaving(id, bornAt, harness.clock.now());
	}],
	['is listed as leaving', (harness, endpoint) => {
		list(harness, {...endpoint, isLeaving: true});
	}],
	['is no longer listed', (harness, {id}) => {
		harness.fleet.apply({kind: 'removed', revision: as<ObjectVersion>(2), id});
	}],
];

for (const [name, change] of unfit) {
	// Guards against a stream that runs on two endpoints which both live although its route allows one.
	test(`a stream whose endpoint ${name} is broken off rather than resumed at another one`, async () => {
		const {used, ending} = await playBrokenStream(change);
		assert.equal(used.length, 1);
		assert.equal(ending, 'aborted');
	});

	test(`a stream whose endpoint ${name} and accepts no connection is resumed at another one`, async () => {
		const {used, ending} = await playBrokenStream(change, {isGone: true});
		assert.equal(used.length, 2);
		assert.notEqual(used[0], used[1]);
		assert.equal(ending, 'finished');
	});
}

test('a stream whose endpoint has no permit left waits for it rather than being resumed at another one', async () => {
	const waitMs = 200;
	let limited: EndpointId | undefined;
	let permitAt = 0;
	let now = () => 0;
	const {used, ending} = await playBrokenStream((harness, {id}) => {
		limited = id;
		now = harness.clock.now;
		permitAt = now() + waitMs;
		harness.fleet.endpoint(id)?.recordRateLimit({limit: {kind: 'limited', rate: as<RequestsPerSecond>(5)}, at: harness.clock.now()});
	}, {
		permits: {
			wait: endpoint => as<Milliseconds>(endpoint === limited ? Math.max(0, permitAt - now()) : 0),
			acquire: async () => ({kind: 'granted'}),
		},
	});
	assert.equal(used.length, 2);
	assert.equal(used[0], used[1]);
	assert.equal(ending, 'finished');
});

const restarts: ReadonlyArray<readonly [string, Partial<ListedEndpoint>]> = [
	['under its id', {bornAt: as<Milliseconds>(5), isLeaving: true}],
	['with another version', {version: as<SoftwareVersion>('v2')}],
];

for (const [name, parts] of restarts) {
	test(`a stream whose endpoint has started again ${name} is resumed at another one`, async () => {
		const {used, ending} = await playBrokenStream((harness, endpoint) => {
			list(harness, {...endpoint, ...parts});
		});
		assert.equal(used.length, 2);
		assert.notEqual(used[0], used[1]);
		assert.equal(ending, 'finished');
	});
}

test('a repeatable request that has run at as many endpoints as its route allows is not sent to others when these leave', async () => {
	const harness = createRelayHarness({
		route: routeWith({maxEndpoints: 2}),
		endpoints,
		script(attempt) {
			harness.fleet.recordLeaving(attempt.endpoint.id, attempt.endpoint.bornAt, harness.clock.now());
			return broken;
		},
	});
	const caller = await harness.serve(requestWith());
	assert.equal(new Set(harness.attempts.map(attempt => attempt.endpoint.id)).size, 2);
	assert.equal(caller.refusals[0]?.kind, 'failed');
});
