/**
Records of used tokens at archives: when they are sent there, and when their reading counts.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {archiveKind} from '../src/contracts/archive.js';
import {
	as, type Address, type AttemptId, type DataCentreId, type Milliseconds, type ProgramId, type Tokens,
} from '../src/contracts/id.js';
import {type UsedRecord, usedRecordId} from '../src/contracts/turn.js';
import {type BudgetRecord} from '../src/zones/budget-records.js';
import {type BudgetCluster, createBudgetCluster, most} from './fixtures/budget-cluster.js';
import {timed} from './fixtures/conversation-scene.js';

const instances = ['a1', 'a2', 'a3', 'b1', 'b2', 'c1', 'c2'];
const three = ['a9', 'b9', 'c9'];

function createCluster(archives = three, machines = 1): BudgetCluster {
	return createBudgetCluster(instances, {archives, machines});
}

const record: BudgetRecord = {program: as<ProgramId>('p'), used: as<Tokens>(700), retention: as<Milliseconds>(120_000)};

function usedRecord(writer: string, tokens: number, retention = 120_000): UsedRecord {
	const content = {
		kind: 'used', program: record.program, tokens: as<Tokens>(tokens), dataCentre: as<DataCentreId>(writer.slice(0, 1)), writer: as<Address>(writer),
	} as const;
	return {
		turn: usedRecordId(content), previous: undefined, workspace: undefined, retention: as<Milliseconds>(retention), content,
	};
}

function put(cluster: BudgetCluster, archive: string, held: UsedRecord): void {
	cluster.archives.archive(archive).records.set(held.turn, held);
	cluster.archives.archive(archive).keptAt.set(held.turn, cluster.clock.now());
}

/** Reads the records. Returns the highest amount; undefined if they cannot be read. */
async function loadUsed(cluster: BudgetCluster): Promise<number | undefined> {
	const {used} = await load(cluster);
	return used;
}

async function load(cluster: BudgetCluster) {
	const {value, took} = await timed(cluster.clock, cluster.node('a1').records.load());
	return {result: value, took, used: value.isOk() ? Math.max(0, ...value.value.records.map(({used}) => used)) : undefined};
}

const copiesIn = ({archives}: BudgetCluster) => archives.all().filter(({records}) => records.size > 0).map(({id}) => id);

const keepsOf = ({archives}: BudgetCluster) => archives.all().flatMap(({keeps}) => keeps).length;

async function grantedCalls(cluster: BudgetCluster, from: string, budget: number, count: number): Promise<number> {
	let granted = 0;
	for (let call = 0; call < count; call++) {
		const reservation = await cluster.reserve(from, 'p', `${from} ${call} ${cluster.clock.now()}`, budget);
		if (reservation.kind === 'granted') {
			granted++;
			reservation.settle(as<Tokens>(most));
		}
	}

	return granted;
}

// Guards against programs that are refused their second call while the store is away.
test('while the store is away a program gets its whole budget where turns are kept, and one call elsewhere', async () => {
	for (const [keepsTurns, calls] of [[false, 1], [true, 5]] as const) {
		const cluster = createCluster();
		cluster.keepsTurns = keepsTurns;
		cluster.isStoreDown = true;
		assert.equal(await grantedCalls(cluster, 'a1', 5 * most, 8), calls);
		assert.equal(keepsOf(cluster) > 0, keepsTurns);
	}
});

// Guards against a second grant of what only the archives recorded.
test('what was recorded at archives only counts after a loss of all memory', async () => {
	const cluster = createCluster();
	cluster.isStoreDown = true;
	const before = await grantedCalls(cluster, 'a1', 5 * most, 5);
	cluster.isStoreDown = false;
	const recovering = cluster.recover(...instances);
	await cluster.clock.advance(5000);
	await recovering;
	const after = await grantedCalls(cluster, 'b1', 5 * most, 5);
	assert.ok(before + after <= 6, `${before} calls before and ${after} after`);
});

