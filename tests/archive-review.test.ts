/**
Copies that archives count on although they are about to go, and archives that are registered as left while they live. Each history
stays within the losses that the deployment tolerates.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type ArchiveRepairLink, type HeldTurn, type ListedArchive} from '../src/contracts/archive.js';
import {type Clock} from '../src/contracts/clock.js';
import {type DiskFile} from '../src/contracts/disk.js';
import {
	as, type Address, type AttemptId, type DataCentreId, type InstanceId, type Milliseconds,
} from '../src/contracts/id.js';
import {type TurnRecord} from '../src/contracts/turn.js';
import {repairArchive} from '../src/machines/archive-repair/archive-repair.js';
import {succeedArchives} from '../src/machines/archive-repair/succession.js';
import {createInventory} from '../src/machines/turn-store/inventory.js';
import {type IndexEntry} from '../src/machines/turn-store/turn-index.js';
import {type ArchiveFleet, createArchiveFleet} from './fixtures/archive-fleet.js';
import {createFakeClock} from './fixtures/fake-clock.js';
import {knownRed} from './fixtures/known-red.js';
import {recordOf, usedRecord} from './fixtures/turn-machine.js';

/** One machine or one data centre: two copies in two data centres. */
const tolerance = {machines: 1, dataCentres: 1};

/** Time from the start of a machine until others may be lost: `CatchUpS` of the deployments. */
const catchUpMs = 6000;

async function createFour(): Promise<ArchiveFleet> {
	return createArchiveFleet({ids: ['a1', 'b1', 'c1', 'd1'], tolerance});
}

/** The turn may be unavailable for now, but not unknown. */
async function assertNotUnknown(fleet: ArchiveFleet, turn: string): Promise<void> {
	const {kind} = await fleet.findChain(turn);
	assert.notEqual(kind, 'unknown', `${turn} was acknowledged`);
}

const repairBesideDrain = 'a turn outlasts the emptying of one of its archives while the other one loses its disk';

test(repairBesideDrain, knownRed(repairBesideDrain), async () => {
	const fleet = await createFour();
	await fleet.keepAt(recordOf('turn'), 'a1', 'b1');
	const drained = fleet.drain('b1');
	// The store takes the first registration of the emptied archive, then none of its writes for a while.
	await fleet.clock.advance(6);
	fleet.writeFaults.set('b1', 'refused');
	await fleet.clock.advance(500);
	fleet.loseDisks('a1');
	await fleet.clock.advance(1000);
	await fleet.restore('a1');
	await fleet.clock.advance(catchUpMs);
	fleet.writeFaults.delete('b1');
	await fleet.clock.advance(2000);
	await drained;
	assert.equal(fleet.state('b1'), 'left');
	fleet.remove('b1');
	const holders = fleet.holders('turn');
	fleet.loseDisks(...holders.slice(0, 1));
	await assertNotUnknown(fleet, 'turn');
	assert.ok(holders.length >= 2, `held at ${holders.join(', ')} only`);
});

const successionBesideDrain = 'a turn outlasts the emptying of one of its archives while a new one takes the place of the other';

test(successionBesideDrain, knownRed(successionBesideDrain), async () => {
	const fleet = await createFour();
	await fleet.keepAt(recordOf('turn'), 'a1', 'b1');
	const drained = fleet.drain('b1');
	await fleet.clock.advance(6);
	fleet.writeFaults.set('b1', 'refused');
	await fleet.clock.advance(500);
	fleet.remove('a1');
	await fleet.clock.advance(1000);
	await fleet.add('a2');
	await fleet.clock.advance(catchUpMs);
	assert.equal(fleet.state('a1'), 'presumed-gone');
	fleet.writeFaults.delete('b1');
	await fleet.clock.advance(2000);
	await drained;
	fleet.remove('b1');
	const holders = fleet.holders('turn');
	fleet.losePower(...holders.slice(0, 1));
	await assertNotUnknown(fleet, 'turn');
	assert.ok(holders.length >= 2, `held at ${holders.join(', ')} only`);
});

const twoDrains = 'a turn has enough copies after both of its archives were emptied at once while the store refused their first write';

test(twoDrains, knownRed(twoDrains), async () => {
	const fleet = await createArchiveFleet({ids: ['a1', 'b1', 'c1', 'd1', 'e1'], tolerance});
	const turns = Array.from({length: 10}, (_, index) => `turn-${index}`);
	for (const turn of turns) {
		await fleet.keepAt(recordOf(turn), 'a1', 'b1');
	}

	fleet.writeFaults.set('a1', 'refused').set('b1', 'refused');
	const drained = Promise.all([fleet.drain('a1'), fleet.drain('b1')]);
	await fleet.clock.advance(100);
	fleet.writeFaults.clear();
	await fleet.clock.advance(5000);
	await drained;
	fleet.remove('a1', 'b1');
	assert.deepEqual(turns.filter(turn => fleet.holders(turn).length < 2), []);
});

