/**
The turn store under single faults of its disk, and its bounds.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {createRecord, layOutBatch, recordType} from '../src/machines/turn-store/frame.js';
import {encodeTurn} from '../src/machines/turn-store/turn-encoding.js';
import {type TurnStore} from '../src/machines/turn-store/turn-store.js';
import {
	createMachine, keepAll, type Machine, name, plain, recordOf, retentionMs,
} from './fixtures/turn-machine.js';

/** Retention and the margin that the store adds to it. */
const expiryMs = retentionMs + 30_000;

const recordsOf = (count: number, inputBytes = 200) => Array.from({length: count}, (_, index) => recordOf(`turn-${index}`, {inputBytes}));

async function isComplete(machine: Machine, store: TurnStore): Promise<boolean> {
	const reply = await machine.after(store.chain(name('unknown')));
	assert.deepEqual(reply.records, []);
	return reply.isComplete;
}

async function isFound(machine: Machine, store: TurnStore, turn: string): Promise<boolean> {
	const reply = await machine.after(store.chain(name(turn)));
	return reply.records[0]?.turn === turn;
}

// Guards against one sync for each record: a disk of 5 ms per sync stores 200 a second that way.
test('records that arrive during a sync share the next one', async () => {
	const machine = createMachine();
	const store = await machine.start(true);
	machine.disk.latency = 5;
	assert.deepEqual(new Set(await keepAll(machine, store, recordsOf(50))), new Set(['kept']));
	assert.equal(machine.disk.syncs(), 2);
});

// Guards against files in deployments that have no kept turns.
test('a store to which no turn is sent writes no file', async () => {
	const machine = createMachine();
	await machine.start(true);
	await machine.clock.advance(10_000);
	assert.deepEqual(machine.disk.files(), []);
});

// Guards against callers that wait for a disk that hangs, and against an archive that stays unusable after that.
test('while the disk hangs, records are refused after a second and then at once, and recent turns are read', async () => {
	const machine = createMachine();
	const {disk, clock} = machine;
	const store = await machine.start(true);
	await keepAll(machine, store, recordsOf(1));
	disk.hang(true);
	const before = clock.now();
	const waiting = keepAll(machine, store, [recordOf('a'), recordOf('b')]);
	assert.deepEqual(await waiting, ['refused', 'refused']);
	assert.ok(clock.now() - before >= 1000 && clock.now() - before < 1100);
	const refusedAt = clock.now();
	assert.deepEqual(await keepAll(machine, store, [recordOf('c')]), ['refused']);
	assert.equal(clock.now(), refusedAt);
	assert.ok(await isFound(machine, store, 'turn-0'));
	disk.hang(false);
	await clock.advance(10);
	assert.deepEqual(await keepAll(machine, store, [recordOf('d')]), ['kept']);
	assert.deepEqual([machine.ofKind('disk-hanging').length, machine.ofKind('disk-responding').length], [1, 1]);
	assert.ok(await isComplete(machine, store));
});

// Guards against a reply that denies a turn which the disk did not return in time.
test('a chain that the disk does not return within a second proves no absence', async () => {
	const machine = createMachine();
	await keepAll(machine, await machine.start(true), recordsOf(1));
	machine.disk.crash();
	const store = await machine.start();
	machine.disk.hang(true);
	assert.deepEqual(await machine.after(store.chain(name('turn-0'))), {records: [], isComplete: false});
});

// Guards against a full disk that costs stored turns or stays full for the store.
test('a full disk refuses records, still returns turns, and takes records again once there is space', async () => {
	const machine = createMachine();
	const {disk} = machine;
	const store = await machine.start(true);
	await keepAll(machine, store, recordsOf(20, 3000));
	disk.isFull = true;
	assert.deepEqual(await keepAll(machine, store, [recordOf('a'), recordOf('b')]), ['refused', 'refused']);
	assert.ok(await isFound(machine, store, 'turn-0'));
	disk.isFull = false;
	assert.deepEqual(await keepAll(machine, store, [recordOf('c', {inputBytes: 10})]), ['kept']);
	disk.losePower(machine.random);
	const next = await machine.start();
	assert.ok(await isFound(machine, next, 'turn-0') && await isFound(machine, next, 'c'));
	// The remains of the refused records follow the last one that was stored.
	assert.equal(await isComplete(machine, next), true);
});

