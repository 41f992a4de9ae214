/**
Looking up the chain that a turn continues: how many reads it takes, how parts at several archives are put together, and when a
turn counts as unknown, which ends the caller's program.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {type ListedArchive} from '../src/contracts/archive.js';
import {
	as, type Address, type DataCentreId, type InstanceId, type Milliseconds,
} from '../src/contracts/id.js';
import {copiesFor} from '../src/contracts/tolerance.js';
import {isProvenWithout, isEnough} from '../src/zones/conversations/copy-placement.js';
import {
	addInstance, bodyOf, type ConversationScene, createConversationScene, holdersOf, keepTurn, openTurn, putRecords, reasonsOf, recordOf, textOf, timed,
} from './fixtures/conversation-scene.js';
import {type FakeArchive, turnWith} from './fixtures/fake-archives.js';

const small = ['a1', 'b1', 'c1', 'd1'];

test('a chain in the own data centre is found with one read, one in another data centre with one read there', async () => {
	const scene = await createConversationScene(small);
	await keepTurn(scene, turnWith('one'));
	await keepTurn(scene, turnWith('two', 'one'));
	for (const dataCentre of ['a', 'b', 'c', 'd']) {
		const other = await addInstance(scene, `${dataCentre}0`);
		const before = new Map(scene.archives.all().map(({id, reads}) => [id, reads.length]));
		const opened = await openTurn(other, turnWith('three', 'two'));
		assert.equal(bodyOf(opened), `${textOf('one')}${textOf('two')}<three>`);
		const asked = scene.archives.all().filter(({id, reads}) => reads.length > (before.get(id) ?? 0)).map(({id}) => id);
		const hasLocalCopy = holdersOf(scene, 'two').includes(`${dataCentre}1`);
		assert.ok(asked.includes(`${dataCentre}1`));
		assert.equal(asked.length, hasLocalCopy ? 1 : 2, `asked ${asked.join(', ')}`);
	}
});

test('a chain whose turns lie at several archives is put together', async () => {
	const scene = await createConversationScene(small);
	putRecords(scene, 'b1', recordOf('one'));
	putRecords(scene, 'c1', recordOf('two', 'one'));
	putRecords(scene, 'a1', recordOf('three', 'two'), recordOf('four', 'three'));
	// An archive whose records do not continue each other is not trusted beyond the first.
	putRecords(scene, 'd1', recordOf('three', 'two'));
	scene.archives.archive('d1').records.set('two', recordOf('another'));
	const opened = await openTurn(scene, turnWith('five', 'four'));
	assert.equal(bodyOf(opened), `${['one', 'two', 'three', 'four'].map(name => textOf(name)).join('')}<five>`);
});

test('a chain is found while an archive that holds it is down, after 60 ms at most', async () => {
	const scene = await createConversationScene(small);
	const other = await addInstance(scene, 'b0');
	await keepTurn(other, turnWith('one'));
	for (const id of holdersOf(scene, 'one')) {
		const reader = await addInstance(scene, 'a0');
		scene.archives.archive(id).state = 'hanging';
		const {value, took} = await timed(scene.clock, reader.node.conversations.open(turnWith('two', 'one')));
		scene.archives.archive(id).state = 'answering';
		assert.equal(bodyOf(value), `${textOf('one')}<two>`);
		assert.ok(took < 130, `found after ${took} ms`);
	}
});

test('a turn that no listed archive has is unknown; the output of a stream that broke off is no turn', async () => {
	const scene = await createConversationScene(small);
	putRecords(scene, 'a1', recordOf('one', undefined, {content: {kind: 'partial', lastEvent: 1, output: Buffer.from('a\n')}}));
	const opened = await openTurn(scene, turnWith('two', 'one'));
	assert.equal(opened.kind, 'unknown-turn');
	assert.deepEqual(scene.node.events.flatMap(event => event.kind === 'unknown' ? [event.proof, ...event.archives] : []), ['all-archives', ...small]);
});

/** Makes archives fail in a way. */
const change = (ids: readonly string[], fault: Partial<FakeArchive>) => ({archives}: ConversationScene) => {
	for (const id of ids) {
		Object.assign(archives.archive(id), fault);
	}
};