const unequalExpiry = 'a record that was kept twice outlasts a repair that finds the earlier copies, which expire first';

test(unequalExpiry, knownRed(unequalExpiry), async () => {
	const fleet = await createFour();
	await fleet.keepAt(usedRecord('program', 100), 'b1', 'c1');
	await fleet.clock.advance(100_000);
	await fleet.keepAt(usedRecord('program', 100), 'a1', 'd1');
	fleet.loseDisks('a1');
	await fleet.clock.advance(1000);
	await fleet.restore('a1');
	// The earlier copies have expired then; the later ones have not.
	await fleet.clock.advance(60_000);
	fleet.losePower('d1');
	const reading = await fleet.readUsedWithin(1000);
	assert.ok(!reading || reading.amounts.get('program') === 100, 'a reading counts that lacks an acknowledged record');
});

const leftAlive = 'a turn that an archive took while it was registered as left is not unknown when its other archive is down';

test(leftAlive, knownRed(leftAlive), async () => {
	const fleet = await createFour();
	// Reached by instances, but by no archive, and its writes do not reach the store: it cannot register itself again.
	fleet.cutOff.add('c1');
	fleet.writeFaults.set('c1', 'refused');
	await fleet.add('b2');
	await fleet.clock.advance(catchUpMs);
	assert.equal(fleet.state('c1'), 'presumed-gone');
	// An instance reads the list of archives every 4 to 6 seconds, and not while the store is away.
	await fleet.keepAt(recordOf('turn'), 'c1', 'a1');
	fleet.losePower('a1');
	await assertNotUnknown(fleet, 'turn');
});

const returnRefused = 'an archive that was cut off serves again although the store refused a write meanwhile';

test(returnRefused, knownRed(returnRefused), async () => {
	const fleet = await createFour();
	fleet.cutOff.add('c1');
	fleet.writeFaults.set('c1', 'refused');
	await fleet.add('b2');
	await fleet.clock.advance(catchUpMs);
	assert.equal(fleet.state('c1'), 'presumed-gone');
	fleet.cutOff.delete('c1');
	fleet.writeFaults.set('b2', 'refused');
	await fleet.clock.advance(2000);
	fleet.writeFaults.clear();
	await fleet.clock.advance(90_000);
	assert.equal(fleet.state('c1'), 'serving');
});

const leavingDoubtful = 'an archive that was cut off serves again although the answer to its registration as left was lost';

test(leavingDoubtful, knownRed(leavingDoubtful), async () => {
	const fleet = await createFour();
	fleet.cutOff.add('c1');
	fleet.writeFaults.set('c1', 'refused');
	await fleet.add('b2');
	await fleet.clock.advance(100);
	fleet.writeFaults.set('b2', 'answer-lost');
	await fleet.clock.advance(catchUpMs);
	assert.equal(fleet.state('c1'), 'presumed-gone');
	fleet.writeFaults.clear();
	fleet.cutOff.delete('c1');
	await fleet.clock.advance(90_000);
	assert.equal(fleet.state('c1'), 'serving');
});

const drainedSuccessor = 'a new archive that has been emptied takes no copies and registers nobody as left on the strength of its own';

test(drainedSuccessor, knownRed(drainedSuccessor), async () => {
	const fleet = await createFour();
	await fleet.keepAt(recordOf('turn'), 'a1', 'c1');
	await fleet.add('b2');
	await fleet.clock.advance(2000);
	const drained = fleet.drain('b2');
	await fleet.clock.advance(1000);
	await drained;
	assert.equal(fleet.state('b2'), 'left');
	fleet.remove('c1');
	await fleet.clock.advance(catchUpMs);
	// The machine that has been emptied is taken away.
	fleet.remove('b2');
	fleet.losePower('a1');
	await assertNotUnknown(fleet, 'turn');
});

const returnDuringPass = 'an archive that is back before it was presumed gone goes on serving, and what it takes is not unknown';

