/**
Archives that register, and machines with turns that are to be emptied.
*/
import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import fc from 'fast-check';
import {
	archiveKind, type ArchiveState, encodeArchive, type ListedArchive,
} from '../src/contracts/archive.js';
import {
	as, type Address, type DataCentreId, type InstanceId, type ObjectVersion,
} from '../src/contracts/id.js';
import {type WriteResult} from '../src/contracts/object-store.js';
import {copiesFor} from '../src/contracts/tolerance.js';
import {type Archive, type ArchiveEvent, createArchive} from '../src/machines/archive.js';
import {nextCopyTarget} from '../src/machines/copy-targets.js';
import {createArchiveRegistration} from '../src/machines/archive-registration.js';
import {createRetirement} from '../src/machines/retirement.js';
import {isEnough} from '../src/zones/conversations/copy-placement.js';
import {createFakeClock} from './fixtures/fake-clock.js';
import {createFakeObjectStore, type StoreAccess} from './fixtures/fake-object-store.js';
import {
	createMachine, keepAll, name, plain, recordOf, retentionMs, usedRecord,
} from './fixtures/turn-machine.js';

const kind = 'retirements';
const running = {state: 'running'};
const completed = {state: 'completed'};

function archiveOf(id: string, state: ArchiveState = 'serving'): ListedArchive {
	return {
		id: as<InstanceId>(id), address: as<Address>(`${id}:1`), dataCentre: as<DataCentreId>(id.split('-')[0] ?? ''), state,
	};
}

/** How another archive treats copies. */
type Treatment = 'taking' | 'refusing' | 'silent';

type Other = {treatment: Treatment; readonly records: Map<string, unknown>; copies: number};

function createOther(): Other {
	return {treatment: 'taking', records: new Map(), copies: 0};
}

/** An archive on a machine of data centre `a`, with others that are listed in the store. */
async function createDeployment(context: TestContext, others: readonly string[]) {
	const machine = createMachine();
	const {clock, random} = machine;
	const objects = createFakeObjectStore(clock);
	let access: StoreAccess = 'answering';
	const statuses: unknown[] = [];
	const connected = objects.connect(() => access);
	const store = {
		...connected,
		async putStatus(_kind: string, _name: string, status: unknown): Promise<WriteResult> {
			statuses.push(status);
			return {kind: 'written', revision: as<ObjectVersion>(1)};
		},
	};
	const archives = new Map(others.map(id => [archiveOf(id).address, createOther()]));
	for (const id of others) {
		objects.put(archiveKind, id, encodeArchive(archiveOf(id)));
	}

	const events: ArchiveEvent[] = [];
	const turns = await machine.start(true);
	const archive: Archive = createArchive({
		own: archiveOf('a-1'),
		openStore: async () => turns,
		objects: store,
		link: {
			async copy(address, records) {
				const other = archives.get(address);
				if (other?.treatment !== 'taking') {
					return {stored: new Set(), reason: other?.treatment ?? 'unknown'};
				}

				other.copies += records.length;
				for (const record of records) {
					other.records.set(record.turn, plain(record));
				}

				return {stored: new Set(records.map(record => record.turn)), reason: undefined};
			},
			async holds(address, asked) {
				const other = archives.get(address);
				return other?.treatment === 'silent' ? undefined : new Set(asked.filter(turn => other?.records.has(turn)));
			},
			inventory: async () => undefined,
			copies: async () => undefined,
		},
		tolerance: {machines: 1, dataCentres: 1},
		clock,
		onEvent(event) {
			events.push(event);
		},
	});
	const stop = new AbortController();
	context.after(() => {
		stop.abort();
	});
	void archive.run(stop.signal);
	const retirement = createRetirement({
		id: as<InstanceId>('a-1'), store, objects: kind, status: completed, emptying: {status: running, isNeeded: archive.isUsed, run: archive.drain}, clock, random, onEvent: () => undefined,
	});
	void retirement.run(stop.signal);
	await clock.advance(100);
	return {
		machine, clock, objects, archive, statuses, events,
		other: (id: string) => archives.get(archiveOf(id).address) ?? assert.fail(id),
		state: () => objects.spec(archiveKind, 'a-1'),
		calls: connected.calls,
		setAccess(next: StoreAccess) {
			access = next;
		},
		keep: async (ids: readonly string[]) => keepAll(machine, turns, ids.map((id, index) => recordOf(id, index === 0 ? {} : {previous: ids[index - 1]}))),
		async retire() {
			objects.put(kind, 'a-1', {});
			await clock.advance(50);
		},
	};
}