/** The same for one that the instance does not know yet, and one that it knows. */
const addFaulty = (fault: Partial<FakeArchive>) => (scene: ConversationScene) => {
	scene.archives.add('e1');
	change(['c1', 'e1'], fault)(scene);
};

// Each takes one part of the proof away. A caller that got 404 for a turn that is kept would end its program.
const doubts: ReadonlyArray<readonly [name: string, reason: string, apply: (scene: ConversationScene) => unknown]> = [
	['as many archives hang as hold a turn', 'archives-silent', change(['c1', 'd1'], {state: 'hanging'})],
	['as many archives still read their disks', 'archives-silent', change(['c1', 'd1'], {state: 'starting'})],
	['as many archives came back with empty disks', 'archives-incomplete', change(['c1', 'd1'], {isComplete: false})],
	['one archive hangs and another came back with an empty disk', 'archives-silent', ({archives}) => [Object.assign(archives.archive('c1'), {state: 'hanging'}), Object.assign(archives.archive('d1'), {isComplete: false})]],
	['the store does not answer', 'registry-unavailable', ({node}) => Object.assign(node, {storeAccess: 'silent'})],
	['an entry in the store is invalid', 'registry-unavailable', ({archives}) => archives.store.put('hickoryfork-archives', 'e1', {address: 7})],
	['one archive hangs, and one that the instance did not know', 'archives-silent', addFaulty({state: 'hanging'})],
	['one archive is incomplete, and one that the instance did not know', 'archives-incomplete', addFaulty({isComplete: false})],
	['the instance reaches no archive', 'archives-silent', ({node}) => node.unreachable.add('a1').add('b1').add('c1').add('d1')],
	['the instance reaches its own data centre only', 'archives-silent', ({node}) => node.unreachable.add('b1').add('c1').add('d1')],
];

for (const [name, reason, apply] of doubts) {
	test(`a turn that no archive has is not unknown if ${name}`, async () => {
		const scene = await createConversationScene(small);
		apply(scene);
		const opened = await openTurn(scene, turnWith('two', 'one'));
		assert.ok(opened.kind === 'unavailable');
		assert.ok(opened.retryAfter > 0);
		assert.deepEqual(reasonsOf(scene.node), [reason]);
	});
}

// Guards against 503 for each turn that does not exist, as long as one machine is down or has lost its disk.
const tolerated: ReadonlyArray<readonly [name: string, apply: (scene: ConversationScene) => unknown]> = [
	['one archive hangs', change(['c1'], {state: 'hanging'})],
	['one archive still reads its disk', change(['c1'], {state: 'starting'})],
	['one archive came back with an empty disk', change(['c1'], {isComplete: false})],
];

for (const [name, apply] of tolerated) {
	test(`a turn that no archive has is unknown although ${name}, as a kept turn has a copy elsewhere`, async () => {
		const scene = await createConversationScene(small);
		await keepTurn(scene, turnWith('one'));
		apply(scene);
		const opened = await openTurn(scene, turnWith('three', 'two'));
		assert.equal(opened.kind, 'unknown-turn');
		assert.equal(bodyOf(await openTurn(scene, turnWith('two', 'one'))), `${textOf('one')}<two>`);
	});
}

// Guards against a proof that misses a record all of whose copies are at archives in doubt.
test('whatever is kept at enough archives is known if all is known', () => {
	const archives = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'].map((id): ListedArchive => ({
		id: as<InstanceId>(id), address: as<Address>(id), dataCentre: as<DataCentreId>(id.slice(0, 1)), state: 'serving',
	}));
	const subsets = Array.from({length: 2 ** archives.length}, (_, bits) => archives.filter((_archive, index) => Math.floor(bits / (2 ** index)) % 2 === 1));
	for (const tolerance of [{machines: 1, dataCentres: 0}, {machines: 1, dataCentres: 1}, {machines: 2, dataCentres: 1}, {machines: 0, dataCentres: 0}]) {
		const required = copiesFor(tolerance);
		for (const untold of subsets.filter(subset => isProvenWithout(subset, required))) {
			for (const copies of subsets.filter(subset => isEnough(subset, required))) {
				assert.ok(copies.some(archive => !untold.includes(archive)));
			}
		}

		// The losses that are tolerated leave no doubt.
		assert.ok(subsets.filter(subset => subset.length <= tolerance.machines).every(subset => isProvenWithout(subset, required)));
	}
});

