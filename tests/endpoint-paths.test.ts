/**
Instances that are partitioned from all endpoints while callers and other instances reach them: their callers are served nearly as
often as the others, and they return to direct connections when the partition ends.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {
	as, type DataCentreId, type EndpointId, type Milliseconds, type PoolName,
} from '../src/contracts/id.js';
import {type ListedEndpoint} from '../src/contracts/relay.js';
import {type RelayAttempt, type RelayLink, type RelayResult} from '../src/contracts/relay-attempt.js';
import {createReachability, sampleEndpoints} from '../src/zones/endpoint-paths/reachability.js';
import {createSeededRandom, type FakeClock} from './fixtures/fake-clock.js';
import {endpointWith, requestWith, routeWith} from './fixtures/relay-harness.js';
import {createTablesCluster, type TablesCluster} from './fixtures/tables-cluster.js';

const ids = ['a1', 'a2', 'a3', 'a4', 'b1', 'b2', 'b3', 'b4', 'c1', 'c2', 'c3', 'c4'];

/** Time from the beginning of a partition from which callers have to be served, in ms. */
const contactMs = 3000;

const partitionMs = 12_000;

/** Time after the end of a partition within which instances use direct connections again, in ms. */
const returnMs = 3000;

const requestIntervalMs = 100;
const answerMs = 40;
const connectTimeoutMs = 300;

/** What becomes of connections to endpoints: all hang; new ones are refused while old ones live on; or all are reset. */
type Partition = 'hanging' | 'refusing' | 'resetting';

type PartitionedLinks = {
	readonly partitions: Map<string, Partition>;
	/** Instances that have sent a request through a tunnel since this was cleared. */
	readonly tunnelUsers: Set<string>;
	readonly linkOf: (clock: FakeClock, id: string) => RelayLink;
};

function createPartitionedLinks(): PartitionedLinks {
	const partitions = new Map<string, Partition>();
	const tunnelUsers = new Set<string>();

	/** Waits until the attempt is given up. */
	async function hang(clock: FakeClock, {timeLeft, responseTimeouts, pathLost}: RelayAttempt): Promise<RelayResult> {
		const isExpiry = timeLeft <= responseTimeouts.first;
		await clock.sleep(as<Milliseconds>(Math.min(timeLeft, responseTimeouts.first)), pathLost);
		return {kind: isExpiry && !pathLost?.aborted ? 'expired' : 'silent'};
	}

	async function answer(clock: FakeClock): Promise<RelayResult> {
		await clock.sleep(as<Milliseconds>(answerMs));
		return {kind: 'answered', head: {status: 200, headers: []}, body: Buffer.from('whole')};
	}

	function linkOf(clock: FakeClock, id: string): RelayLink {
		const pooled = new Set<EndpointId>();

		async function sendDirectly(attempt: RelayAttempt): Promise<RelayResult> {
			const endpoint = attempt.endpoint.id;
			const isPooled = pooled.delete(endpoint);
			switch (partitions.get(id)) {
				case undefined: {
					const result = await answer(clock);
					pooled.add(endpoint);
					return result;
				}

				case 'hanging': {
					if (isPooled) {
						return hang(clock, attempt);
					}

					await clock.sleep(as<Milliseconds>(connectTimeoutMs));
					return {kind: 'unreachable', reason: 'no connection'};
				}

				case 'refusing': {
					return isPooled ? answer(clock) : {kind: 'unreachable', reason: 'refused'};
				}

				case 'resetting': {
					return isPooled ? {kind: 'broken', reason: 'reset'} : {kind: 'unreachable', reason: 'refused'};
				}
			}
		}

		return {
			async send(attempt) {
				if (attempt.path.kind === 'direct') {
					return sendDirectly(attempt);
				}

				tunnelUsers.add(id);
				if (partitions.has(attempt.path.gateway)) {
					await clock.sleep(as<Milliseconds>(connectTimeoutMs));
					return {kind: 'unreachable', reason: 'the gateway is cut off', isPathAtFault: true};
				}

				return answer(clock);
			},
			async canConnect() {
				const partition = partitions.get(id);
				await clock.sleep(as<Milliseconds>(partition === 'hanging' ? connectTimeoutMs : 1));
				return partition === undefined;
			},
		};
	}

	return {partitions, tunnelUsers, linkOf};
}

type Counts = {asked: number; served: number};

/** Sends requests to all instances for a time, and counts those of partitioned instances and of the others that are served. */
async function callAll(cluster: TablesCluster, isPartitioned: (id: string) => boolean, ms: number): Promise<{readonly partitioned: Counts; readonly others: Counts}> {
	const counts = {partitioned: {asked: 0, served: 0}, others: {asked: 0, served: 0}};
	const callers = [];
	for (let at = 0; at < ms; at += requestIntervalMs) {
		for (const id of ids) {
			callers.push({id, caller: cluster.call(id, requestWith())});
		}

		await cluster.clock.advance(requestIntervalMs);
	}

	await cluster.clock.advance(2000);
	for (const {id, caller} of callers) {
		const count = isPartitioned(id) ? counts.partitioned : counts.others;
		count.asked++;
		count.served += caller.ending() === 'answered' ? 1 : 0;
	}

	return counts;
}

