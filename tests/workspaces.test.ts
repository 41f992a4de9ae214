/**
Workspaces: who may call, in whose name and with which priority, and that keys stay where they are decoded.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {as, type AttemptId, type Milliseconds} from '../src/contracts/id.js';
import {type RelayAttempt, type RelayLink} from '../src/contracts/relay-attempt.js';
import {type RequestsPerSecond} from '../src/contracts/rate-limit.js';
import {digestOfKey, type Workspace, type WorkspaceName} from '../src/contracts/workspace.js';
import {type RequestAllotments} from '../src/machines/request-allotments.js';
import {decodeConfiguration} from '../platform/tables.js';
import {startFrontEnd, startRawEndpoint} from './fixtures/raw-front-end.js';
import {attemptOf, requestBytes, statusOf} from './fixtures/raw-requests.js';
import {
	createRelayHarness, endpointWith, type RelayHarnessOptions, requestWith, routeWith,
} from './fixtures/relay-harness.js';
import {createTablesCluster} from './fixtures/tables-cluster.js';

const first: Workspace = {
	name: as<WorkspaceName>('first'), priority: 2, keys: [digestOfKey('key-a'), digestOfKey('key-b')], allotment: {kind: 'unlimited'},
};
const second: Workspace = {name: as<WorkspaceName>('second'), keys: [digestOfKey('key-c')], allotment: {kind: 'unlimited'}};
const limited: Workspace = {
	name: as<WorkspaceName>('limited'), keys: [digestOfKey('key-d')], allotment: {kind: 'limited', rate: as<RequestsPerSecond>(1), burst: 1},
};

function harness(parts: Partial<RelayHarnessOptions> = {}) {
	return createRelayHarness({
		route: routeWith(), endpoints: [endpointWith('e1')], workspaces: [first, second, limited],
		script: () => ({kind: 'answered', head: {status: 200, headers: []}, body: new Uint8Array()}), ...parts,
	});
}

const serve = async (relay: ReturnType<typeof harness>, key: string | undefined) => relay.serve(requestWith({key: key === undefined ? undefined : digestOfKey(key)}));

// Guards against callers without a key, with an unknown one or with part of one, and against calls in another workspace's name.
test('a request belongs to the workspace that has its key, and to none without it', async () => {
	const relay = harness();
	for (const key of ['key-a', 'key-b', 'key-c']) {
		const caller = await serve(relay, key);
		assert.equal(caller.ending(), 'answered');
	}

	for (const key of [undefined, 'key-x', 'key', 'key-a ', 'KEY-A', digestOfKey('key-a')]) {
		const caller = await serve(relay, key);
		assert.deepEqual(caller.refusals, [{kind: 'unauthorized'}]);
	}

	assert.deepEqual(relay.attempts.map(attempt => attempt.workspace), ['first', 'first', 'second']);
	const publicRoute = harness({route: routeWith({isPublic: true})});
	const caller = await serve(publicRoute, undefined);
	assert.equal(caller.ending(), 'answered');
	assert.equal(publicRoute.attempts[0]?.workspace, undefined);
});

// Guards against ending a program whose key this instance has not heard of yet.
test('an unknown key is refused for good only while the tables are fresh', async () => {
	const [fresh, stale] = await Promise.all([1000, 1001].map(async tablesAge => serve(harness({tablesAge}), 'key-x')));
	assert.deepEqual(fresh?.refusals, [{kind: 'unauthorized'}]);
	assert.deepEqual(stale?.refusals, [{kind: 'not-run', retryAfter: 300}]);
});

// Guards against a route that outranks a more important workspace, and against lost ranks where workspaces state none.
test('the priority of a workspace goes before that of the route, which decides between equals', async () => {
	const script = () => ({kind: 'finished'}) as const;
	const urgencies = async (workspaces: readonly Workspace[] | undefined, rank: number, key: string | undefined) => {
		const relay = harness({route: routeWith({rank, isStream: true, repetition: 'once'}), workspaces, script});
		await serve(relay, key);
		return relay.attempts.map((attempt: RelayAttempt) => attempt.urgency)[0];
	};

	const urgent: Workspace = {...second, priority: 0};
	assert.deepEqual(await Promise.all([urgencies([first, urgent], 0, 'key-a'), urgencies([first, urgent], 1, 'key-c'), urgencies([first, urgent], 1, 'key-a')]), [4, 1, 5]);
	assert.deepEqual(await Promise.all([urgencies(undefined, 1, undefined), urgencies([second], 1, 'key-c')]), [2, 2]);
});

// Guards against refusals that look final or name no time, and against permits that stay taken.
test('a request without a permit is refused with a time to retry, and an unused permit is given back', async () => {
	let givenBack = 0;
	const outcomes: Array<Awaited<ReturnType<RequestAllotments['acquire']>>> = [
		{kind: 'used-up', wait: as<Milliseconds>(400)},
		{kind: 'unavailable', wait: as<Milliseconds>(400)},
		...[1, 2, 3].map(() => ({kind: 'granted', giveBack: () => givenBack++}) as const),
	];
	const waits: number[] = [];
	const relay = harness({
		allotments: {
			async acquire({patience}) {
				waits.push(patience);
				return outcomes.shift() ?? {kind: 'cancelled'};
			},
		},
		script: attempt => attempt.request.attempt === 'gone' ? {kind: 'unreachable', reason: 'refused'} : {kind: 'rejected', status: 503},
	});
	for (const kind of ['over-allotment', 'not-run']) {
		const caller = await serve(relay, 'key-d');
		const [refusal] = caller.refusals;
		assert.ok(refusal?.kind === kind && 'retryAfter' in refusal && refusal.retryAfter >= 400 && refusal.retryAfter < 800, JSON.stringify(refusal));
	}

	assert.equal(relay.attempts.length, 0);
	await relay.serve(requestWith({key: digestOfKey('key-d'), attempt: as<AttemptId>('gone')}));
	assert.equal(givenBack, 1);
	await relay.serve(requestWith({key: digestOfKey('key-d'), attempt: as<AttemptId>('rejected')}));
	assert.equal(givenBack, 1);
	await relay.serve(requestWith({key: digestOfKey('key-d'), attempt: as<AttemptId>('late'), timeLeft: as<Milliseconds>(30)}));
	assert.deepEqual(waits, [100, 100, 100, 100, 30]);
});

// Guards against keys that reach endpoints, and against callers that choose a workspace.
test('an endpoint is told the workspace of the key, and gets neither the key nor what the caller claims', async () => {
	const endpoint = await startRawEndpoint((request, socket) => {
		socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${attemptOf(request)}\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nok`);
	});
	const send = async (isPublic: boolean, workspaces: readonly Workspace[] | undefined, scheme = 'Bearer') => {
		const frontEnd = await startFrontEnd(routeWith({isPublic, maxEndpoints: 1}), [endpoint.port], {workspaces});
		const headers = `authorization: ${scheme} key-a\r\nAuthorization: Bearer key-c\r\nTENANT: second`;
		const reply = await frontEnd.exchange(requestBytes('t1').replace('Connection', `${headers}\r\nConnection`));
		return {status: statusOf(reply.text), sent: endpoint.requests.at(-1) ?? '', events: JSON.stringify(frontEnd.events)};
	};

	const answered = await send(false, [first, second]);
	assert.equal(answered.status, 200);
	assert.deepEqual(answered.sent.match(/^(?:tenant|authorization):.*$/gimv), ['tenant: first']);
	assert.ok(answered.events.includes('served') && !/key-[ac]/v.test(answered.events), answered.events);
	const open = await send(true, [first, second]);
	assert.equal(open.sent.match(/^(?:tenant|authorization):.*$/gimv), null);
	const refused = await send(false, [first, second], 'Basic');
	assert.equal(refused.status, 401);
	const without = await send(false, undefined);
	assert.deepEqual(without.sent.match(/^(?:tenant|authorization):.*$/gimv), ['authorization: Bearer key-a', 'Authorization: Bearer key-c', 'TENANT: second']);
});

// Guards against keys in snapshots, dumps, logs and error messages.
test('a configuration holds digests of keys only, and a refused one does not quote them', () => {
	const body = {
		Version: 1,
		Routes: [{
			Name: 'r', Host: 'h', PathPrefix: '/', Kind: 'idempotent', TimeoutMs: 1, LatencyGoalMs: 1, Public: true,
		}],
		Services: [],
		Limits: {
			MaxHeaderBytes: 1, MaxBodyBytes: 1, HeaderTimeoutMs: 1, IdleTimeoutMs: 1,
		},
	};
	const decode = (tenants?: unknown) => decodeConfiguration({...body, Tenants: tenants});
	assert.equal(decode()._unsafeUnwrap().workspaces, undefined);
	const configuration = decode([{
		Name: 'one', ApiKeys: ['secret-1', 'secret-2'], Priority: 1, RatePerS: 5, Burst: 9,
	}, {
		Name: 'two', ApiKeys: [], RatePerS: 0, Burst: 9,
	}])._unsafeUnwrap();
	assert.equal(configuration.routes[0]?.isPublic, true);
	assert.deepEqual(configuration.workspaces, [{
		name: 'one', priority: 1, keys: [digestOfKey('secret-1'), digestOfKey('secret-2')], allotment: {kind: 'limited', rate: 5, burst: 9},
	}, {
		name: 'two', priority: undefined, keys: [], allotment: {kind: 'unlimited'},
	}]);
	assert.ok(!JSON.stringify(configuration).includes('secret'));
	for (const wrong of [
		[{Name: 'one', ApiKeys: ['secret'], RatePerS: -1}],
		[{Name: 'one', ApiKeys: ['secret', '']}],
		[{Name: 'a\nb', ApiKeys: ['secret']}],
		[{Name: 'one', ApiKeys: 'secret'}],
		[{Name: 'one', ApiKeys: ['secret']}, {Name: 'two', ApiKeys: ['secret']}],
		[{Name: 'secret', ApiKeys: []}, {Name: 'secret', ApiKeys: []}],
	]) {
		const failure = decode(wrong)._unsafeUnwrapErr();
		assert.equal(failure.code, 'configuration-refused');
		assert.ok(!JSON.stringify(failure).includes('secret'), JSON.stringify(failure));
	}
});

// Guards against keys that outlive their removal on some instance, and against a table that goes back.
test('a key that the configuration drops is refused on every instance, and an older configuration does not bring it back', async () => {
	const link: RelayLink = {send: async () => ({kind: 'answered', head: {status: 200, headers: []}, body: new Uint8Array()}), canConnect: async () => true};
	const cluster = await createTablesCluster(['a1', 'a2', 'b1', 'b2'], 1, {linkOf: () => link});
	const endings = async () => {
		const callers = cluster.nodes.map(node => cluster.call(node.id, requestWith({key: digestOfKey('key-c')})));
		await cluster.clock.advance(500);
		return callers.map(caller => caller.ending() ?? caller.refusals[0]?.kind);
	};

	cluster.configure(2, {workspaces: [first, second]});
	await cluster.clock.advance(2000);
	assert.deepEqual(await endings(), ['answered', 'answered', 'answered', 'answered']);
	cluster.configure(3, {workspaces: [first]});
	await cluster.clock.advance(2000);
	assert.deepEqual(await endings(), ['unauthorized', 'unauthorized', 'unauthorized', 'unauthorized']);
	cluster.configure(2, {workspaces: [first, second]});
	cluster.kill('a1');
	cluster.start('a1');
	await cluster.clock.advance(3000);
	const later = await endings();
	const dumps = cluster.nodes.map(node => JSON.stringify(node.instance().dump()));
	cluster.stop();
	assert.deepEqual(later.slice(1), ['unauthorized', 'unauthorized', 'unauthorized']);
	assert.ok(dumps.every(dump => !dump.includes(digestOfKey('key-a'))));
});