test(returnDuringPass, knownRed(returnDuringPass), async () => {
	const fleet = await createFour();
	const turns = Array.from({length: 100}, (_, index) => `turn-${index}`);
	for (const turn of turns) {
		await fleet.keepAt(recordOf(turn, {inputBytes: 100_000}), 'a1', 'c1');
	}

	await fleet.add('b2');
	await fleet.clock.advance(500);
	fleet.losePower('c1');
	// Copies take their time on the way.
	fleet.latency = id => id === 'a1' ? 100 : 1;
	const isPassing = () => turns.some(turn => fleet.holders(turn).includes('b2'));
	for (let passed = 0; passed < 6000 && !isPassing(); passed += 50) {
		await fleet.clock.advance(50);
	}

	assert.ok(isPassing());
	await fleet.restore('c1');
	await fleet.clock.advance(500);
	assert.equal(fleet.state('c1'), 'serving');
	await fleet.keepAt(recordOf('a-turn'), 'c1', 'd1');
	for (let passed = 0; passed < 6000; passed += 10) {
		await fleet.clock.advance(10);
		assert.equal(fleet.state('c1'), 'serving');
	}

	fleet.losePower('d1');
	await assertNotUnknown(fleet, 'a-turn');
});

const largeTurns = 'a new archive spreads large turns, and registers an archive that is gone as left';

test(largeTurns, knownRed(largeTurns), async () => {
	const fleet = await createFour();
	await fleet.add('b2');
	await fleet.clock.advance(500);
	const turns = Array.from({length: 100}, (_, index) => `turn-${index}`);
	for (const turn of turns) {
		await fleet.keepAt(recordOf(turn, {inputBytes: 200_000}), 'b2', 'c1');
	}

	fleet.remove('c1');
	await fleet.clock.advance(4 * catchUpMs);
	assert.deepEqual(turns.filter(turn => fleet.holders(turn).length < 2), []);
	assert.equal(fleet.state('c1'), 'presumed-gone');
});

/** Empties an archive that is in doubt, as another one is off. Returns the scene with the archive still waiting. */
async function emptyInDoubt(stored: readonly string[]): Promise<ArchiveFleet> {
	const fleet = await createFour();
	for (const id of stored) {
		await fleet.keepAt(recordOf(`earlier at ${id}`), id);
	}

	fleet.losePower('d1');
	fleet.loseDisks('a1');
	await fleet.clock.advance(1000);
	await fleet.restore('a1');
	await fleet.clock.advance(2000);
	void fleet.drain('a1');
	await fleet.clock.advance(2000);
	return fleet;
}

const leavingInDoubt = 'an archive that is to be emptied is registered as leaving while it still waits for the end of its repair';

test(leavingInDoubt, knownRed(leavingInDoubt), async () => {
	const fleet = await emptyInDoubt([]);
	const refused = await Promise.race([fleet.send(recordOf('turn'), 'a1'), fleet.clock.advance(1000).then(() => undefined)]);
	assert.equal(refused?.kind, 'refused');
	assert.equal(fleet.state('a1'), 'leaving');
});

for (const [other, stored] of [['that has stored turns', ['d1']], ['that has never stored anything', []]] as const) {
	const leavesAfterDoubt = `an archive that is to be emptied in doubt leaves soon after another one ${other} is back`;
	test(leavesAfterDoubt, knownRed(leavesAfterDoubt), async () => {
		const fleet = await emptyInDoubt(stored);
		await fleet.restore('d1');
		await fleet.clock.advance(catchUpMs);
		assert.equal(fleet.state('a1'), 'left');
	});
}

const pausedWatcher = 'a new archive that was paused between two questions takes nobody for silent';

test(pausedWatcher, knownRed(pausedWatcher), async () => {
	const time = createFakeClock();
	let pausedMs = 0;
	const clock: Clock = {...time, now: () => as<Milliseconds>(time.now() + pausedMs)};
	const registered: string[] = [];
	let questions = 0;
	const stop = new AbortController();
	const page = async () => ({turns: [], isLast: true, isComplete: true});
	const watching = succeedArchives({
		own: archiveOf('b2'),
		store: {
			inventory: () => ({turns: [], isLast: true, isComplete: true}), keep: async () => ({kind: 'kept'}), read: async () => undefined, syncedExtent: () => undefined,
		},
		link: {
			async holds() {
				questions++;
				if (questions < 3 || questions > 4) {
					return new Set();
				}

				// The third answer is late. During the fourth question this process stands still, and its timer goes before the answer.
				pausedMs += questions === 4 ? 4000 : 0;
				await time.sleep(as<Milliseconds>(500));
				return undefined;
			},
			copy: async () => ({stored: new Set(), reason: undefined}),
			inventory: page,
			copies: async () => undefined,
		},
		list: async () => ({kind: 'listed', archives: [archiveOf('a1')], isWhole: true}),
		async presumeGone({id}) {
			registered.push(id);
			return true;
		},
		tolerance,
		clock,
		onEvent: () => undefined,
	}, stop.signal);
	await time.advance(10_000);
	stop.abort();
	await time.advance(1000);
	await watching;
	assert.deepEqual(registered, []);
});

const silentEvent = 'the log names an archive that has fallen silent';

