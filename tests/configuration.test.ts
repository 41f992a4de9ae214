/**
Configuration: joint validation of the two tables, concurrent changes by operators, and generations that never revert.
*/
import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, test,
} from 'node:test';
import fc from 'fast-check';
import {
	acceptTables, checkTables, type Configuration, emptyConfiguration, newerConfiguration,
} from '../src/contracts/configuration.js';
import {
	as, type Address, type ConfigurationGeneration, type DataCentreId, type EndpointId, type ObjectVersion,
} from '../src/contracts/id.js';
import {parsePools, parseRoutes} from '../src/contracts/tables.js';
import {createSimulatedCluster, tables, type SimulatedCluster} from './fixtures/simulated-cluster.js';

const route = {
	kind: 'model', name: 'quotes', pool: 'engines', timeoutMs: 1000, maximumTokens: 10,
};
const pool = {
	name: 'engines', kind: 'engine', concurrency: 4, endpoints: [{id: 'engine-0', dataCentre: 'padova', address: '127.0.0.1:9000'}],
};

const refusals: ReadonlyArray<readonly [string, unknown, unknown, RegExp]> = [
	['a route to a pool that does not exist', {routes: [{...route, pool: 'none'}]}, {pools: [pool]}, /"quotes" names pool "none", which does not exist/v],
	['a model route to a pool of services', {routes: [route]}, {pools: [{...pool, kind: 'service'}]}, /"quotes" is a model route/v],
	['a route that is defined twice', {routes: [route, route]}, {pools: [pool]}, /Route "quotes" is defined twice/v],
	['a pool that is defined twice', {routes: []}, {pools: [pool, pool]}, /Pool "engines" is defined twice/v],
	['an endpoint in two pools', {routes: []}, {pools: [pool, {...pool, name: 'others'}]}, /Endpoint "engine-0" is listed twice/v],
	['an address with a host name', {routes: []}, {pools: [{...pool, endpoints: [{id: 'e', dataCentre: 'padova', address: 'engine:80'}]}]}, /must be an IPv4 address and port/v],
	['an unknown key', {routes: [{...route, retries: 3}]}, {pools: [pool]}, /retries/v],
	['a timeout below one', {routes: [{...route, timeoutMs: 0}]}, {pools: [pool]}, /routes\.0\.timeoutMs/v],
];

for (const [name, routes, pools, reason] of refusals) {
	test(`refused with a reason: ${name}`, () => {
		const checked = parseRoutes(routes).andThen(parsed => parsePools(pools).andThen(others => checkTables(parsed, others)));
		assert.match(checked._unsafeUnwrapErr().message, reason);
		assert.equal(checked._unsafeUnwrapErr().code, 'configuration-refused');
	});
}

test('whatever order generations arrive in, an instance ends with the highest and never reverts', () => {
	fc.assert(fc.property(fc.array(fc.nat({max: 20}), {minLength: 1}), generations => {
		let current = emptyConfiguration;
		for (const number of generations) {
			const candidate: Configuration = {...emptyConfiguration, generation: as<ConfigurationGeneration>(number)};
			const next = newerConfiguration(current, candidate);
			assert.ok(next.generation >= current.generation);
			current = next;
		}

		assert.equal(current.generation, Math.max(...generations));
	}), {seed: 7});
});

test('tables older than the accepted ones are not accepted again', () => {
	const sources = (routes: number, pools: number) => ({routes: as<ObjectVersion>(routes), pools: as<ObjectVersion>(pools)});
	const accepted: Configuration = {...emptyConfiguration, generation: as<ConfigurationGeneration>(4), sources: sources(5, 6)};
	assert.equal(acceptTables(accepted, {routes: [], pools: [], sources: sources(4, 6)}).kind, 'unchanged');
	assert.equal(acceptTables(accepted, {routes: [], pools: [], sources: sources(5, 6)}).kind, 'unchanged');
	const next = acceptTables(accepted, {routes: [], pools: [], sources: sources(6, 6)});
	assert.equal(next.kind === 'accept' && next.configuration.generation, 5);
});