// Guards against messages and disk space that a store which answers makes needless.
test('as long as the store acknowledges within 60 ms, archives get no message and no record is read from them', async () => {
	const cluster = createCluster();
	cluster.storeLatency = as<Milliseconds>(55);
	assert.equal(await grantedCalls(cluster, 'a1', 20 * most, 20), 20);
	assert.equal(keepsOf(cluster), 0);
	assert.deepEqual(cluster.archives.store.listedKinds, []);
	assert.ok(cluster.archives.all().every(({usedReads}) => usedReads === 0));
});

test('a record that the store has not acknowledged after 60 ms has two copies in two data centres a moment later', async () => {
	const cluster = createCluster();
	cluster.isStoreDown = true;
	const {inStore, durable} = cluster.node('a1').records.keep(record);
	const {value, took} = await timed(cluster.clock, durable);
	assert.equal(value, true);
	assert.ok(took >= 60 && took < 75, `${took} ms`);
	assert.equal(copiesIn(cluster).length, 2);
	let isEnded = false;
	void inStore.then(() => {
		isEnded = true;
	});
	await cluster.clock.advance(1000);
	assert.equal(isEnded, false, 'the store is not tried any more');
});

// Guards against a record that counts as durable with fewer copies than the losses take.
test('a record is not durable if too few archives take it, and is once the store has it', async () => {
	const cluster = createCluster();
	cluster.storeLatency = as<Milliseconds>(400);
	for (const id of ['b9', 'c9']) {
		cluster.archives.archive(id).state = 'full';
	}

	const {value, took} = await timed(cluster.clock, cluster.node('a1').records.keep(record).durable);
	assert.deepEqual({value, took}, {value: true, took: 400});
	cluster.isStoreDown = true;
	const outcome = await timed(cluster.clock, cluster.node('a1').records.keep(record).durable, 10_000);
	assert.equal(outcome.value, false);
	assert.ok(cluster.events.some(event => event.kind === 'archived' && !event.isKept && event.copies.length === 1 && event.missing.length === 2));
});

// Guards against a record that is at archives in time, but is waited for behind neighbours that cannot write it either.
test('a call whose record is at archives does not wait for neighbours', async () => {
	const cluster = createCluster();
	cluster.isStoreDown = true;
	const reservation = await cluster.reserve('a1', 'p', '1', 5 * most);
	assert.equal(reservation.kind, 'granted');
	assert.ok(cluster.events.some(event => event.kind === 'archived' && event.isKept));
	assert.ok(!cluster.events.some(event => event.kind === 'unrecorded'));
});

// Guards against a neighbour that makes copies of its own beside those of the instance that asks it.
test('a neighbour that the store does not answer either sends nothing to archives', async () => {
	const cluster = createCluster();
	cluster.isStoreDown = true;
	await cluster.reserve('a1', 'p', '1', 5 * most);
	assert.deepEqual(new Set(cluster.archives.all().flatMap(({records}) => [...records.keys()])).size, 1);
});

const failing: ReadonlyArray<readonly [string, (cluster: BudgetCluster) => void]> = [
	['two archives of three do not answer', cluster => {
		cluster.archives.archive('b9').state = 'hanging';
		cluster.archives.archive('c9').state = 'starting';
	}],
	['two archives of three may have lost records', cluster => {
		cluster.archives.archive('b9').isComplete = false;
		cluster.archives.archive('c9').isComplete = false;
	}],
	['one does not answer and another may have lost records', cluster => {
		cluster.archives.archive('b9').state = 'hanging';
		cluster.archives.archive('c9').isComplete = false;
	}],
	['the entry of an archive is invalid', cluster => {
		cluster.archives.store.put(archiveKind, 'd9', {address: 7});
	}],
	['the store does not answer', cluster => {
		cluster.isStoreDown = true;
	}],
];