const leaving = encodeArchive(archiveOf('a-1', 'leaving'));
const left = encodeArchive(archiveOf('a-1', 'left'));
const serving = encodeArchive(archiveOf('a-1'));

// Guards against a machine that is removed while a turn would not outlast the next loss.
test('a machine reports that it is empty only once every turn is stored on enough other disks and in enough data centres', async context => {
	const deployment = await createDeployment(context, ['a-2', 'a-3', 'b-1']);
	const {clock, statuses, other, state, keep, retire, archive} = deployment;
	const ids = Array.from({length: 250}, (_, index) => `turn-${index}`);
	await keep(ids);
	other('b-1').treatment = 'refusing';
	await retire();
	await clock.advance(20_000);
	assert.deepEqual([statuses, state()], [[running], leaving]);
	const late = await archive.keep(recordOf('late'));
	assert.equal(late.kind, 'refused');
	const reply = await archive.chain(name('turn-3'));
	assert.equal(reply?.records.length, 4);
	other('b-1').treatment = 'taking';
	await clock.advance(3000);
	assert.deepEqual([statuses, state()], [[running, completed], left]);
	for (const id of ids) {
		const holders = ['a-2', 'a-3', 'b-1'].filter(archiveId => other(archiveId).records.get(id) === plain(recordOf(id, id === 'turn-0' ? {} : {previous: `turn-${Number(id.slice(5)) - 1}`})));
		assert.ok(holders.length >= 2 && holders.includes('b-1'), `${id} is at ${holders.join(', ')}`);
	}
});

// Guards against a drain that sends every turn over the network again, when all have their copies already.
test('only turns that are missing elsewhere are copied, and partial turns always', async context => {
	const {clock, statuses, other, keep, retire, machine, archive} = await createDeployment(context, ['a-2', 'b-1', 'c-1']);
	await keep(['x', 'y', 'z']);
	await machine.after(archive.keep(recordOf('part', {lastEvent: 3})));
	for (const [id, turns] of [['b-1', ['x', 'y']], ['c-1', ['x', 'part']]] as const) {
		for (const turn of turns) {
			other(id).records.set(turn, true);
		}
	}

	await retire();
	await clock.advance(1000);
	assert.deepEqual(statuses, [running, completed]);
	assert.equal(other('a-2').copies + other('b-1').copies + other('c-1').copies, 1 + 2 + 2);
});

// Guards against a turn that is acknowledged after the turns to copy were listed.
test('a turn that is being written when the drain begins is copied', async context => {
	const {clock, statuses, other, keep, retire, machine, archive} = await createDeployment(context, ['a-2', 'b-1']);
	await keep(['x']);
	machine.disk.latency = 300;
	const writing = archive.keep(recordOf('y'));
	await retire();
	assert.deepEqual(statuses, [running]);
	await clock.advance(3000);
	assert.deepEqual(await writing, {kind: 'kept'});
	assert.deepEqual(statuses, [running, completed]);
	assert.deepEqual([other('a-2').records.has('y'), other('b-1').records.has('y')], [true, true]);
});

// Guards against a drain that gives up what an archive did not take, and against one that never ends.
test('what cannot be copied is tried again until it has expired', async context => {
	const {clock, statuses, other, keep, retire, events} = await createDeployment(context, ['a-2', 'b-1']);
	await keep(['x', 'y']);
	other('b-1').treatment = 'silent';
	await retire();
	await clock.advance(retentionMs);
	assert.deepEqual(statuses, [running]);
	assert.ok(events.filter(event => event.kind === 'drain' && event.drain.kind === 'copy-failed').length > 20);
	await clock.advance(retentionMs);
	assert.deepEqual(statuses, [running, completed]);
});

test('a drain goes on after an outage of the store, and a withdrawn one makes the archive take turns again', async context => {
	const {clock, statuses, other, state, setAccess, keep, retire, objects, archive, machine} = await createDeployment(context, ['a-2', 'b-1']);
	await keep(['x']);
	other('b-1').treatment = 'refusing';
	await retire();
	objects.remove(kind, 'a-1');
	await clock.advance(1000);
	assert.deepEqual(state(), serving);
	assert.deepEqual(await machine.after(archive.keep(recordOf('y'))), {kind: 'kept'});
	await retire();
	setAccess('refusing');
	other('b-1').treatment = 'taking';
	await clock.advance(5000);
	assert.deepEqual(statuses.at(-1), running);
	setAccess('answering');
	await clock.advance(5000);
	assert.deepEqual([statuses.at(-1), state()], [completed, left]);
	assert.ok(other('b-1').records.has('y'));
});

