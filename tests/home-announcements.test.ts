/**
All instances of a data centre learn the homes of programs, at a cost that does not grow with programs times instances.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {as, type DataCentreId, type ProgramId} from '../src/contracts/id.js';
import {createOwnerRanks} from '../src/zones/owner-ranks.js';
import {createBudgetCluster, type BudgetCluster} from './fixtures/budget-cluster.js';

const instancesPerDataCentre = 12;
const instances = ['a', 'b'].flatMap(dataCentre => Array.from({length: instancesPerDataCentre}, (_, index) => `${dataCentre}${index + 1}`));
const programs = Array.from({length: 60}, (_, index) => `program-${index}`);
const budget = 1000;

/** Time within which every instance of a data centre knows the home of a program. */
const knownWithinMs = 1000;

/** Starts all programs at instances of data centre a, and waits until their homes should be known. */
async function startPrograms(cluster: BudgetCluster, entries: readonly string[]): Promise<void> {
	const reservations = programs.map(async (program, index) => cluster.startReservation(entries[index % entries.length] ?? '', program, `${program}-1`, budget));
	await cluster.clock.advance(knownWithinMs);
	for (const {kind} of await Promise.all(reservations)) {
		assert.equal(kind, 'granted');
	}
}

function unknownAt(cluster: BudgetCluster, ids: readonly string[]): readonly string[] {
	return ids.flatMap(id => programs.filter(program => cluster.node(id).ledger.home(as<ProgramId>(program)) === undefined).map(program => `${program} at ${id}`));
}

test('every instance learns the homes of programs, with far fewer messages than one for each of both', async () => {
	const cluster = createBudgetCluster(instances);
	await startPrograms(cluster, instances.slice(0, instancesPerDataCentre));
	assert.deepEqual(unknownAt(cluster, instances), []);
	const oneByOne = programs.length * (instances.length - 2);
	assert.ok(cluster.oneWayMessages() < oneByOne / 3, `${cluster.oneWayMessages()} messages, ${oneByOne} one by one`);
});

test('every instance learns the homes of programs while the first of those that pass them on is cut off', async () => {
	const cluster = createBudgetCluster(instances);
	const members = instances.map(id => cluster.node(id).member);
	const [distributor] = createOwnerRanks().of(as<DataCentreId>('a'), 'home-announcements', members);
	assert.ok(distributor);
	cluster.partitioned.add(distributor.id);
	const others = instances.filter(id => id !== distributor.id);
	await startPrograms(cluster, others.slice(0, instancesPerDataCentre - 1));
	assert.deepEqual(unknownAt(cluster, others), []);
});
