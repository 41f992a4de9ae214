/**
Tunnels through a gateway: what it lets through and to whom, and that the end of either side reaches the other.
*/
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect, createServer} from 'node:net';
import {test} from 'node:test';
import {z} from 'zod';
import {type TunnelPolicy} from '../src/contracts/endpoint-path.js';
import {
	as, type Address, type Milliseconds, splitAddress,
} from '../src/contracts/id.js';
import {type ExchangeResult, createConnections} from '../src/links/connections.js';
import {systemClock} from '../src/programs/runtime.js';
import {withTimeout} from '../src/zones/with-timeout.js';
import {startGateway, type TestGateway} from './fixtures/gateway.js';
import {startRawEndpoint} from './fixtures/raw-front-end.js';

/** Time within which a refused client is disconnected, with room to spare. */
const patienceMs = 5000;

const answer = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole';
const addressOf = (port: number) => as<Address>(`127.0.0.1:${port}`);

async function exchange(target: Address, {path}: Pick<TestGateway, 'path'>, signal = new AbortController().signal): Promise<ExchangeResult & {readonly body: string}> {
	let body = '';
	const closing = new AbortController();
	const result = await createConnections(closing.signal).exchange(target, {
		method: 'GET',
		path: '/',
		headers: ['host', 'endpoint'],
		body: new Uint8Array(),
		maximumIdle: as<Milliseconds>(0),
		onHead: () => true,
		onData(chunk) {
			body += new TextDecoder().decode(chunk);
			return true;
		},
		signal,
	}, path);
	closing.abort();
	return {...result, body};
}

/** Returns a port to which nothing listens. */
async function findClosedPort(): Promise<number> {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const bound = server.address() ?? undefined;
	server.close();
	await once(server, 'close');
	return typeof bound === 'object' ? bound.port : 0;
}

test('a response arrives whole through a tunnel, and the tunnel is closed after it', async () => {
	const gateway = await startGateway();
	const endpoint = await startRawEndpoint((_request, socket) => {
		socket.write(answer);
	});
	assert.deepEqual(await exchange(addressOf(endpoint.port), gateway), {kind: 'complete', body: 'whole'});
	for (let tries = 0; tries < 100 && gateway.tunnels.count() > 0; tries++) {
		await new Promise(resolve => {
			setTimeout(resolve, 10);
		});
	}

	assert.equal(gateway.tunnels.count(), 0);
});

test('a request that is given up closes the connection of its gateway to the endpoint', async () => {
	const gateway = await startGateway();
	const givenUp = new AbortController();
	let closed: Promise<unknown> = Promise.resolve();
	const endpoint = await startRawEndpoint((_request, socket) => {
		closed = once(socket, 'close');
		givenUp.abort();
	});
	const result = await exchange(addressOf(endpoint.port), gateway, givenUp.signal);
	assert.equal(result.kind, 'broken');
	await closed;
});

type Refusal = {readonly name: string; readonly policy: Partial<TunnelPolicy>; readonly isGatewayBlamed: boolean; readonly isEndpointUp: boolean};

const refusals: readonly Refusal[] = [
	{
		name: 'for a host that is no instance', policy: {isPeer: host => host === '10.0.0.1'}, isGatewayBlamed: true, isEndpointUp: true,
	},
	{
		name: 'to an address that is no endpoint', policy: {isEndpoint: () => false}, isGatewayBlamed: true, isEndpointUp: true,
	},
	{
		name: 'while the gateway reaches no endpoint itself', policy: {isCutOff: async () => true}, isGatewayBlamed: true, isEndpointUp: false,
	},
	{
		name: 'to an endpoint that refuses connections', policy: {}, isGatewayBlamed: false, isEndpointUp: false,
	},
];

for (const {
	name, policy, isGatewayBlamed, isEndpointUp,
} of refusals) {
	test(`no tunnel is opened ${name}, and nothing is sent`, async () => {
		const endpoint = await startRawEndpoint((_request, socket) => {
			socket.write(answer);
		});
		const result = await exchange(addressOf(isEndpointUp ? endpoint.port : await findClosedPort()), await startGateway(policy));
		assert.ok(result.kind === 'not-sent');
		assert.equal(result.isGatewayBlamed, isGatewayBlamed);
		assert.equal(endpoint.requests.length, 0);
	});
}

test('a client that is refused a tunnel is disconnected, though it stays', async () => {
	const {path} = await startGateway({isPeer: () => false});
	assert.ok(path.kind === 'tunnel');
	const {host, port} = splitAddress(path.gateway);
	const socket = connect({host, port, allowHalfOpen: true});
	socket.write('CONNECT 10.0.0.1:80 HTTP/1.1\r\nHost: 10.0.0.1\r\n\r\n');
	const [response] = z.tuple([z.instanceof(Uint8Array)]).parse(await once(socket, 'data'));
	assert.match(new TextDecoder().decode(response), /^HTTP\/1\.1 403 /v);
	// Only a server that has closed its side resets a client that goes on.
	socket.on('error', () => undefined);
	const sending = setInterval(() => {
		socket.write('more');
	}, 100);
	const closed = new Promise<true>(resolve => {
		socket.once('close', () => {
			resolve(true);
		});
	});
	const isClosed = await withTimeout(systemClock, patienceMs, closed);
	clearInterval(sending);
	socket.destroy();
	assert.equal(isClosed, true);
});

test('a gateway that cannot be reached is blamed, and nothing is sent', async () => {
	const endpoint = await startRawEndpoint((_request, socket) => {
		socket.write(answer);
	});
	const result = await exchange(addressOf(endpoint.port), {path: {kind: 'tunnel', gateway: addressOf(await findClosedPort())}});
	assert.ok(result.kind === 'not-sent' && result.isGatewayBlamed === true);
	assert.equal(endpoint.requests.length, 0);
});
