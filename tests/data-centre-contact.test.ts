/**
Instances of a data centre that is cut off: they cannot keep turns, and have to leave the load balancer's rotation so that
callers reach a data centre which can. Guards against staying in rotation, and against leaving it when others could not do better.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	as, type Address, type DataCentreId, type InstanceId, type Milliseconds,
} from '../src/contracts/id.js';
import {createDataCentreContact} from '../src/zones/conversations/data-centre-contact.js';
import {createConversationScene, openTurn} from './fixtures/conversation-scene.js';
import {turnWith} from './fixtures/fake-archives.js';
import {createFakeClock, createSeededRandom} from './fixtures/fake-clock.js';
import {knownRed} from './fixtures/known-red.js';

const archives = ['a1', 'b1', 'c1', 'd1'];
const remote = ['b1', 'c1', 'd1'];

test('an instance whose data centre is cut off is not ready, and is again soon after', async () => {
	const scene = await createConversationScene(archives);
	const {clock, node} = scene;
	for (const id of remote) {
		node.unreachable.add(id);
	}

	node.storeSilence = as<Milliseconds>(800);
	await clock.advance(1000);
	assert.equal(node.conversations.isCutOff(), true);
	// The turn would be aborted at its end.
	const opened = await openTurn(scene, turnWith('one'));
	assert.equal(opened.kind, 'unavailable');

	node.unreachable.clear();
	await clock.advance(500);
	assert.equal(node.conversations.isCutOff(), false);
});

test('an instance that reaches one other data centre stays ready while the store is away', async () => {
	const {clock, node} = await createConversationScene(archives);
	node.unreachable.add('b1');
	node.unreachable.add('c1');
	node.storeSilence = as<Milliseconds>(5000);
	await clock.advance(3000);
	assert.equal(node.conversations.isCutOff(), false);
});

test('an instance stays ready while all archives are down, as it can serve requests that need none', async () => {
	const {clock, node, archives: fakes} = await createConversationScene(archives);
	for (const id of archives) {
		fakes.archive(id).state = 'hanging';
	}

	await clock.advance(3000);
	assert.equal(node.conversations.isCutOff(), false);
});

test('an instance that keeps no turns asks no archive while the store is away', async () => {
	const {clock, node, archives: fakes} = await createConversationScene(archives, {keepsTurns: false});
	node.storeSilence = as<Milliseconds>(5000);
	await clock.advance(3000);
	assert.equal(node.conversations.isCutOff(), false);
	assert.deepEqual(archives.flatMap(id => fakes.archive(id).reads), []);
});

type ContactTrial = {
	/** Time by which a question ends late because the process stood still. */
	readonly stallMs: number;
	/** Time at which the store answers. */
	readonly storeAnswersAt: number;
};

/** Whether an instance whose questions all end without an answer takes itself for cut off. */
async function isCutOffAfterSilence({stallMs, storeAnswersAt}: ContactTrial): Promise<boolean> {
	const clock = createFakeClock();
	let stalledMs = 0;
	const contact = createDataCentreContact({
		dataCentre: as<DataCentreId>('a'),
		link: {
			async chain(_address, _turn, timeout) {
				await clock.sleep(timeout);
				stalledMs += stallMs;
				return undefined;
			},
		},
		archives: () => remote.map(id => ({
			id: as<InstanceId>(id), address: as<Address>(id), dataCentre: as<DataCentreId>(id), state: 'serving',
		})),
		storeSilence: () => as<Milliseconds>(clock.now() < storeAnswersAt ? 800 + clock.now() : clock.now() - storeAnswersAt),
		clock: {...clock, now: () => as<Milliseconds>(clock.now() + stalledMs)},
		random: createSeededRandom(1),
		onEvent: () => undefined,
	});
	const stop = new AbortController();
	void contact.run(stop.signal);
	await clock.advance(700);
	stop.abort();
	return contact.isCutOff();
}

