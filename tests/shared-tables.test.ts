/**
Shared configuration and list of endpoints on instances that reach the store, while others lose it or crash.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {knownRed} from './fixtures/known-red.js';
import {createTablesCluster, type TablesCluster} from './fixtures/tables-cluster.js';

const ids = ['a1', 'a2', 'a3', 'a4', 'b1', 'b2', 'b3', 'b4', 'c1', 'c2', 'c3', 'c4'];

/** Time within which a change has to take effect, in ms. */
const propagationBoundMs = 2000;

/** Returns the instances with the most store calls: those that watch the store on behalf of the others. */
function watchersOf(cluster: TablesCluster): readonly string[] {
	const calls = cluster.nodes.map(node => ({id: node.id, calls: node.storeCalls()}));
	const fewest = Math.min(...calls.map(entry => entry.calls));
	return calls.filter(entry => entry.calls > fewest).map(entry => entry.id);
}

type Loss = {
	readonly name: string;
	readonly inject: (cluster: TablesCluster, id: string) => void;
};

const losses: readonly Loss[] = [
	{
		name: 'get no response from it',
		inject(cluster, id) {
			cluster.storeAccess.set(id, 'silent');
		},
	},
	{
		name: 'are refused by it',
		inject(cluster, id) {
			cluster.storeAccess.set(id, 'refusing');
		},
	},
	{
		name: 'crash',
		inject(cluster, id) {
			cluster.kill(id);
		},
	},
	{
		name: 'are partitioned from it and from their peers',
		inject(cluster, id) {
			cluster.storeAccess.set(id, 'silent');
			cluster.isolated.add(id);
		},
	},
];

for (const loss of losses) {
	test(`a change takes effect everywhere else in time when the instances that watch the store ${loss.name}`, async () => {
		const cluster = await createTablesCluster(ids, 1);
		const watchers = watchersOf(cluster);
		assert.ok(watchers.length > 0 && watchers.length < ids.length);
		for (const id of watchers) {
			loss.inject(cluster, id);
		}

		await cluster.clock.advance(100);
		cluster.configure(2);
		cluster.putEndpoint('endpoint-1', {isLeaving: true});
		cluster.removeEndpoint('endpoint-2');
		await cluster.clock.advance(propagationBoundMs);
		for (const node of cluster.nodes.filter(({id}) => !watchers.includes(id))) {
			assert.equal(node.generation(), 2, `generation at ${node.id}`);
			assert.deepEqual(node.usableEndpoints(), ['endpoint-3'], `endpoints at ${node.id}`);
		}

		cluster.stop();
	});
}

/** Times between the loss of the store at one instance and the removal of the endpoint, in ms. */
const delays = [200, 1000, 2500, 4200, 6000];

test('a removed endpoint gets no new work while one instance cannot reach the store', async () => {
	for (const delay of delays) {
		const cluster = await createTablesCluster(ids, 2);
		const [watcher] = watchersOf(cluster);
		assert.ok(watcher !== undefined);
		cluster.storeAccess.set(watcher, 'refusing');
		await cluster.clock.advance(delay);
		cluster.removeEndpoint('endpoint-1');
		await cluster.clock.advance(propagationBoundMs);
		for (const node of cluster.nodes.filter(({id}) => id !== watcher)) {
			assert.deepEqual(node.usableEndpoints(), ['endpoint-2', 'endpoint-3'], `endpoints at ${node.id}, ${delay} ms after the loss`);
		}

		cluster.stop();
	}
});

const endlessFetches = 'an instance that the store turns away learns a configuration while fetches from the watcher do not end';

test(endlessFetches, knownRed(endlessFetches), async () => {
	for (const seed of [1, 2, 3]) {
		const cluster = await createTablesCluster(ids, seed);
		const [watcher] = watchersOf(cluster);
		const outsider = cluster.nodes.find(({id}) => id !== watcher && id.startsWith(watcher?.slice(0, 1) ?? ''));
		assert.ok(watcher !== undefined && outsider);
		cluster.storeAccess.set(outsider.id, 'refusing');
		cluster.withheldTables.add(watcher);
		for (const generation of [2, 3]) {
			cluster.configure(generation);
			await cluster.clock.advance(propagationBoundMs);
			assert.equal(outsider.generation(), generation, `seed ${seed}`);
		}

		cluster.stop();
	}
});

test('the last instance of a data centre learns a configuration in time while the store turns it away', async () => {
	for (let seed = 1; seed <= 20; seed++) {
		const cluster = await createTablesCluster(ids, seed);
		for (const id of ['b1', 'b2', 'b3']) {
			cluster.kill(id);
		}

		cluster.storeAccess.set('b4', 'refusing');
		await cluster.clock.advance(3000 + (seed * 37));
		cluster.configure(2);
		await cluster.clock.advance(propagationBoundMs);
		assert.equal(cluster.node('b4').generation(), 2, `seed ${seed}`);
		cluster.stop();
	}
});

