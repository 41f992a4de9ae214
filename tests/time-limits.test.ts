/**
Time limits of requests to servers that accept connections and never respond. Node.js 20 may collect a signal of
`AbortSignal.timeout` that is only a source of another signal, and its time limit with it.
*/
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type Socket} from 'node:net';
import {after, before, test} from 'node:test';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {createStore} from '../platform/store.js';
import {
	as, type Address, type ConfigurationGeneration, type DataCentreId, type Incarnation, type InstanceId, type Milliseconds, type ObjectVersion,
} from '../src/contracts/id.js';
import {createPeers} from '../src/links/peer.js';
import {createPlatform} from '../src/links/platform.js';
import {createSnapshotClient} from '../src/links/snapshots.js';
import {systemClock} from '../src/programs/runtime.js';
import {withTimeout} from '../src/zones/with-timeout.js';
import {knownRed} from './fixtures/known-red.js';

/** Time after which a request has surely missed its limit, which is at most 1.5 s. */
const patienceMs = 6000;

const collectionIntervalMs = 20;
const shortMs = as<Milliseconds>(300);

const closing = new AbortController();
const sockets = new Set<Socket>();
const server = createServer(socket => {
	sockets.add(socket);
});
let address: Address;

before(async () => {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const bound = server.address() ?? undefined;
	address = as<Address>(`127.0.0.1:${typeof bound === 'object' ? bound.port : 0}`);
});

after(() => {
	closing.abort();
	server.close();
	for (const socket of sockets) {
		socket.destroy();
	}
});

const collectGarbage = (() => {
	setFlagsFromString('--expose-gc');
	return () => {
		runInNewContext('gc()');
	};
})();

type Case = {readonly name: string; readonly send: (signal: AbortSignal) => Promise<unknown>};

const cases: readonly Case[] = [
	{name: 'a greeting of a peer', send: async signal => createSnapshotClient(signal).greet(address)},
	{name: 'the tables of a peer', send: async signal => createSnapshotClient(signal).tables(address, {generation: as<ConfigurationGeneration>(0), withEntries: true})},
	{name: 'the homes of a peer', send: async signal => createSnapshotClient(signal).homes(address)},
	{name: 'a probe of the store', send: async signal => createStore({address, signal}).probe(shortMs, signal)},
	{name: 'a list of the store', send: async signal => createStore({address, signal}).list('endpoints')},
	{name: 'a watch of the store', send: async signal => createStore({address, signal}).watch('endpoints', as<ObjectVersion>(1), shortMs, signal)},
	{name: 'a watch of the platform', send: async signal => createPlatform({address, signal, timeout: shortMs}).watch('configuration/', 0, shortMs, signal)},
	{
		name: 'the members of a peer of the product\'s own interface',
		send: async signal => createPeers({token: 'token', signal}).members({
			id: as<InstanceId>('peer'), dataCentre: as<DataCentreId>('padova'), address, incarnation: as<Incarnation>(1), status: 'alive',
		}),
	},
];

for (const {name, send} of cases) {
	const title = `a request for ${name} ends at its time limit, though garbage is collected meanwhile`;
	test(title, knownRed(title), async () => {
		const collecting = setInterval(collectGarbage, collectionIntervalMs);
		const ended = await withTimeout(systemClock, patienceMs, send(closing.signal).then(() => 'ended'));
		clearInterval(collecting);
		assert.equal(ended, 'ended');
	});
}