// Guards against an instance that is short of processor time and refuses turns, although the others answer.
test('questions that end late because the process stood still do not show that the data centre is cut off', async () => {
	assert.equal(await isCutOffAfterSilence({stallMs: 100, storeAnswersAt: Infinity}), false);
	assert.equal(await isCutOffAfterSilence({stallMs: 0, storeAnswersAt: Infinity}), true);
});

test('an instance is not cut off if the store answers while archives are asked', async () => {
	assert.equal(await isCutOffAfterSilence({stallMs: 0, storeAnswersAt: 500}), false);
});

/** Pauses of an event loop that is late for lack of processor time. */
const shortestPauseMs = 100;
const longestPauseMs = 300;

/**
A clock whose timers fire, and replies that are read, only when the event loop runs; between two times it pauses. Timers that are due go
before replies, as in Node.js.
*/
function createLateLoop(seed: number) {
	const clock = createFakeClock();
	const random = createSeededRandom(seed);
	const runs: number[] = [];

	function nextRun(at: number): number {
		for (let last = runs.at(-1) ?? 0; last < at; last = runs.at(-1) ?? at) {
			runs.push(last + shortestPauseMs + ((longestPauseMs - shortestPauseMs) * random.fraction()));
		}

		return runs.find(run => run >= at) ?? at;
	}

	const sleepUntil = async (time: number, signal?: AbortSignal) => clock.sleep(as<Milliseconds>(time - clock.now()), signal);
	return {
		clock,
		random,
		late: {...clock, sleep: async (duration: Milliseconds, signal?: AbortSignal) => sleepUntil(nextRun(clock.now() + duration), signal)},
		/** Resolves when the process reads a reply that arrives after a time. */
		async read(after: number) {
			await sleepUntil(nextRun(clock.now() + after));
			await clock.sleep(as<Milliseconds>(0));
		},
	};
}

type LateContact = {readonly seed: number; readonly isAnswered: boolean};

/** Whether an instance with a late event loop takes its data centre for cut off, from the time on at which the store has been silent for long enough. */
async function isCutOffWhileLate({seed, isAnswered}: LateContact, afterMs: number): Promise<boolean> {
	const {clock, random, late, read} = createLateLoop(seed);
	const changes: boolean[] = [];
	const contact = createDataCentreContact({
		dataCentre: as<DataCentreId>('a'),
		link: {
			async chain(_address, _turn, timeout) {
				const reply = read(2).then(() => ({records: [], isComplete: true}));
				const timedOut = late.sleep(timeout).then(() => undefined);
				return isAnswered ? Promise.race([timedOut, reply]) : timedOut;
			},
		},
		archives: () => remote.map(id => ({
			id: as<InstanceId>(id), address: as<Address>(id), dataCentre: as<DataCentreId>(id), state: 'serving',
		})),
		storeSilence: () => as<Milliseconds>(1000 + clock.now()),
		clock: late,
		random,
		onEvent(event) {
			if (event.kind === 'contact') {
				changes.push(event.isCutOff);
			}
		},
	});
	const stop = new AbortController();
	void contact.run(stop.signal);
	await clock.advance(afterMs);
	stop.abort();
	return changes.includes(true);
}

const noticedWhileLate = 'instances whose event loops are late notice within three seconds that their data centre is cut off';
const answeredWhileLate = 'instances whose event loops are late do not take their data centre for cut off while others answer';
const lateSeeds = Array.from({length: 20}, (_, index) => index + 1);

// Guards against instances that stay in rotation while they refuse all turns: programs use up their retries there.
test(noticedWhileLate, knownRed(noticedWhileLate), async () => {
	const noticed = await Promise.all(lateSeeds.map(async seed => isCutOffWhileLate({seed, isAnswered: false}, 3000)));
	assert.equal(noticed.filter(Boolean).length, lateSeeds.length);
});

// Guards against taking replies that wait to be read for missing ones.
test(answeredWhileLate, knownRed(answeredWhileLate), async () => {
	const wrong = await Promise.all(lateSeeds.map(async seed => isCutOffWhileLate({seed, isAnswered: true}, 10_000)));
	assert.equal(wrong.filter(Boolean).length, 0);
});