test('an instance that missed a change of the list catches up on it with the next change', async () => {
	const cluster = await createTablesCluster(ids, 3);
	const watchers = watchersOf(cluster);
	const outdated = cluster.nodes.find(({id}) => !watchers.includes(id));
	assert.ok(outdated);
	cluster.isolated.add(outdated.id);
	cluster.putEndpoint('endpoint-1', {isLeaving: true});
	await cluster.clock.advance(900);
	cluster.isolated.delete(outdated.id);
	cluster.putEndpoint('endpoint-4');
	await cluster.clock.advance(propagationBoundMs);
	assert.deepEqual(outdated.usableEndpoints(), ['endpoint-2', 'endpoint-3', 'endpoint-4']);
	cluster.stop();
});

test('entries that expire while no instance reaches the store are kept until live endpoints are listed again', async () => {
	const cluster = await createTablesCluster(ids, 4);
	for (const id of ids) {
		cluster.storeAccess.set(id, 'silent');
	}

	await cluster.clock.advance(4500);
	cluster.removeEndpoint('endpoint-1');
	cluster.removeEndpoint('endpoint-2');
	cluster.storeAccess.clear();
	await cluster.clock.advance(1500);
	for (const node of cluster.nodes) {
		assert.deepEqual(node.usableEndpoints(), ['endpoint-1', 'endpoint-2', 'endpoint-3'], `endpoints at ${node.id} after the outage`);
	}

	cluster.putEndpoint('endpoint-1');
	await cluster.clock.advance(2500);
	for (const node of cluster.nodes) {
		assert.deepEqual(node.usableEndpoints(), ['endpoint-1', 'endpoint-3'], `endpoints at ${node.id} later`);
	}

	cluster.stop();
});

test('an endpoint restarted with the same id is in use even if its removal arrives in the same read', async () => {
	const cluster = await createTablesCluster(ids, 6);
	cluster.store.put('other', 'object', 1);
	cluster.putEndpoint('endpoint-4');
	cluster.removeEndpoint('endpoint-1');
	cluster.putEndpoint('endpoint-1');
	cluster.store.put('other', 'object', 2);
	await cluster.clock.advance(propagationBoundMs);
	for (const node of cluster.nodes) {
		assert.deepEqual(node.usableEndpoints(), ['endpoint-1', 'endpoint-2', 'endpoint-3', 'endpoint-4'], `endpoints at ${node.id}`);
	}

	cluster.stop();
});

test('a watcher whose probes succeed but whose lists time out does not report its tables as fresh', async () => {
	const cluster = await createTablesCluster(ids, 7);
	const watchers = watchersOf(cluster);
	for (const id of watchers) {
		cluster.storeAccess.set(id, 'silent');
	}

	await cluster.clock.advance(600);
	for (const id of watchers) {
		cluster.storeAccess.set(id, 'probes-only');
	}

	await cluster.clock.advance(100);
	cluster.configure(2);
	await cluster.clock.advance(propagationBoundMs);
	for (const node of cluster.nodes.filter(({id}) => !watchers.includes(id))) {
		assert.equal(node.generation(), 2, `generation at ${node.id}`);
	}

	cluster.stop();
});

const silentWatches = 'a change takes effect in time when the watches of the watchers get no response';

test(silentWatches, knownRed(silentWatches), async () => {
	for (let delay = 0; delay < 2000; delay += 250) {
		const cluster = await createTablesCluster(ids, 8);
		for (const id of watchersOf(cluster)) {
			cluster.storeAccess.set(id, 'no-watches');
		}

		await cluster.clock.advance(delay);
		cluster.configure(2);
		cluster.putEndpoint('endpoint-1', {isLeaving: true});
		await cluster.clock.advance(propagationBoundMs);
		for (const node of cluster.nodes) {
			assert.equal(node.generation(), 2, `generation at ${node.id}, ${delay} ms after the last response`);
			assert.deepEqual(node.usableEndpoints(), ['endpoint-2', 'endpoint-3'], `endpoints at ${node.id}, ${delay} ms after the last response`);
		}

		cluster.stop();
	}
});

const unresponsivePeers = 'an instance that the store turns away learns a configuration while most of its peers stand still';

test(unresponsivePeers, knownRed(unresponsivePeers), async () => {
	for (let seed = 1; seed <= 20; seed++) {
		const cluster = await createTablesCluster(ids, seed);
		for (const id of ids.filter(other => !['a3', 'b3'].includes(other))) {
			cluster.pause(id);
		}

		cluster.storeAccess.set('a3', 'refusing');
		for (const generation of [2, 3, 4]) {
			await cluster.clock.advance(1500 + (seed * 37));
			cluster.configure(generation);
			await cluster.clock.advance(propagationBoundMs);
			assert.equal(cluster.node('a3').generation(), generation, `seed ${seed}`);
		}

		cluster.stop();
	}
});
