/**
The snapshot server for peers, to which anyone can connect who reaches its port.
*/
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {
	as, type Address, type ChangeNumber, type ConfigurationGeneration, type ObjectVersion, splitAddress,
} from '../src/contracts/id.js';
import {createSnapshotClient, serveSnapshots, type SnapshotSource} from '../src/links/snapshots.js';
import {peerLimits} from '../src/machines/client-limits.js';
import {type ClientProblem} from '../src/machines/client-problem.js';
import {configurationWith, routeWith} from './fixtures/relay-harness.js';

/** Starts a server of a source's snapshots, which closes with the test. */
async function serveSource(context: TestContext, source: SnapshotSource) {
	const problems: ClientProblem[] = [];
	const {server} = await serveSnapshots({
		host: '127.0.0.1',
		port: 0,
		limits: peerLimits({memory: undefined, descriptors: 256}),
		tunnels: {open: () => assert.fail('no tunnel was expected')},
		source,
		onProblem(problem) {
			problems.push(problem);
		},
	});
	const closing = new AbortController();
	context.after(() => {
		closing.abort();
		server.close();
		server.closeAllConnections();
	});
	const bound = server.address() ?? undefined;
	return {
		server, address: as<Address>(`127.0.0.1:${typeof bound === 'object' ? bound.port : 0}`), signal: closing.signal, problems,
	};
}

/** Size at which 23 peers get a configuration within a second over a link of 15 Mbit/s. */
const maximumTransferBytes = 80_000;

test('a configuration of many routes is small on the way, and is sent only to peers that lack it', async context => {
	const configuration = configurationWith(Array.from({length: 1400}, (_, index) => routeWith({host: `host-${index}.example`})), 7);
	const {
		server, address, signal, problems,
	} = await serveSource(context, {
		greeting: () => assert.fail('not asked for'),
		tables: ({generation, withEntries}) => ({
			configuration: generation < configuration.generation ? configuration : undefined,
			entries: withEntries ? [] : undefined,
			listedAt: as<ObjectVersion>(1),
			digest: {
				generation: configuration.generation, endpointRevision: as<ObjectVersion>(1), change: as<ChangeNumber>(1), isStoreReachable: true, isWarm: true, reachesEndpoints: true,
			},
		}),
		homes: () => [],
	});
	const sockets: Socket[] = [];
	server.on('connection', socket => {
		sockets.push(socket);
	});
	const client = createSnapshotClient(signal);
	const [lacking, having] = await Promise.all([6, 7].map(async generation => client.tables(address, {generation: as<ConfigurationGeneration>(generation), withEntries: false})));
	assert.deepEqual(lacking?._unsafeUnwrap().configuration, configuration);
	assert.equal(having?._unsafeUnwrap().configuration, undefined);
	const sent = sockets.reduce((sum, socket) => sum + socket.bytesWritten, 0);
	assert.ok(sent > 0 && sent < maximumTransferBytes, `${sent} bytes`);
	assert.deepEqual(problems, []);
});

test('peers get snapshots, while bodies and batches are refused', async context => {
	let asked = 0;
	const {address, signal, problems} = await serveSource(context, {
		greeting: () => assert.fail('not asked for'),
		tables: () => assert.fail('not asked for'),
		homes() {
			asked++;
			return [];
		},
	});
	const homes = await createSnapshotClient(signal).homes(address);
	assert.deepEqual([homes._unsafeUnwrap(), asked], [[], 1]);

	const {port} = splitAddress(address);
	const statusOf = async (request: string) => {
		const socket = connect(port, '127.0.0.1');
		socket.write(request);
		let text = '';
		socket.on('data', bytes => {
			text += bytes.toString();
		});
		await once(socket, 'data');
		socket.destroy();
		return Number(/^HTTP\/1\.1 (\d+)/v.exec(text)?.[1]);
	};

	// Guards against one small request that makes a snapshot many times over.
	assert.equal(await statusOf('GET /homes,homes,homes?batch=1 HTTP/1.1\r\nHost: peer\r\n\r\n'), 400);
	assert.equal(await statusOf('POST /homes HTTP/1.1\r\nHost: peer\r\nContent-Length: 100000\r\n\r\n'), 413);
	assert.deepEqual([asked, problems.map(problem => problem.kind)], [1, ['too-large']]);
});