test('a search ends when the caller no longer waits', async () => {
	const scene = await createConversationScene(small);
	scene.node.unreachable.add('a1').add('b1').add('c1').add('d1');
	const {value, took} = await timed(scene.clock, scene.node.conversations.open(turnWith('two', 'one', {timeLeft: as<Milliseconds>(120)})));
	assert.equal(value.kind, 'unavailable');
	assert.ok(took <= 121, `ended after ${took} ms`);
});

// Guards against proving with the stale list that a turn does not exist.
test('a turn is found at an archive that only a consistent read of the store lists', async () => {
	const scene = await createConversationScene(small);
	scene.archives.add('e1');
	putRecords(scene, 'e1', recordOf('one'));
	const opened = await openTurn(scene, turnWith('two', 'one'));
	assert.equal(bodyOf(opened), `${textOf('one')}<two>`);
});

// Guards against a turn that moves, while it is searched, from an archive that is not asked to one that was asked before.
test('a turn is found that an archive which has left copied to another one during the search', async () => {
	const scene = await createConversationScene(small);
	scene.archives.add('e1').state = 'hanging';
	scene.archives.list('e1', 'left');
	const opening = scene.node.conversations.open(turnWith('two', 'one'));
	await scene.clock.advance(5);
	putRecords(scene, 'a1', recordOf('one'));
	const {value} = await timed(scene.clock, opening);
	assert.equal(bodyOf(value), `${textOf('one')}<two>`);
});

test('an archive that has left does not stand in the way of the proof, nor one that is leaving once its turns have expired', async () => {
	const gone = await createConversationScene([...small, 'e1']);
	gone.archives.archive('e1').state = 'hanging';
	gone.archives.list('e1', 'left');
	await gone.clock.advance(7000);
	const opened = await openTurn(gone, turnWith('two', 'one'));
	assert.equal(opened.kind, 'unknown-turn');
	const scene = await createConversationScene(small);
	scene.archives.list('d1', 'leaving');
	await scene.clock.advance(7000);
	// With one more in doubt, what this one may have had is missing in the proof.
	change(['c1', 'd1'], {state: 'hanging'})(scene);
	const before = await openTurn(scene, turnWith('two', 'one'));
	await scene.clock.advance(121_000);
	const after = await openTurn(scene, turnWith('three', 'one'));
	assert.deepEqual([before.kind, after.kind], ['unavailable', 'unknown-turn']);
});

// A turn that exists must not be answered as unknown because one before it has expired.
test('a chain with a gap is unavailable, not unknown', async () => {
	const scene = await createConversationScene(small);
	putRecords(scene, 'a1', recordOf('two', 'one'));
	const opened = await openTurn(scene, turnWith('three', 'two'));
	assert.equal(opened.kind, 'unavailable');
	assert.deepEqual(reasonsOf(scene.node), ['gap-in-chain']);
});

for (const [where, isCached] of [['an archive', false], ['the cache', true]] as const) {
	test(`a turn of another workspace from ${where} is unknown`, async () => {
		const scene = await createConversationScene(small);
		await keepTurn(scene, turnWith('one', undefined, {workspaceName: 'north'}));
		const reader = isCached ? scene : await addInstance(scene, 'a9');
		const foreign = await openTurn(reader, turnWith('two', 'one', {workspaceName: 'south'}));
		const own = await openTurn(reader, turnWith('three', 'one', {workspaceName: 'north'}));
		assert.equal(foreign.kind, 'unknown-turn');
		assert.equal(bodyOf(own), `${textOf('one')}<three>`);
	});
}

