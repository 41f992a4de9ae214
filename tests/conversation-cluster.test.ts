/**
Conversations on complete instances that share archives: turns of a program arrive anywhere, instances are killed, streams are
resumed elsewhere, and all memory is lost.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {as, type AttemptId, type Milliseconds} from '../src/contracts/id.js';
import {type RelayLink} from '../src/contracts/relay-attempt.js';
import {type RelayRequest} from '../src/contracts/relay-request.js';
import {createFakeArchives, type FakeArchives} from './fixtures/fake-archives.js';
import {type FakeClock} from './fixtures/fake-clock.js';
import {
	createRecordingCaller, type RecordingCaller, requestWith, routeWith, turn,
} from './fixtures/relay-harness.js';
import {createTablesCluster, type TablesCluster} from './fixtures/tables-cluster.js';

const ids = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'];
const eventGapMs = 30;
const eventCount = 5;

/** Data of all events of a turn, as they are in the bodies of the turns that continue it. */
const output = Array.from({length: eventCount}, (_, index) => `event ${index + 1}\n`).join('');

type Scene = {readonly cluster: TablesCluster; readonly archives: FakeArchives; readonly bodies: string[]};

/** Engines that stream a fixed number of events and note the bodies that they receive. */
function linkOf(clock: FakeClock, bodies: string[], isRunning: () => boolean): RelayLink {
	return {
		async send(attempt) {
			bodies.push(Buffer.from(attempt.request.body).toString());
			for (let id = (attempt.resumeAfter ?? 0) + 1; id <= eventCount; id++) {
				await clock.sleep(as<Milliseconds>(eventGapMs));
				if (!isRunning() || attempt.signal.aborted) {
					return {kind: 'cancelled'};
				}

				attempt.onHead({status: 200, headers: []});
				attempt.onEvent({id, bytes: Buffer.from(`id: ${id}\ndata: event ${id}\n\n`)});
			}

			return {kind: 'finished'};
		},
		canConnect: async () => true,
	};
}

async function createScene(keepsTurns = true, hasRecords = false): Promise<Scene> {
	const bodies: string[] = [];
	let archives: FakeArchives | undefined;
	const cluster = await createTablesCluster(ids, 1, {
		routes: [routeWith({
			isStream: true, repetition: 'resumable', maxEndpoints: 1, timeout: as<Milliseconds>(5000), keepsTurns,
		})],
		hasRecords,
		linkOf: (clock, _id, isRunning) => linkOf(clock, bodies, isRunning),
		archivesOf(clock, store) {
			archives ??= createFakeArchives(clock, ['a8', 'b8', 'c8'], store);
			return archives.linkOf(() => true);
		},
	});
	assert.ok(archives);
	return {cluster, archives, bodies};
}

function requestOf(name: string, previous?: string, parts: Partial<RelayRequest> = {}): RelayRequest {
	return requestWith({
		...turn, attempt: as<AttemptId>(name), previousTurn: previous === undefined ? undefined : as<AttemptId>(previous), body: Buffer.from(`<${name}>`), timeLeft: as<Milliseconds>(5000), ...parts,
	});
}

async function serve({cluster}: Scene, instance: string, request: RelayRequest): Promise<RecordingCaller> {
	const caller = cluster.call(instance, request);
	for (let elapsed = 0; elapsed < 3000 && caller.ending() === undefined && caller.refusals.length === 0; elapsed += 10) {
		await cluster.clock.advance(10);
	}

	return caller;
}

test('a stream that broke off towards its caller is resumed at another instance, and continued with all of its events', async () => {
	const scene = await createScene();
	const {cluster} = scene;
	const gone = new AbortController();
	const first = createRecordingCaller();
	void cluster.node('a1').instance().relay.serve(requestOf('one'), first, gone.signal);
	await cluster.clock.advance((3 * eventGapMs) + 5);
	gone.abort();
	// The caller is back before the first instance has noticed, and has received one event less than was sent.
	const second = await serve(scene, 'b1', requestOf('again', undefined, {lastEvent: 2, firstAttempt: as<AttemptId>('one'), body: Buffer.from('<one>')}));
	assert.equal(second.ending(), 'finished');
	await serve(scene, 'c1', requestOf('two', 'again'));
	cluster.stop();
	assert.equal(scene.bodies.at(-1), `<one>${output}<two>`);
});