// Guards against store calls in deployments without kept turns.
test('an archive that no turn was sent to costs one store call, and reports at once that it is empty', async context => {
	const {clock, statuses, calls, retire, state} = await createDeployment(context, ['b-1']);
	// The first list and the watch of retirements are there without turns as well.
	assert.equal(calls() - 2, 1);
	await retire();
	await clock.advance(1000);
	assert.deepEqual([statuses, state()], [[completed], serving]);
	// The watch continues after the request.
	assert.equal(calls() - 3, 1);
});

// Guards against a machine that is removed with the highest amount, as the others hold a lower one under the same id.
test('a record of used tokens is copied to enough others, also if these hold a lower amount', async context => {
	const {clock, statuses, other, retire, archive} = await createDeployment(context, ['a-2', 'b-1']);
	const used = usedRecord('p', 700);
	void archive.keep(used);
	await clock.advance(100);
	for (const id of ['a-2', 'b-1']) {
		other(id).records.set(used.turn, plain(usedRecord('p', 300)));
	}

	await retire();
	await clock.advance(3000);
	assert.deepEqual(statuses, [running, completed]);
	for (const id of ['a-2', 'b-1']) {
		assert.equal(other(id).records.get(used.turn), plain(used));
	}
});

// Guards against a report of an earlier stage that takes effect last and keeps the operator waiting.
test('the end is reported again if an earlier report takes effect after it', async context => {
	const {clock, statuses, keep, retire, objects} = await createDeployment(context, ['a-2', 'b-1']);
	await keep(['x']);
	await retire();
	await clock.advance(1000);
	assert.deepEqual(statuses, [running, completed]);
	objects.putStatus(kind, 'a-1', running);
	await clock.advance(100);
	assert.deepEqual(statuses, [running, completed, completed]);
});

// Guards against entries that send turns to the address of an earlier process, and against calls for what the store has.
test('a registration replaces that of an earlier process, and is repeated until the store has it', async () => {
	const clock = createFakeClock();
	const objects = createFakeObjectStore(clock);
	let access: StoreAccess = 'silent';
	const store = objects.connect(() => access);
	const write = async () => {
		const registration = createArchiveRegistration({
			archive: archiveOf('a-1'), store, clock, onEvent: () => undefined,
		});
		return registration.write('serving', new AbortController().signal);
	};

	objects.put(archiveKind, 'a-1', {address: '10.0.0.9:1', dataCentre: 'a', state: 'leaving'});
	const first = write();
	await clock.advance(5000);
	access = 'answering';
	await clock.advance(3000);
	assert.equal(await first, true);
	assert.deepEqual(objects.spec(archiveKind, 'a-1'), serving);
	const before = store.calls();
	const second = write();
	await clock.advance(100);
	assert.equal(await second, true);
	assert.equal(store.calls() - before, 1);
});

// Guards against copies that a loss within the tolerance takes all at once.
test('targets are added until the copies outlast the losses, whenever the archives allow it', () => {
	const id = fc.record({dataCentre: fc.constantFrom('a', 'b', 'c'), number: fc.integer({min: 1, max: 4})}).map(({dataCentre, number}) => `${dataCentre}-${number}`);
	const losses = fc.integer({min: 0, max: 2});
	fc.assert(fc.property(fc.uniqueArray(id, {maxLength: 10}), losses, losses, fc.nat(3), (ids, machines, dataCentres, held) => {
		const tolerance = {machines, dataCentres};
		const all = ids.map(archiveId => archiveOf(archiveId));
		const holders = all.slice(0, held);
		const next = () => isEnough(holders, copiesFor(tolerance)) ? undefined : nextCopyTarget(all, holders, as<DataCentreId>('a'), tolerance);
		for (let target = next(); target; target = next()) {
			holders.push(target);
		}

		assert.equal(isEnough(holders, copiesFor(tolerance)), isEnough(all, copiesFor(tolerance)));
		assert.equal(new Set(holders).size, holders.length);
		assert.ok(holders.length <= Math.max(held, machines + 1) + dataCentres);
	}), {seed: 1, numRuns: 500});
});
