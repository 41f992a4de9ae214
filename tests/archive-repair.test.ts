/**
Repair of an archive that has lost turns: what it copies from others, and when it counts as complete again.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {type ArchiveRepairLink, type InventoryPage, type ListedArchive} from '../src/contracts/archive.js';
import {
	as, type Address, type AttemptId, type DataCentreId, type InstanceId, type Milliseconds,
} from '../src/contracts/id.js';
import {type TurnRecord} from '../src/contracts/turn.js';
import {repairArchive} from '../src/machines/archive-repair/archive-repair.js';
import {walkInventories} from '../src/machines/archive-repair/inventory-walk.js';
import {findMissingTurns, joinInventories} from '../src/machines/archive-repair/missing-turns.js';
import {type ArchiveRepairEvent} from '../src/machines/archive-repair/repair-event.js';
import {type TurnStore} from '../src/machines/turn-store/turn-store.js';
import {
	createMachine, keepAll, type Machine, name, plain, recordOf, retentionMs, usedRecord,
} from './fixtures/turn-machine.js';

function archiveOf(id: string): ListedArchive {
	return {
		id: as<InstanceId>(id), address: as<Address>(id), dataCentre: as<DataCentreId>(id.slice(0, 1)), state: 'serving',
	};
}

const whole = Infinity;
const held = (turn: string, extent = whole, isSynced = true) => ({
	turn: name(turn), extent, isSynced, remaining: as<Milliseconds>(retentionMs),
});

test('turns are missing whose longest record neither the archive nor enough others hold', () => {
	const [b, c, d] = ['b1', 'c1', 'd1'].map(id => archiveOf(id));
	assert.ok(b && c && d);
	const own = new Map([[name('own'), whole], [name('short'), 3]]);
	const missing = findMissingTurns(joinInventories([
		{archive: b, turns: [held('enough'), held('one'), held('own'), held('partial', 5), held('short', 3), held('unsynced')]},
		{archive: c, turns: [held('enough'), held('partial', 7), held('short', 4), held('unsynced', whole, false)]},
		{archive: d, turns: [held('partial', 5)]},
	]), turn => own.get(turn), {copies: 2, dataCentres: 2});
	assert.deepEqual(missing.map(({turn, extent, sources}) => [turn, extent, sources.map(({id}) => id)]), [
		['one', whole, ['b1']],
		['partial', 7, ['c1']],
		['short', 4, ['c1']],
		['unsynced', whole, ['b1', 'c1']],
	]);
});

/** A link to archives that hold turns, in pages of a size. */
function pagesOf(turnsOf: ReadonlyMap<Address, readonly AttemptId[]>, size: number): Pick<ArchiveRepairLink, 'inventory'> {
	return {
		async inventory(address, after) {
			const turns = (turnsOf.get(address) ?? []).filter(turn => after === undefined || turn > after).toSorted((left, right) => left < right ? -1 : 1);
			const page = turns.slice(0, size).map(turn => held(turn));
			return {turns: page, isLast: turns.length <= size, isComplete: true};
		},
	};
}

function neverDoubt({id}: ListedArchive, reason: string): void {
	assert.ok(false, `${id}: ${reason}`);
}