test('turns arrive anywhere and outlast the loss of a disk and of all memory, also for an instance that the store does not answer', async () => {
	const scene = await createScene();
	const {cluster, archives} = scene;
	await serve(scene, 'a1', requestOf('root'));
	await serve(scene, 'c2', requestOf('one', 'root'));
	const holder = archives.all().find(({records}) => records.has('one'));
	assert.ok(holder);
	for (const id of ids) {
		cluster.kill(id);
	}

	holder.records.clear();
	holder.isComplete = false;
	for (const archive of archives.all()) {
		archive.state = 'starting';
	}

	await cluster.clock.advance(500);
	cluster.storeAccess.set('b2', 'silent');
	for (const id of ids) {
		cluster.start(id);
	}

	await cluster.clock.advance(4000);
	const early = await serve(scene, 'b2', requestOf('early', 'one'));
	assert.deepEqual(early.refusals.map(({kind}) => kind), ['not-run']);
	for (const archive of archives.all()) {
		archive.state = 'answering';
	}

	await cluster.clock.advance(1500);
	const caller = await serve(scene, 'b2', requestOf('two', 'one'));
	cluster.stop();
	assert.equal(caller.ending(), 'finished');
	assert.equal(scene.bodies.at(-1), `<root>${output}<one>${output}<two>`);
});

test('instances whose routes keep no turns send requests unchanged and ask nobody about archives', async () => {
	const scene = await createScene(false);
	const caller = await serve(scene, 'a1', requestOf('two', 'one'));
	await scene.cluster.clock.advance(20_000);
	scene.cluster.stop();
	assert.equal(caller.ending(), 'finished');
	assert.equal(scene.bodies.at(-1), '<two>');
	assert.ok(!scene.cluster.store.listedKinds.includes('hickoryfork-archives'));
	assert.deepEqual(scene.archives.all().flatMap(({keeps, reads}) => [...keeps, ...reads]), []);
});

/** Lets a program make five calls, which are within its budget, while the store answers nobody. Returns how each ended. */
async function callDuringOutage(scene: Scene): Promise<ReadonlyArray<string | undefined>> {
	const {cluster} = scene;
	await cluster.clock.advance(2000);
	for (const id of ids) {
		cluster.storeAccess.set(id, 'silent');
	}

	await cluster.clock.advance(500);
	const ends = [];
	for (const [index, id] of ids.slice(0, 5).entries()) {
		const caller = await serve(scene, id, requestOf(`call ${index}`));
		ends.push(caller.refusals[0]?.kind ?? caller.ending());
	}

	return ends;
}

// Guards against programs that get one turn each and are then refused while the store is away, although the archives answer.
test('a program goes on while the store answers nobody, if turns are kept', async () => {
	const scene = await createScene(true, true);
	assert.deepEqual(await callDuringOutage(scene), ['finished', 'finished', 'finished', 'finished', 'finished']);
	assert.ok(scene.archives.all().some(({records}) => [...records.values()].some(({content}) => content.kind === 'used')));
});

// Shows what the archives change, and guards against a use of them where no turns are kept.
test('a program gets one call while the store answers nobody, if no turns are kept', async () => {
	const scene = await createScene(false, true);
	const ends = await callDuringOutage(scene);
	assert.equal(ends[0], 'finished');
	assert.deepEqual(ends.slice(1), ['not-run', 'not-run', 'not-run', 'not-run']);
	assert.ok(scene.archives.all().every(({records, keeps, usedReads}) => records.size === 0 && keeps.length === 0 && usedReads === 0));
});