test(silentEvent, knownRed(silentEvent), async () => {
	const fleet = await createFour();
	await fleet.add('b2');
	await fleet.clock.advance(500);
	fleet.remove('c1');
	await fleet.clock.advance(catchUpMs);
	const silent = fleet.events('b2').flatMap(event => event.kind === 'succession' && event.succession.kind === 'silent' ? [event.succession.archive] : []);
	assert.deepEqual(silent, ['c1']);
});

const unreadableEntry = 'an archive in doubt is not complete while the entry of an archive that may hold the only copy cannot be read';

test(unreadableEntry, knownRed(unreadableEntry), async () => {
	const fleet = await createFour();
	await fleet.keepAt(recordOf('turn'), 'a1', 'b1');
	fleet.loseDisks('a1');
	await fleet.clock.advance(1000);
	// Written by a later build, say.
	fleet.putEntry('b1', {address: 'b1', dataCentre: 'b', state: 'resting'});
	await fleet.restore('a1');
	await fleet.clock.advance(catchUpMs);
	fleet.putEntry('b1', {address: 'b1', dataCentre: 'b', state: 'serving'});
	fleet.losePower('b1');
	await assertNotUnknown(fleet, 'turn');
});

function archiveOf(id: string): ListedArchive {
	return {
		id: as<InstanceId>(id), address: as<Address>(id), dataCentre: as<DataCentreId>(id.slice(0, 1)), state: 'serving',
	};
}

const refusedCopies = 'a repair whose own store refuses copies does not fetch the same records again and again';

test(refusedCopies, knownRed(refusedCopies), async () => {
	const clock = createFakeClock();
	const turns = Array.from({length: 128}, (_, index) => `turn-${String(index).padStart(3, '0')}`);
	const records = new Map<AttemptId, TurnRecord>(turns.map(turn => {
		const record = recordOf(turn, {inputBytes: 8000});
		return [record.turn, record];
	}));
	let fetched = 0;
	const link: ArchiveRepairLink = {
		async inventory() {
			return {
				turns: [...records.keys()].map((turn): HeldTurn => ({
					turn, extent: Infinity, isSynced: true, remaining: as<Milliseconds>(60_000),
				})), isLast: true, isComplete: true,
			};
		},
		async copies(_archive, asked) {
			fetched += asked.length;
			return {read: asked.length, records: asked.flatMap(turn => records.get(turn) ?? [])};
		},
	};
	const stop = new AbortController();
	const repairing = repairArchive({
		own: archiveOf('a1'),
		store: {
			isComplete: () => false, complete: async () => true, keep: async () => ({kind: 'refused', reason: 'the space for turns is used up'}), syncedExtent: () => undefined,
		},
		link,
		list: async () => ({kind: 'listed', archives: [archiveOf('b1')], isWhole: true}),
		tolerance,
		startedAt: clock.now(),
		clock,
		onEvent: () => undefined,
	}, stop.signal);
	await clock.advance(30_000);
	stop.abort();
	await clock.advance(1000);
	await repairing;
	assert.ok(fetched <= 4 * turns.length, `${fetched} records were fetched of ${turns.length}`);
});

const inventoryCost = 'the pages of a full index visit each entry a few times';

test(inventoryCost, knownRed(inventoryCost), () => {
	const unused = async () => assert.fail();
	const file: DiskFile = {
		read: unused, write: unused, sync: unused, close: async () => undefined,
	};
	const entry: IndexEntry = {
		segment: {
			number: 1, name: '', file, length: 0, bytes: 0, expiresAt: as<Milliseconds>(1), turns: [],
		},
		position: 0,
		length: 1,
		checksum: 0,
		extent: Infinity,
		expiresAt: as<Milliseconds>(1),
		used: undefined,
		isSynced: true,
	};
	// What 16 MB of index hold with names of 36 characters.
	const entries = Array.from({length: 60_000}, (_, index): readonly [AttemptId, IndexEntry] => [as<AttemptId>(String((index * 7919) % 60_000).padStart(36, '0')), entry]);
	const byName = new Map(entries);
	let visited = 0;
	function * visit() {
		for (const held of entries) {
			visited++;
			yield held;
		}
	}

	const inventory = createInventory({
		entries: visit,
		get(turn) {
			visited++;
			return byName.get(turn);
		},
		isComplete: () => true,
		clock: createFakeClock(),
	});
	let after: AttemptId | undefined;
	let pages = 0;
	for (let isLast = false; !isLast; pages++) {
		const page = inventory.page(after);
		({isLast} = page);
		after = page.turns.at(-1)?.turn;
	}

	assert.ok(visited <= 4 * entries.length, `${visited} visits of ${entries.length} entries for ${pages} pages`);
});