test('a turn that was kept before there were workspaces is neither unknown nor served', async () => {
	const scene = await createConversationScene(small);
	await keepTurn(scene, turnWith('one'));
	const opened = await openTurn(scene, turnWith('two', 'one', {workspaceName: 'north'}));
	assert.equal(opened.kind, 'unavailable');
	assert.deepEqual(reasonsOf(scene.node), ['workspace-unclear']);
});

test('proofs share their consistent reads of the store, of which there are at most four in a second', async () => {
	const scene = await createConversationScene(small);
	await scene.clock.advance(1000);
	const before = scene.node.storeCalls();
	const opening = [];
	for (let request = 0; request < 200; request++) {
		opening.push(scene.node.conversations.open(turnWith(`two-${request}`, `one-${request}`)));
		await scene.clock.advance(10);
	}

	await scene.clock.advance(1000);
	const opened = await Promise.all(opening);
	assert.ok(opened.every(({kind}) => kind === 'unknown-turn'));
	assert.ok(scene.node.storeCalls() - before <= 9, `${scene.node.storeCalls() - before} calls in 2 s`);
});

test('a conversation that is too long is refused for good, and holds no memory', async () => {
	const scene = await createConversationScene(small);
	const names = Array.from({length: 257}, (_, index) => `turn-${index}`);
	putRecords(scene, 'a1', ...names.map((name, index) => recordOf(name, names[index - 1])));
	const many = await openTurn(scene, turnWith('next', names.at(-1)));
	putRecords(scene, 'a1', recordOf('large', undefined, {content: {kind: 'whole', input: Buffer.alloc(4_200_000), output: Buffer.alloc(0)}}));
	const large = await openTurn(scene, turnWith('after', 'large'));
	assert.deepEqual([many.kind, large.kind], ['too-long', 'too-long']);
	assert.equal(scene.node.conversations.gauges().turnMemoryBytes, 0);
});

test('turns that do not fit into the memory are refused as not run until others have ended, and outputs are not kept', async () => {
	const scene = await createConversationScene(small);
	const megabyte = Buffer.alloc(1024 * 1024);
	putRecords(scene, 'a1', recordOf('large', undefined, {content: {kind: 'whole', input: megabyte, output: megabyte}}));
	const opened = [];
	for (let index = 0; index < 6; index++) {
		opened.push(await openTurn(scene, turnWith(`turn-${index}`, 'large')));
	}

	assert.deepEqual(opened.map(({kind}) => kind), ['opened', 'opened', 'opened', 'unavailable', 'unavailable', 'unavailable']);
	assert.deepEqual(new Set(reasonsOf(scene.node)), new Set(['memory']));
	const [first, second] = opened;
	assert.ok(first?.kind === 'opened' && second?.kind === 'opened');
	first.recorder.event(Buffer.alloc(3 * 1024 * 1024));
	const {value: isKept} = await timed(scene.clock, first.recorder.keep(as<Milliseconds>(5000)));
	assert.equal(isKept, false);
	second.recorder.close();
	await scene.clock.settle();
	const next = await openTurn(scene, turnWith('next', 'large'));
	assert.equal(next.kind, 'opened');
});

test('the cache stays within its bound and drops what was used least recently', async () => {
	const scene = await createConversationScene(small);
	const half = Buffer.alloc(512 * 1024);
	putRecords(scene, 'a1', ...Array.from({length: 20}, (_, index) => recordOf(`turn-${index}`, undefined, {content: {kind: 'whole', input: half, output: Buffer.alloc(0)}})));
	for (let index = 0; index < 20; index++) {
		const opened = await openTurn(scene, turnWith(`next-${index}`, `turn-${index}`));
		assert.ok(opened.kind === 'opened');
		opened.recorder.close();
		const again = await openTurn(scene, turnWith(`again-${index}`, 'turn-0'));
		assert.ok(again.kind === 'opened');
		again.recorder.close();
	}

	const {reads} = scene.archives.archive('a1');
	assert.ok((scene.node.conversations.gauges().cachedTurnBytes ?? 0) <= 8 * 1024 * 1024);
	assert.equal(reads.filter(turn => turn === 'turn-0').length, 1);
	reads.length = 0;
	await openTurn(scene, turnWith('last', 'turn-1'));
	assert.deepEqual(reads, ['turn-1']);
});
