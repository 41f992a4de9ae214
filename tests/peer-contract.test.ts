/**
Contract tests of the protocol between instances, over real sockets.
*/
import assert from 'node:assert/strict';
import {type Server} from 'node:http';
import {after, test} from 'node:test';
import {type CallEvent, answerStart} from '../src/contracts/call.js';
import {createDeferred} from '../src/contracts/deferred.js';
import {
	as, type Address, type AttemptId, type CustomerId, type DataCentreId, type IdempotencyKey, type Incarnation,
	type InstanceId, type Milliseconds, type ProgramId, type ShardNumber,
} from '../src/contracts/id.js';
import {createPeers, servePeers} from '../src/links/peer.js';
import {type Instance} from '../src/machines/instance.js';
import {type Member} from '../src/zones/membership.js';
import {type StreamRequest} from '../src/zones/peers.js';
import {createStubInstance} from './fixtures/stub-instance.js';

const closing = new AbortController();
const token = 'token-of-sixteen-or-more';
const peers = createPeers({token, signal: closing.signal});
const request: StreamRequest = {
	kind: 'follow',
	target: {program: as<ProgramId>('padova.1.0123456789abcdef'), customer: as<CustomerId>('brenta'), key: as<IdempotencyKey>('key')},
	position: answerStart,
};

after(() => {
	closing.abort();
});

function tokenEvent(index: number): CallEvent {
	return {
		kind: 'token', stream: as<AttemptId>('s'), index, text: ` ${index}`,
	};
}

async function serve(methods: Partial<Instance>, serverToken = token): Promise<{readonly server: Server; readonly member: Member}> {
	const server = await servePeers({
		instance: createStubInstance(methods), host: '127.0.0.1', port: 0, token: serverToken,
	});
	const address = server.address();
	assert.ok(typeof address === 'object' && address);
	return {
		server,
		member: {
			id: as<InstanceId>('peer'),
			dataCentre: as<DataCentreId>('padova'),
			address: as<Address>(`127.0.0.1:${address.port}`),
			incarnation: as<Incarnation>(1),
			status: 'alive',
		},
	};
}

function stop(server: Server): void {
	server.close();
	server.closeAllConnections();
}

async function collect(member: Member, signal = new AbortController().signal): Promise<CallEvent[]> {
	const events: CallEvent[] = [];
	for await (const event of peers.stream(member, request, signal)) {
		events.push(event);
	}

	return events;
}

test('the events of a call arrive completely and in order', async () => {
	const sent: CallEvent[] = [...Array.from({length: 300}, (_, index) => tokenEvent(index)), {kind: 'settled', outcome: {kind: 'completed', answer: {kind: 'response', status: 200, body: 'x'}}}];
	const {server, member} = await serve({
		async * answerStream(received) {
			assert.deepEqual(received, request);
			yield * sent;
		},
	});
	assert.deepEqual(await collect(member), sent);
	stop(server);
});

test('tokens arrive while the call is still in progress', async () => {
	const firstTokenSeen = createDeferred<void>();
	const {server, member} = await serve({
		async * answerStream() {
			yield tokenEvent(0);
			await firstTokenSeen.promise;
			yield tokenEvent(1);
			yield {kind: 'settled', outcome: {kind: 'completed', answer: {kind: 'response', status: 200, body: ''}}};
		},
	});
	const kinds: string[] = [];
	for await (const event of peers.stream(member, request, new AbortController().signal)) {
		kinds.push(event.kind);
		firstTokenSeen.resolve();
	}

	assert.deepEqual(kinds, ['token', 'token', 'settled']);
	stop(server);
});

test('a connection that breaks mid-stream ends with a refusal whose execution is unknown', async () => {
	const {server, member} = await serve({
		async * answerStream() {
			yield tokenEvent(0);
			setImmediate(() => {
				stop(server);
			});
			await createDeferred<void>().promise;
		},
	});
	const events = await collect(member);
	const last = events.at(-1);
	assert.ok(last?.kind === 'refused');
	assert.deepEqual([last.failure.code, last.failure.execution, last.failure.peer], ['peer-unreachable', 'unknown', 'peer']);
});

test('a call to an unreachable peer is reported as not run', async () => {
	const {server, member} = await serve({});
	stop(server);
	const [event] = await collect(member);
	assert.ok(event?.kind === 'refused');
	assert.deepEqual([event.failure.code, event.failure.execution], ['peer-unreachable', 'not-run']);
});

test('a reader that disconnects aborts the call at the peer', async () => {
	const ended = createDeferred<string>();
	const {server, member} = await serve({
		async * answerStream(_request, signal) {
			signal.addEventListener('abort', () => {
				ended.resolve('aborted');
			}, {once: true});
			yield tokenEvent(0);
			await ended.promise;
		},
	});
	const controller = new AbortController();
	for await (const event of peers.stream(member, request, controller.signal)) {
		assert.equal(event.kind, 'token');
		controller.abort();
	}

	assert.equal(await ended.promise, 'aborted');
	stop(server);
});

test('a peer with another token is refused and receives no data', async () => {
	const {server, member} = await serve({}, 'another-token-of-sixteen');
	const [event] = await collect(member);
	assert.equal(event?.kind === 'refused' && event.failure.code, 'peer-unreachable');
	const members = await peers.members(member);
	assert.match(members._unsafeUnwrapErr().message, /token is wrong/v);
	stop(server);
});

test('requests about shards and programs are answered, and failures name the peer', async () => {
	const home = {dataCentre: as<DataCentreId>('padova'), shard: as<ShardNumber>(3)};
	const {server, member} = await serve({
		async answerShard(received) {
			return received.kind === 'living' ? {kind: 'living', programs: received.programs.slice(0, 1)} : {kind: 'done'};
		},
	});
	const programs = [as<ProgramId>('padova.3.aaaaaaaa'), as<ProgramId>('padova.3.bbbbbbbb')];
	assert.deepEqual(await peers.shard(member, {kind: 'living', home, programs}, as<Milliseconds>(1000)), {kind: 'living', programs: programs.slice(0, 1)});
	stop(server);
	const failed = await peers.program(member, {kind: 'view', program: request.kind === 'follow' ? request.target.program : as<ProgramId>(''), customer: as<CustomerId>('brenta')});
	assert.equal(failed.kind === 'failed' && failed.failure.peer, 'peer');
});