describe('instances of two data centres', () => {
	let cluster: SimulatedCluster;
	beforeEach(async () => {
		cluster = await createSimulatedCluster({dataCentres: ['padova', 'verona']});
	});
	afterEach(async () => {
		await cluster.stop();
	});

	const generations = () => cluster.nodes.map(node => node.instance.configuration().generation);

	test('an accepted change takes effect on every instance within seven seconds', async () => {
		cluster.platform.put('configuration/routes', tables(['padova', 'verona']).routes);
		await cluster.clock.advance(7000);
		assert.deepEqual(generations(), [2, 2, 2, 2]);
	});

	test('an inconsistent pair of tables is refused in the status with its reason, and the accepted one stays', async () => {
		cluster.platform.put('configuration/routes', {routes: [{...route, pool: 'missing'}]});
		await cluster.clock.advance(7000);
		assert.deepEqual(generations(), [1, 1, 1, 1]);
		assert.match(JSON.stringify(cluster.platform.objects.get('status/configuration')?.value), /\\"quotes\\" names pool \\"missing\\"/v);
	});

	test('two tables changed one after the other, inconsistent in between, result in one valid generation', async () => {
		const {pools} = tables(['padova', 'verona']);
		cluster.platform.put('configuration/routes', {routes: [{...route, pool: 'renamed'}]});
		await cluster.clock.advance(1000);
		cluster.platform.put('configuration/pools', {pools: pools.pools.map(entry => entry.name === 'engines' ? {...entry, name: 'renamed'} : entry)});
		await cluster.clock.advance(7000);
		assert.deepEqual(generations(), [2, 2, 2, 2]);
		assert.equal(cluster.node(0).instance.configuration().routes[0]?.pool, 'renamed');
	});

	test('an instance that starts during an outage takes the configuration from its peers', async () => {
		cluster.platform.put('configuration/routes', tables(['padova', 'verona']).routes);
		await cluster.clock.advance(7000);
		const added = cluster.start('padova-new', 'padova');
		await cluster.clock.advance(500);
		cluster.platform.isDown = true;
		await cluster.clock.advance(7000);
		assert.equal(added.instance.configuration().generation, 2);
	});

	test('a lost response to the accepting write neither skips nor duplicates a generation', async () => {
		cluster.platform.lostResponses = 1;
		cluster.platform.put('configuration/routes', tables(['padova', 'verona']).routes);
		await cluster.clock.advance(7000);
		assert.deepEqual(generations(), [2, 2, 2, 2]);
	});
});

describe('instances of one data centre, one of which cannot reach the platform', () => {
	const ids = ['padova-0', 'padova-1', 'padova-2'];

	/** Partitions each instance in turn from the platform, and checks the others `ms` after a change. */
	async function checkEach(change: (cluster: SimulatedCluster) => void, ms: number, check: (cluster: SimulatedCluster, others: SimulatedCluster['nodes'], id: string) => void): Promise<void> {
		for (const [index, id] of ids.entries()) {
			const cluster = await createSimulatedCluster({dataCentres: ['padova'], instancesPerDataCentre: ids.length});
			cluster.partitions.add(`${id}|platform`);
			await cluster.clock.advance(1000);
			change(cluster);
			await cluster.clock.advance(ms);
			check(cluster, cluster.nodes.filter(node => node !== cluster.nodes[index]), id);
			await cluster.stop();
		}
	}

	test('an accepted change takes effect on the others within seven seconds', async () => {
		await checkEach(cluster => {
			cluster.platform.put('configuration/routes', tables(['padova']).routes);
		}, 7000, (_cluster, others, id) => {
			assert.deepEqual(others.map(node => node.instance.configuration().generation), [2, 2], `with ${id} partitioned`);
		});
	});

	test('an endpoint listed as leaving is out of use on the others within five seconds', async () => {
		await checkEach(({platform}) => {
			platform.listing.push({
				id: as<EndpointId>('service-0'), role: 'service', dataCentre: as<DataCentreId>('padova'), address: as<Address>('127.0.0.1:9000'), state: 'leaving',
			});
		}, 5000, (_cluster, others, id) => {
			for (const node of others) {
				assert.match(JSON.stringify(node.instance.dump()), /"id":"service-0"[^\}]*"leaving"/v, `with ${id} partitioned`);
			}
		});
	});
});