for (const [name, disturb] of failing) {
	// Guards against a budget that is granted again, since the archives that hold its record were not heard.
	test(`the records cannot be read if ${name}`, async () => {
		const cluster = createCluster();
		put(cluster, 'b9', usedRecord('a1', 700));
		disturb(cluster);
		const {result} = await load(cluster);
		assert.equal(result.isErr() && result.error.code, 'platform-unavailable');
		assert.ok(cluster.events.some(event => event.kind === 'archives-unread'));
	});
}

// Guards against a start that waits for archives that are not needed, or for those that have left.
test('the records are read without the archives that the tolerance allows to be missing, and without those that have left', async () => {
	const cluster = createCluster([...three, 'd9']);
	put(cluster, 'b9', usedRecord('a1', 300));
	put(cluster, 'c9', usedRecord('a1', 700));
	put(cluster, 'b9', usedRecord('c1', 500));
	cluster.archives.archive('a9').state = 'hanging';
	cluster.archives.list('d9', 'left');
	cluster.archives.archive('d9').state = 'hanging';
	const {result, took, used} = await load(cluster);
	assert.ok(took < 50, `${took} ms`);
	assert.equal(used, 700);
	assert.ok(result.isOk());
	assert.deepEqual(result.value.records.map(({used: tokens, dataCentre}) => [tokens, dataCentre]), [[700, 'a'], [500, 'c']]);
	assert.ok(['a1', 'c1'].every(writer => result.value.addresses.includes(as<Address>(writer))));
});

// Guards against a system that never starts again, as three disks are missing although only a data centre is lost.
test('the records are read without a data centre whose archives are more than the disks that may be lost', async () => {
	const cluster = createCluster(['a7', 'a8', 'a9', 'b8', 'b9', 'c8', 'c9'], 2);
	put(cluster, 'b8', usedRecord('b1', 700));
	for (const id of ['a7', 'a8', 'a9']) {
		cluster.archives.archive(id).state = 'hanging';
	}

	assert.equal(await loadUsed(cluster), 700);
	cluster.archives.archive('b9').state = 'hanging';
	assert.equal(await loadUsed(cluster), undefined);
});

// Guards against a renewal that comes after the first copy has expired.
test('a record counts for as long as its shortest copy is held', async () => {
	const cluster = createCluster();
	put(cluster, 'b9', usedRecord('a1', 700, 50_000));
	put(cluster, 'c9', usedRecord('a1', 700, 90_000));
	cluster.archives.archive('a9').state = 'hanging';
	const {result} = await load(cluster);
	assert.ok(result.isOk() && result.value.records.every(({retention}) => retention <= 80_000));
});

// Guards against a start that takes unread archives for none, before its configuration is known.
test('until the configuration is known, archives are asked if the store lists any', async () => {
	const cluster = createCluster();
	cluster.keepsTurns = undefined;
	put(cluster, 'b9', usedRecord('a1', 700));
	assert.equal(await loadUsed(cluster), 700);
	cluster.archives.archive('b9').state = 'hanging';
	cluster.archives.archive('c9').state = 'hanging';
	assert.equal(await loadUsed(cluster), undefined);
	const without = createCluster([]);
	without.keepsTurns = undefined;
	assert.equal(await loadUsed(without), 0);
});

// Guards against a deployment that cannot start, since machines that keep no turns are listed as archives.
test('where no turns are kept, neither the list of archives is read nor an archive', async () => {
	const cluster = createCluster();
	cluster.keepsTurns = false;
	for (const id of three) {
		cluster.archives.archive(id).isComplete = false;
	}

	assert.equal(await loadUsed(cluster), 0);
	assert.deepEqual(cluster.archives.store.listedKinds, []);
	cluster.keepsTurns = true;
	await load(cluster);
	assert.deepEqual(cluster.archives.store.listedKinds, [archiveKind]);
});

// Guards against callers who choose the id of a record of used tokens for their turns.
test('the id of a record of used tokens cannot be sent in a header', () => {
	const id: AttemptId = usedRecordId(usedRecord('a1', 1).content);
	assert.throws(() => new Headers({'Attempt-Id': `x${id}x`}));
});