const groups = [
	{name: 'all instances of a data centre', partitioned: ['a1', 'a2', 'a3', 'a4']},
	{name: 'most instances of every data centre', partitioned: ['a1', 'a2', 'b1', 'b2', 'b3', 'c2', 'c3', 'c4']},
] as const;

for (const {name, partitioned} of groups) {
	for (const partition of ['hanging', 'refusing', 'resetting'] as const) {
		test(`callers of ${name} are served while their instances are cut off from endpoints (${partition})`, async () => {
			const {partitions, tunnelUsers, linkOf} = createPartitionedLinks();
			const cluster = await createTablesCluster(ids, 1, {routes: [routeWith()], linkOf});
			const isPartitioned = (id: string) => new Set<string>(partitioned).has(id);
			await callAll(cluster, isPartitioned, 1000);
			for (const id of partitioned) {
				partitions.set(id, partition);
			}

			await callAll(cluster, isPartitioned, contactMs - 2000);
			const counts = await callAll(cluster, isPartitioned, partitionMs - contactMs);
			const {asked, served} = counts.partitioned;
			assert.ok(asked > 0 && counts.others.served === counts.others.asked);
			assert.ok(served / asked >= (2 / 3) * (counts.others.served / counts.others.asked), `${served} of ${asked} served`);
			assert.ok(asked - served <= 10 + ((asked + counts.others.asked) / 50), `${served} of ${asked} served`);

			partitions.clear();
			await cluster.clock.advance(returnMs);
			tunnelUsers.clear();
			await callAll(cluster, isPartitioned, 1000);
			assert.deepEqual([...tunnelUsers], []);
			cluster.stop();
		});
	}
}

test('an instance that no other can help refuses requests at once, as not run', async () => {
	const {partitions, linkOf} = createPartitionedLinks();
	const cluster = await createTablesCluster(ids, 1, {routes: [routeWith()], linkOf});
	for (const id of ids) {
		partitions.set(id, 'refusing');
	}

	await callAll(cluster, () => true, 1000);
	const caller = cluster.call('a1', requestWith());
	await cluster.clock.advance(connectTimeoutMs);
	assert.deepEqual(caller.refusals.map(({kind}) => kind), ['not-run']);
	cluster.stop();
});

const at = (ms: number) => as<Milliseconds>(ms);

const home = as<DataCentreId>('home');
const elsewhere = as<DataCentreId>('elsewhere');

type Outage = {readonly name: string; readonly partsOf: (index: number) => Partial<ListedEndpoint>; readonly isReachable: (endpoint: ListedEndpoint) => boolean};

const outages: readonly Outage[] = [
	{
		name: 'the failure of all endpoints of one pool',
		partsOf: index => ({pool: as<PoolName>(index < 18 ? 'down' : 'up'), dataCentre: index % 2 === 0 ? home : elsewhere}),
		isReachable: endpoint => endpoint.pool === as<PoolName>('up'),
	},
	{
		name: 'the partition of the data centre from the others',
		partsOf: index => ({dataCentre: index < 2 ? home : elsewhere}),
		isReachable: endpoint => endpoint.dataCentre === home,
	},
	{
		name: 'the failure of all endpoints of the data centre',
		partsOf: index => ({dataCentre: index < 18 ? home : elsewhere}),
		isReachable: endpoint => endpoint.dataCentre === elsewhere,
	},
];

for (const {name, partsOf, isReachable} of outages) {
	test(`${name} is not taken for a partition of the instance`, () => {
		const random = createSeededRandom(1);
		for (let round = 0; round < 50; round++) {
			const endpoints = Array.from({length: 20}, (_, index) => endpointWith(`e${index}`, partsOf(index)));
			const shuffled = endpoints.map(endpoint => ({endpoint, order: random.fraction()})).toSorted((left, right) => left.order - right.order).map(({endpoint}) => endpoint);
			assert.ok(sampleEndpoints(shuffled, home).some(endpoint => isReachable(endpoint)));
		}
	});
}

test('one endpoint that is slow is no reason to check the path while others respond', () => {
	const reachability = createReachability();
	reachability.add({endpoint: as<EndpointId>('slow'), sentAt: at(0), onLost: () => assert.fail('the attempt was given up')});
	for (let ms = 0; ms < 5000; ms += 100) {
		reachability.recordHeard(at(ms));
		assert.equal(reachability.isSuspicious(at(ms)), false);
	}
});

test('requests in flight go on while endpoints still respond over old connections', () => {
	const reachability = createReachability();
	reachability.add({endpoint: as<EndpointId>('e1'), sentAt: at(0), onLost: () => assert.fail('the attempt was given up')});
	reachability.recordHeard(at(900));
	assert.equal(reachability.judge('none', at(1000)), true);
	assert.equal(reachability.isCutOff(), true);
});