// Guards against a store that fills the disk of its machine.
test('the store takes 85% of its space, and has space again when segments expire', async () => {
	const diskBytes = 1_000_000;
	const machine = createMachine({diskBytes});
	const store = await machine.start(true);
	const size = () => machine.disk.files().reduce((sum, file) => sum + file.bytes, 0);
	const results = [];
	for (const record of recordsOf(60, 20_000)) {
		results.push(...await keepAll(machine, store, [record]));
	}

	assert.equal(results.at(-1), 'refused');
	assert.ok(size() > diskBytes * 0.8 && size() <= diskBytes * 0.85);
	assert.equal(machine.ofKind('space-used-up').length, 1);
	await machine.clock.advance(expiryMs + 5000);
	assert.equal(machine.disk.files().length, 1);
	assert.deepEqual(await keepAll(machine, store, [recordOf('new')]), ['kept']);
});

// Guards against turns that are dropped with older ones of their segment, and against files that are never dropped.
test('a segment is dropped when its newest record has expired, and the newest segment stays', async () => {
	const machine = createMachine();
	const {clock, disk} = machine;
	const store = await machine.start(true);
	await keepAll(machine, store, recordsOf(3, 20_000));
	await clock.advance(retentionMs);
	await keepAll(machine, store, [recordOf('late', {inputBytes: 20_000})]);
	await keepAll(machine, store, [recordOf('later', {inputBytes: 30_000})]);
	assert.equal(disk.files().length, 2);
	await clock.advance(expiryMs - 1000);
	assert.ok(await isFound(machine, store, 'turn-0') && await isFound(machine, store, 'late'));
	await clock.advance(4000);
	assert.equal(disk.files().length, 1);
	assert.ok(!await isFound(machine, store, 'late') && await isFound(machine, store, 'later'));
	await clock.advance(expiryMs);
	assert.equal(disk.files().length, 1);
	disk.losePower(machine.random);
	// An empty directory would look like a lost disk.
	assert.equal(await isComplete(machine, await machine.start()), true);
	await clock.advance(expiryMs * 2);
	disk.losePower(machine.random);
	assert.equal(await isComplete(machine, await machine.start()), true);
});

// Guards against 404 for turns that went with a disk, also when the process starts again meanwhile.
test('after the loss of its disk an archive proves no absence for a retention', async () => {
	const machine = createMachine();
	const {clock, disk} = machine;
	assert.equal(await isComplete(machine, await machine.start(true)), true);
	disk.replace();
	const store = await machine.start();
	assert.equal(await isComplete(machine, store), false);
	await keepAll(machine, store, recordsOf(1));
	await clock.advance(retentionMs / 2);
	disk.crash();
	const next = await machine.start();
	assert.equal(await isComplete(machine, next), false);
	await keepAll(machine, next, [recordOf('early')]);
	await clock.advance(retentionMs);
	assert.equal(await isComplete(machine, next), false);
	await clock.advance(expiryMs - retentionMs + 5000);
	assert.equal(await isComplete(machine, next), true);
	await keepAll(machine, next, [recordOf('a')]);
	await clock.advance(expiryMs + 5000);
	disk.crash();
	assert.equal(await isComplete(machine, await machine.start()), true);
});

const batches = ['a', 'b', 'c', 'd'];

/** A machine whose disk has a segment of some batches of one record, with the end of each. */
async function createBatches() {
	const machine = createMachine();
	const store = await machine.start(true);
	const ends: number[] = [];
	for (const turn of batches) {
		await keepAll(machine, store, [recordOf(turn)]);
		ends.push(machine.disk.files()[0]?.bytes ?? 0);
	}

	machine.disk.crash();
	return {machine, file: machine.disk.files()[0]?.name ?? '', ends};
}

// Guards against damage that ends the process, hides the records behind it, or is taken for an interrupted write.
test('a damaged byte costs one record, and the archive proves no absence unless the last write may have been interrupted', async () => {
	const {ends} = await createBatches();
	const end = ends.at(-1) ?? 0;
	const lastStart = ends.at(-2) ?? 0;
	for (let position = 0; position < end; position += 17) {
		const {machine, file} = await createBatches();
		machine.disk.damage(file, position);
		const store = await machine.start();
		const found = [];
		for (const turn of batches) {
			found.push(await isFound(machine, store, turn));
		}

		assert.ok(found.filter(isThere => !isThere).length <= 1, `byte ${position}`);
		assert.equal(await isComplete(machine, store), position >= lastStart, `byte ${position}`);
		assert.equal(machine.ofKind('segment-recovered').at(-1)?.hasLoss, position < lastStart);
	}
});

