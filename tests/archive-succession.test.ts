/**
Machines with disks that are removed for good, and others that take their place: turns keep enough copies, and the silence of a machine
that is gone leaves no doubts.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {as, type Address, type Milliseconds} from '../src/contracts/id.js';
import {createArchiveFleet} from './fixtures/archive-fleet.js';
import {recordOf} from './fixtures/turn-machine.js';

const turns = Array.from({length: 30}, (_, index) => `turn-${index}`);

/** Time from the start of a machine until others may be lost: `CatchUpS` of the deployments. */
const catchUpMs = 6000;

/** Four archives, of which the first two hold all turns: one machine may be lost, or a data centre. */
async function createScene(ids: readonly string[] = ['a1', 'b1', 'c1', 'd1']) {
	const fleet = await createArchiveFleet({ids, tolerance: {machines: 1, dataCentres: 1}});

	async function keepAt(id: string, kept: readonly string[]): Promise<void> {
		for (const turn of kept) {
			await fleet.keepAt(recordOf(turn), id);
		}
	}

	await keepAt('a1', turns);
	await keepAt('b1', turns);
	return {
		...fleet,
		keepAt,
		held: (id: string, kept = turns) => kept.filter(turn => fleet.holders(turn).includes(id)).length,
		successions: () => fleet.ids().flatMap(id => fleet.events(id).flatMap(event => event.kind === 'succession' ? [event.succession] : [])),
		/** Archives that were registered as presumed gone. */
		presumed() {
			return this.successions().flatMap(event => event.kind === 'presumed-gone' && event.isWritten ? [event.archive] : []);
		},
	};
}

// Guards against a machine that counts as one which has lost its disk, as it was not there at the first start.
test('an archive that is new is complete at once, and still is after a loss of power', async () => {
	const scene = await createScene();
	scene.cutOff.add('b1').add('c1').add('d1');
	await scene.add('a2');
	await scene.clock.advance(100);
	async function isComplete(): Promise<boolean> {
		const asking = scene.linkOf(() => true).used(as<Address>('a2'), as<Milliseconds>(100));
		await scene.clock.advance(100);
		const reply = await asking;
		return reply?.isComplete ?? false;
	}

	assert.ok(await isComplete());
	scene.losePower('a2');
	await scene.restore('a2');
	await scene.clock.advance(100);
	assert.ok(await isComplete());
});

test('an archive that takes the place of another holds copies in its place, and registers it as left, before others may be lost', async () => {
	const scene = await createScene();
	scene.remove('b1');
	await scene.clock.advance(1000);
	await scene.add('b2');
	await scene.clock.advance(catchUpMs);
	assert.equal(scene.held('b2'), turns.length);
	assert.equal(scene.state('b1'), 'presumed-gone');
	assert.deepEqual(scene.presumed(), ['b1']);
});

// A planned replacement starts the new machine before it ends the old one.
test('an archive that starts before the one that it replaces ends takes over once that one is gone', async () => {
	const scene = await createScene();
	await scene.add('b2');
	await scene.clock.advance(3000);
	const later = ['later-1', 'later-2'];
	await scene.keepAt('b1', later);
	await scene.keepAt('b2', later);
	assert.equal(scene.held('b2'), 0);
	scene.remove('b1');
	await scene.clock.advance(catchUpMs);
	assert.equal(scene.held('b2'), turns.length);
	assert.equal(scene.state('b1'), 'presumed-gone');
	// Of these the new one held a copy before, so another one had to take the second.
	assert.equal(scene.held('a1', later) + scene.held('c1', later) + scene.held('d1', later), later.length);
});

// It reaches the store all the time, and is not presumed gone twice.
test('an archive that was only cut off registers itself again, and is left in peace', async () => {
	const scene = await createScene();
	await scene.keepAt('c1', ['another']);
	scene.cutOff.add('c1');
	await scene.add('b2');
	await scene.clock.advance(catchUpMs);
	assert.deepEqual(scene.presumed(), ['c1']);
	assert.equal(scene.state('c1'), 'serving');
	await scene.clock.advance(20_000);
	assert.deepEqual(scene.presumed(), ['c1']);
	assert.equal(scene.state('c1'), 'serving');
});

test('an archive that comes back after it was registered as left registers itself again', async () => {
	const scene = await createScene();
	scene.losePower('c1');
	await scene.add('b2');
	await scene.clock.advance(catchUpMs);
	assert.equal(scene.state('c1'), 'presumed-gone');
	await scene.restore('c1');
	await scene.clock.advance(12_000);
	assert.equal(scene.state('c1'), 'serving');
});

// Guards against an archive on one side of a split that declares the other side gone.
test('nobody is registered as left while more are silent than may be lost', async () => {
	const scene = await createScene();
	await scene.add('b2');
	scene.cutOff.add('c1').add('d1');
	await scene.clock.advance(10_000);
	assert.deepEqual(scene.presumed(), []);
	assert.deepEqual([scene.state('c1'), scene.state('d1')], ['serving', 'serving']);
});

// Guards against copies that are counted at an archive which does not hold them any more.
test('nobody is registered as left while another archive may lack turns', async () => {
	const scene = await createScene(['a1', 'b1', 'c1', 'd1', 'd2']);
	scene.loseDisks('a1');
	await scene.restore('a1');
	scene.remove('b1');
	await scene.add('b2');
	await scene.clock.advance(catchUpMs);
	assert.deepEqual(scene.presumed(), []);
	assert.equal(scene.state('b1'), 'serving');
});

test('of two new archives, the one in the data centre of a machine that is gone takes over', async () => {
	const scene = await createScene();
	await scene.add('c2');
	await scene.add('b2');
	await scene.clock.advance(1000);
	scene.remove('b1');
	await scene.clock.advance(catchUpMs + 4000);
	assert.deepEqual(scene.presumed(), ['b1']);
	assert.deepEqual([scene.held('b2'), scene.held('c2')], [turns.length, 0]);
});

test('restarts and archives that are there from the first start watch nobody', async () => {
	const scene = await createScene();
	scene.loseDisks('a1');
	await scene.restore('a1');
	await scene.clock.advance(catchUpMs);
	assert.deepEqual(scene.successions(), []);
});
