/**
Requests that crash the endpoints that run them, and others that only had the bad luck to be there.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {
	as, type EndpointId, type Milliseconds, type ObjectVersion,
} from '../src/contracts/id.js';
import {type RelayAttempt, type RelayResult} from '../src/contracts/relay-attempt.js';
import {createQuarantine} from '../src/machines/quarantine.js';
import {
	createRelayHarness, endpointWith, requestWith, routeWith, type RelayHarness,
} from './fixtures/relay-harness.js';

const endpoints = ['e1', 'e2', 'e3', 'e4'].map(id => endpointWith(id));
const answered: RelayResult = {kind: 'answered', head: {status: 200, headers: []}, body: Buffer.from('whole')};
const broken: RelayResult = {kind: 'broken', reason: 'the connection was reset'};
const unreachable: RelayResult = {kind: 'unreachable', reason: 'connection refused'};
const poison = requestWith({target: '/work/poison'});
const isPoison = (attempt: RelayAttempt) => attempt.request.target === poison.target;

/** Endpoints for requests that may run once; `down` are those that refuse connections. */
function createOnceHarness(answer: (attempt: RelayAttempt) => RelayResult, down: ReadonlySet<string>): RelayHarness {
	return createRelayHarness({
		route: routeWith({repetition: 'once'}),
		endpoints,
		script: attempt => down.has(attempt.endpoint.id) ? unreachable : answer(attempt),
	});
}

async function isRefused(harness: RelayHarness): Promise<boolean> {
	const caller = await harness.serve(poison);
	return caller.refusals[0]?.kind === 'quarantined';
}

// Guards against a request with a single attempt that crashes endpoint after endpoint, as nothing sends it again.
test('a request that may run once is quarantined after others have found two endpoints gone that it broke', async () => {
	const down = new Set<string>();
	const harness = createOnceHarness(attempt => {
		if (isPoison(attempt)) {
			down.add(attempt.endpoint.id);
			return broken;
		}

		return answered;
	}, down);
	let ran = 0;
	while (ran < 10 && !await isRefused(harness)) {
		ran = harness.attempts.filter(attempt => isPoison(attempt)).length;
		for (let number = 0; number < 8; number++) {
			await harness.serve(requestWith({target: `/work/${ran}-${number}`}));
		}
	}

	assert.equal(ran, 2);
});

test('a request that may run once is quarantined after the list has dropped two endpoints that it broke', async () => {
	const harness = createOnceHarness(() => broken, new Set());
	for (let crash = 0; crash < 2; crash++) {
		assert.equal(await isRefused(harness), false);
		const id = as<EndpointId>(harness.attempts.at(-1)?.endpoint.id ?? '');
		harness.relay.recordEnd(id);
		harness.fleet.apply({kind: 'removed', revision: as<ObjectVersion>(crash + 2), id});
	}

	assert.equal(await isRefused(harness), true);
});

test('a request whose connections broke at endpoints that went on answering is not quarantined', async () => {
	const harness = createOnceHarness(attempt => isPoison(attempt) ? broken : answered, new Set());
	for (let call = 0; call < 6; call++) {
		assert.equal(await isRefused(harness), false);
		for (let number = 0; number < 16; number++) {
			await harness.serve(requestWith({target: `/work/${call}-${number}`}));
		}

		for (const {id} of endpoints) {
			harness.relay.recordEnd(id);
		}
	}
});

test('an endpoint that ends long after a connection to it broke was not crashed by that request', async () => {
	const harness = createOnceHarness(() => broken, new Set());
	for (let call = 0; call < 3; call++) {
		assert.equal(await isRefused(harness), false);
		await harness.clock.advance(11_000);
		harness.relay.recordEnd(as<EndpointId>(harness.attempts.at(-1)?.endpoint.id ?? ''));
	}
});

// Guards against innocent requests in quarantine: an endpoint that crashes breaks all that it has.
test('a request whose content was answered lately is not blamed for endpoints that crash', async () => {
	let isCrashing = false;
	const harness = createOnceHarness(() => isCrashing ? broken : answered, new Set());
	for (let call = 0; call < 3; call++) {
		isCrashing = false;
		assert.equal(await isRefused(harness), false);
		isCrashing = true;
		assert.equal(await isRefused(harness), false);
		harness.relay.recordEnd(as<EndpointId>(harness.attempts.at(-1)?.endpoint.id ?? ''));
	}
});

test('an endpoint that starts again under its id can be crashed again', () => {
	const quarantine = createQuarantine();
	const now = as<Milliseconds>(0);
	const crash = (bornAt: number) => quarantine.record({fingerprint: 'poison', endpoint: as<EndpointId>('e1'), bornAt: as<Milliseconds>(bornAt)}, now);
	assert.equal(crash(1), true);
	assert.equal(crash(1), false);
	assert.equal(quarantine.isBlocked('poison', now), false);
	assert.equal(crash(2), true);
	assert.equal(quarantine.isBlocked('poison', now), true);
});