// Guards against turns of which some holders are not known yet when they are judged.
test('a walk yields each turn once, with all archives that hold it', async () => {
	const ids = ['a1', 'b1', 'b2', 'c1'];
	const sets = fc.array(fc.uniqueArray(fc.string({unit: fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f'), minLength: 1, maxLength: 3}), {maxLength: 30}), {minLength: ids.length, maxLength: ids.length});
	await fc.assert(fc.asyncProperty(sets, fc.integer({min: 1, max: 7}), async (turns, size) => {
		const archives = ids.map(id => archiveOf(id));
		const turnsOf = new Map(archives.map(({address}, index) => [address, (turns[index] ?? []).map(turn => name(turn))]));
		const seen = new Map<AttemptId, string>();
		for await (const inventories of walkInventories({archives, link: pagesOf(turnsOf, size), onDoubt: neverDoubt})) {
			for (const turn of new Set(inventories.flatMap(inventory => inventory.turns.map(entry => entry.turn)))) {
				assert.ok(!seen.has(turn));
				seen.set(turn, inventories.filter(inventory => inventory.turns.some(entry => entry.turn === turn)).map(({archive}) => archive.id).join(','));
			}
		}

		const holdersOf = (turn: AttemptId) => archives.filter(({address}) => turnsOf.get(address)?.includes(turn)).map(({id}) => id).join(',');
		const expected = new Map([...turnsOf.values()].flat().map(turn => [turn, holdersOf(turn)]));
		assert.deepEqual(seen, expected);
	}), {seed: 1, numRuns: 200});
});

// Guards against a walk without an end, and against a proof from pages that leave out turns.
test('an archive whose pages are out of order, do not advance or stop coming is in doubt and no longer asked', async () => {
	const pages: ReadonlyArray<readonly [string, InventoryPage | undefined, InventoryPage | undefined]> = [
		['out of order', {turns: [held('b'), held('a')], isLast: true, isComplete: true}, undefined],
		['empty, but not the last', {turns: [], isLast: false, isComplete: true}, undefined],
		['the same again', {turns: [held('a')], isLast: false, isComplete: true}, {turns: [held('a')], isLast: false, isComplete: true}],
		['silent', {turns: [held('a')], isLast: false, isComplete: true}, undefined],
	];
	for (const [fault, ...answers] of pages) {
		const doubts: string[] = [];
		let asked = 0;
		const walk = walkInventories({
			archives: [archiveOf('b1')],
			link: {inventory: async () => answers[asked++]},
			onDoubt({id}) {
				doubts.push(id);
			},
		});
		for await (const inventories of walk) {
			assert.ok(inventories.length <= 1);
		}

		assert.deepEqual(doubts, ['b1'], fault);
		assert.ok(asked <= 2);
	}
});

type Other = {readonly machine: Machine; readonly store: TurnStore; state: 'answering' | 'silent'; copies: number};

/** An archive `a1` that has lost its disk, with two others that hold what they are given, each in its own data centre. */
async function createScene(records: Readonly<Record<string, readonly TurnRecord[]>>) {
	const machine = createMachine();
	const others = new Map<string, Other>();
	for (const [id, held] of Object.entries(records)) {
		const other = createMachine({clock: machine.clock});
		const otherStore = await other.start(true);
		await keepAll(other, otherStore, held);
		others.set(id, {
			machine: other, store: otherStore, state: 'answering', copies: 0,
		});
	}

	// The disk of this one is empty, and the system has been started before.
	const store = await machine.start();

	/** What an archive replies. */
	async function reply<Value>(address: Address, answer: (other: Other) => Promise<Value>): Promise<Value | undefined> {
		const other = others.get(address);
		return other?.state === 'answering' ? answer(other) : undefined;
	}

	const events: ArchiveRepairEvent[] = [];
	const stop = new AbortController();
	void repairArchive({
		own: archiveOf('a1'),
		store,
		link: {
			inventory: async (address, after) => reply(address, async other => other.store.inventory(after)),
			async copies(address, turns) {
				return reply(address, async other => {
					other.copies++;
					return other.store.copies(turns);
				});
			},
		},
		list: async () => ({kind: 'listed', archives: ['a1', ...others.keys()].map(id => archiveOf(id)), isWhole: true}),
		tolerance: {machines: 1, dataCentres: 1},
		startedAt: machine.clock.now(),
		clock: machine.clock,
		onEvent(event) {
			events.push(event);
		},
	}, stop.signal);
	return {
		machine, store, events, stop,
		other: (id: string) => others.get(id) ?? assert.fail(id),
		passes: () => events.filter(event => event.kind === 'passed').length,
	};
}

test('an archive without its disk is complete two seconds after its start, with every turn that too few others hold, of any kind', async () => {
	const records = [recordOf('one'), recordOf('two', {previous: 'one'}), recordOf('broken', {lastEvent: 4}), usedRecord('program', 700)];
	const scene = await createScene({b1: records, c1: [recordOf('one'), usedRecord('program', 500)]});
	await scene.machine.clock.advance(1000);
	assert.equal(scene.store.isComplete(), false);
	await scene.machine.clock.advance(1000);
	assert.equal(scene.store.isComplete(), true);
	assert.deepEqual(scene.store.inventory(undefined).turns.map(({turn}) => turn).toSorted(), [usedRecord('program', 700).turn, name('broken'), name('two')].toSorted());
	const copied = await scene.machine.after(scene.store.read(name('two')));
	assert.deepEqual(plain(copied && {...copied, retention: as<Milliseconds>(retentionMs)}), plain(recordOf('two', {previous: 'one'})));
	assert.equal(scene.store.used().records[0]?.content.tokens, 700);
	assert.ok(scene.store.used().isComplete);
	const finished = scene.events.find(event => event.kind === 'finished');
	assert.deepEqual([finished?.copied, finished?.isRecorded], [3, true]);
});

// Guards against a start that takes what an earlier one has repaired for lost.
test('a repaired archive is complete after a loss of power, without a new turn', async () => {
	const scene = await createScene({b1: [recordOf('one')], c1: []});
	await scene.machine.clock.advance(2000);
	scene.machine.disk.crash();
	const next = await scene.machine.start();
	assert.ok(next.isComplete());
	assert.ok(next.holds(name('one')));
});

test('an archive stays in doubt as long as one more does, and is complete soon after that one is back', async () => {
	const scene = await createScene({b1: [recordOf('one')], c1: [recordOf('two')]});
	scene.other('c1').state = 'silent';
	await scene.machine.clock.advance(10_000);
	assert.equal(scene.store.isComplete(), false);
	assert.ok(scene.store.holds(name('one')));
	assert.ok(scene.passes() >= 5 && scene.passes() <= 20);
	scene.other('c1').state = 'answering';
	await scene.machine.clock.advance(1000);
	assert.equal(scene.store.isComplete(), true);
	assert.ok(scene.store.holds(name('two')));
	assert.equal(scene.other('b1').copies, 1, 'what was copied is not copied again');
});

// Guards against two archives that each take the other for the one that holds all copies.
test('an archive is not complete while another that lost its disk is not', async () => {
	const scene = await createScene({b1: [recordOf('one')], c1: []});
	const other = scene.other('c1');
	other.machine.disk.replace();
	const empty = await other.machine.start();
	Object.assign(other, {store: empty});
	await scene.machine.clock.advance(10_000);
	assert.equal(scene.store.isComplete(), false);
	const doubts = scene.events.findLast(event => event.kind === 'passed')?.doubts;
	assert.deepEqual(doubts, [{archive: 'c1', reason: 'it may have lost turns'}]);
});

test('a repair that finds no proof ends when what was lost has expired', async () => {
	const scene = await createScene({b1: [recordOf('one')], c1: []});
	scene.other('b1').state = 'silent';
	await scene.machine.clock.advance(160_000);
	assert.equal(scene.store.isComplete(), true);
	const passes = scene.passes();
	await scene.machine.clock.advance(10_000);
	assert.equal(scene.passes(), passes);
});

test('a repair ends with its process', async () => {
	const scene = await createScene({b1: [], c1: []});
	scene.other('b1').state = 'silent';
	await scene.machine.clock.advance(3000);
	scene.stop.abort();
	const passes = scene.passes();
	await scene.machine.clock.advance(5000);
	assert.ok(scene.passes() <= passes + 1);
	assert.equal(scene.store.isComplete(), false);
});

// Guards against turns that live for ever, copied from archive to archive.
test('a copy has the retention that the record had left', async () => {
	const machine = createMachine();
	const store = await machine.start(true);
	await keepAll(machine, store, [recordOf('one')]);
	await machine.clock.advance(40_000);
	const {records} = await machine.after(store.copies([name('one'), name('absent')]));
	assert.equal(records.length, 1);
	const retention = records[0]?.retention ?? as<Milliseconds>(0);
	assert.ok(retention <= retentionMs - 40_000 && retention > retentionMs - 41_000);
});

test('copies and inventories are split into replies of a bounded size', async () => {
	const machine = createMachine();
	const store = await machine.start(true);
	const names = Array.from({length: 12}, (_, index) => `turn-${index}`);
	await keepAll(machine, store, names.map(turn => recordOf(turn, {inputBytes: 300_000})));
	const {read, records} = await machine.after(store.copies(names.map(turn => name(turn))));
	assert.ok(read > 1 && read < names.length);
	assert.equal(records.length, read);
	await keepAll(machine, store, Array.from({length: 1500}, (_, index) => recordOf(`${'n'.repeat(100)}${index}`)));
	const page = store.inventory(undefined);
	assert.equal(page.isLast, false);
	assert.ok(page.turns.length < 1000);
	const last = page.turns.at(-1);
	const next = store.inventory(last?.turn);
	assert.ok(last && next.turns.every(({turn}) => turn > last.turn));
});
