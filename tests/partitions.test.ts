/**
Guarantees during network partitions between data centres, and between data centres and the platform.
*/
import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, test,
} from 'node:test';
import {
	outcomeKind, createSimulatedCluster, finish, openProgram, modelCall, reservation, within, type SimulatedCluster,
} from './fixtures/simulated-cluster.js';

describe('two data centres', () => {
	let cluster: SimulatedCluster;
	beforeEach(async () => {
		cluster = await createSimulatedCluster({dataCentres: ['padova', 'verona']});
	});
	afterEach(async () => {
		await cluster.stop();
	});

	function partitionDataCentres(): void {
		cluster.partitions.add('padova|verona');
	}

	test('partitioned from each other, each continues to serve its own programs', async () => {
		const padova = await within(cluster, openProgram(cluster.node(0)), 2000);
		const verona = await within(cluster, openProgram(cluster.node(2)), 2000);
		partitionDataCentres();
		await cluster.clock.advance(10_000);
		const events = await within(cluster, Promise.all([finish(cluster.node(1), modelCall(padova, 'here')), finish(cluster.node(3), modelCall(verona, 'there'))]), 10_000);
		assert.deepEqual(events.map(event => outcomeKind(event)), ['completed', 'completed']);
	});

	test('a call for an unreachable home is not run, and runs after the partition heals', async () => {
		const program = await within(cluster, openProgram(cluster.node(0)), 2000);
		partitionDataCentres();
		await cluster.clock.advance(10_000);
		const refused = await within(cluster, finish(cluster.node(2), reservation(program, 'far')), 30_000);
		assert.ok(refused?.kind === 'refused');
		assert.equal(refused.failure.execution, 'not-run');
		assert.equal(refused.failure.peer, 'padova');
		assert.equal(cluster.backEnds.executions.length, 0);
		cluster.partitions.clear();
		await cluster.clock.advance(10_000);
		const event = await within(cluster, finish(cluster.node(2), reservation(program, 'far')), 10_000);
		assert.equal(outcomeKind(event), 'completed');
		assert.equal(cluster.backEnds.executions.length, 1);
	});

	test('shards keep their owners during a partition of data centres and after it heals', async () => {
		const eventCounts = cluster.nodes.map(node => node.events.length);
		// Short partitions heal while death reports are still spreading by gossip, long ones afterwards.
		for (const duration of [5000, 6000, 7000, 15_000]) {
			partitionDataCentres();
			await cluster.clock.advance(duration);
			cluster.partitions.clear();
			await cluster.clock.advance(15_000);
		}

		const changes = cluster.nodes.flatMap((node, index) => node.events.slice(eventCounts[index]).filter(event => event.kind === 'shard'));
		assert.deepEqual(changes, []);
	});

	test('a partition during a reservation leaves one execution, whichever instance gets the retry', async () => {
		const program = await within(cluster, openProgram(cluster.node(0)), 2000);
		cluster.backEnds.duration = 2000;
		const answered = finish(cluster.node(2), reservation(program, 'middle'));
		await cluster.clock.advance(500);
		partitionDataCentres();
		const first = await within(cluster, answered, 60_000);
		assert.ok(['not-run', 'unknown', 'none'].includes(outcomeKind(first)) || outcomeKind(first) === 'completed');
		cluster.partitions.clear();
		await cluster.clock.advance(10_000);
		const again = await within(cluster, finish(cluster.node(3), reservation(program, 'middle')), 20_000);
		assert.equal(outcomeKind(again), 'completed');
		assert.equal(cluster.backEnds.executions.filter(execution => execution.key === 'middle').length, 1);
	});

	test('a request whose response is lost in a partition is never reported as not run', async () => {
		const program = await within(cluster, openProgram(cluster.node(0)), 2000);
		cluster.backEnds.duration = 2000;
		const answered = finish(cluster.node(2), reservation(program, 'honest'));
		await cluster.clock.advance(500);
		assert.equal(cluster.backEnds.executions.length, 1);
		partitionDataCentres();
		assert.notEqual(outcomeKind(await within(cluster, answered, 60_000)), 'not-run');
	});

	test('a data centre partitioned from the platform refuses reservations and serves model calls', async () => {
		const program = await within(cluster, openProgram(cluster.node(0)), 2000);
		cluster.partitions.add('padova|platform');
		const [model, service] = await within(cluster, Promise.all([
			finish(cluster.node(0), modelCall(program, 'repeatable')),
			finish(cluster.node(1), reservation(program, 'single')),
		]), 20_000);
		assert.deepEqual([outcomeKind(model), outcomeKind(service)], ['completed', 'not-run']);
	});

	test('a configuration accepted on one side of a partition takes effect on the other after it heals, and none reverts', async () => {
		partitionDataCentres();
		cluster.partitions.add('verona|platform');
		await cluster.clock.advance(5000);
		const {routes, pools} = structuredClone({routes: cluster.platform.objects.get('configuration/routes')?.value, pools: cluster.platform.objects.get('configuration/pools')?.value});
		assert.ok(routes && pools);
		cluster.platform.put('configuration/routes', routes);
		await cluster.clock.advance(7000);
		const generations = () => cluster.nodes.map(node => node.instance.configuration().generation);
		assert.deepEqual(generations(), [2, 2, 1, 1]);
		cluster.partitions.clear();
		await cluster.clock.advance(7000);
		assert.deepEqual(generations(), [2, 2, 2, 2]);
	});
});