// Guards against a segment that lost its end and looks like one whose last write was interrupted.
test('the end of an older segment is missed, since the newer one says how long it was', async () => {
	const machine = createMachine();
	const store = await machine.start(true);
	await keepAll(machine, store, recordsOf(3, 20_000));
	await keepAll(machine, store, [recordOf('next', {inputBytes: 50_000})]);
	const [older] = machine.disk.files();
	assert.ok(older);
	machine.disk.crash();
	machine.disk.truncate(older.name, older.bytes - 100);
	const next = await machine.start();
	assert.equal(await isFound(machine, next, 'turn-0'), true);
	assert.equal(await isComplete(machine, next), false);
	assert.match(machine.ofKind('segment-recovered').find(event => event.segment === older.name)?.reason ?? '', /missing from byte/v);
});

// Guards against a start that finds no trace of a loss which the one before has seen.
test('a segment without a readable record says that turns are missing until the retention is over', async () => {
	const machine = createMachine();
	const store = await machine.start(true);
	await keepAll(machine, store, recordsOf(3, 20_000));
	await keepAll(machine, store, [recordOf('next', {inputBytes: 50_000})]);
	machine.disk.crash();
	machine.disk.truncate(machine.disk.files()[0]?.name ?? '', 10);
	await machine.start();
	await machine.clock.advance(retentionMs - 1000);
	machine.disk.crash();
	const next = await machine.start();
	assert.equal(await isComplete(machine, next), false);
	await machine.clock.advance(expiryMs + 5000);
	assert.equal(await isComplete(machine, next), true);
});

// Guards against turns of other workspaces that a caller hides in the input of its own.
test('frames in the content of a turn are not taken for records when the turn is damaged', async () => {
	const machine = createMachine();
	const store = await machine.start(true);
	const forged = encodeTurn(recordOf('forged')) ?? new Uint8Array();
	const batch = layOutBatch([createRecord(recordType.turn, forged)], 0, 0);
	const carrier = {...recordOf('carrier'), content: {kind: 'whole' as const, input: Buffer.concat(batch.parts), output: new Uint8Array()}};
	await keepAll(machine, store, [carrier]);
	const [file] = machine.disk.files();
	assert.ok(file);
	machine.disk.crash();
	machine.disk.damage(file.name, file.bytes - batch.end - 5);
	const next = await machine.start();
	assert.ok(!await isFound(machine, next, 'carrier') && !await isFound(machine, next, 'forged'));
});

// Guards against files of other programs, and against files that cannot be read, on the way to a start.
test('files that are no segments are left alone', async () => {
	const machine = createMachine();
	await keepAll(machine, await machine.start(true), recordsOf(1));
	machine.disk.crash();
	await machine.after(machine.disk.connect().create('/data/0000000009-notes.txt'));
	await machine.after(machine.disk.connect().create('/data/0000000009-abc.turns'));
	const store = await machine.start();
	assert.ok(await isFound(machine, store, 'turn-0') && await isComplete(machine, store));
	await machine.clock.advance(expiryMs * 2);
	assert.ok(machine.disk.files().some(file => file.name === '0000000009-notes.txt'));
});

// Guards against endless replies: attempt ids are chosen by callers.
test('a chain is returned newest first, from the disk if need be, and ends where it repeats itself', async () => {
	const machine = createMachine();
	const store = await machine.start(true);
	const chain = Array.from({length: 22}, (_, index) => recordOf(`link-${index}`, {inputBytes: 3000, ...(index > 0 && {previous: `link-${index - 1}`})}));
	await keepAll(machine, store, [...chain, recordOf('x', {previous: 'y'}), recordOf('y', {previous: 'x'})]);
	const reply = await machine.after(store.chain(name('link-21')));
	assert.deepEqual(reply.records.map(record => plain(record)), chain.toReversed().map(record => plain(record)));
	assert.ok((store.gauges().reads ?? 0) > 0);
	assert.ok((store.gauges().cacheBytes ?? 0) <= 20_000);
	const circle = await machine.after(store.chain(name('x')));
	assert.deepEqual(circle.records.map(record => record.turn), ['x', 'y']);
});

test('a store that is closing refuses records and finishes those that are being written', async () => {
	const machine = createMachine();
	const store = await machine.start(true);
	machine.disk.latency = 5;
	const sent = [store.keep(recordOf('a')), store.keep(recordOf('b'))];
	await machine.after(store.close());
	const results = await Promise.all([...sent, store.keep(recordOf('c'))]);
	assert.deepEqual(results.map(result => result.kind), ['kept', 'refused', 'refused']);
});
