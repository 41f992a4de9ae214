/**
Instances of a data centre that is cut off: they cannot keep turns, and have to leave the load balancer's rotation so that
callers reach a data centre which can. Guards against staying in rotation, and against leaving it when others could not do better.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	as, type Address, type DataCentreId, type InstanceId, type Milliseconds,
} from '../src/contracts/id.js';
import {probeArchives} from '../src/zones/conversations/archive-probe.js';
import {createDataCentreContact} from '../src/zones/conversations/data-centre-contact.js';
import {createConversationScene, keepTurn, openTurn} from './fixtures/conversation-scene.js';
import {turnWith} from './fixtures/fake-archives.js';
import {createFakeClock, createSeededRandom} from './fixtures/fake-clock.js';

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
	/** Time by which each timer is late because the process stood still; replies are read after the timers that are due. */
	readonly stallMs: number;
	/** Whether archives answer; if so, their replies arrive in time. */
	readonly isAnswered: boolean;
	/** Time at which the store answers. */
	readonly storeAnswersAt: number;
	/** Whether enough archives for a turn are not known to be down. */
	readonly canKeepTurns: boolean;
	readonly untilMs: number;
};

const trialDefaults: ContactTrial = {
	stallMs: 0, isAnswered: false, storeAnswersAt: Infinity, canKeepTurns: true, untilMs: 700,
};

/** Whether an instance takes itself for cut off after a time, and when it did so first. */
async function contactAfterSilence(trial: Partial<ContactTrial>): Promise<{readonly isCutOff: boolean; readonly firstAt: number}> {
	const {stallMs, isAnswered, storeAnswersAt, canKeepTurns, untilMs} = {...trialDefaults, ...trial};
	const clock = createFakeClock();
	const changes: number[] = [];
	const late = async (duration: number, signal?: AbortSignal) => clock.sleep(as<Milliseconds>(duration + stallMs), signal);
	const contact = createDataCentreContact({
		dataCentre: as<DataCentreId>('a'),
		link: {
			async chain(_address, _turn, timeout) {
				await late(isAnswered ? 50 : timeout);
				await clock.sleep(as<Milliseconds>(0));
				return isAnswered ? {records: [], isComplete: true} : undefined;
			},
		},
		archives: () => remote.map(id => ({
			id: as<InstanceId>(id), address: as<Address>(id), dataCentre: as<DataCentreId>(id), state: 'serving',
		})),
		canKeepTurns: () => canKeepTurns,
		storeSilence: () => as<Milliseconds>(clock.now() < storeAnswersAt ? 800 + clock.now() : clock.now() - storeAnswersAt),
		clock: {...clock, sleep: late},
		random: createSeededRandom(1),
		onEvent() {
			changes.push(clock.now());
		},
	});
	const stop = new AbortController();
	void contact.run(stop.signal);
	await clock.advance(untilMs);
	stop.abort();
	return {isCutOff: contact.isCutOff(), firstAt: changes[0] ?? Infinity};
}

// Guards against an instance that is short of processor time and refuses turns, although the others answer.
test('questions that end late because the process stood still do not show that the data centre is cut off, if their replies arrived', async () => {
	for (const stallMs of [100, 300, 4000]) {
		const answered = await contactAfterSilence({stallMs, isAnswered: true, untilMs: 60_000});
		assert.equal(answered.firstAt, Infinity, `stalls of ${stallMs} ms`);
	}

	const unanswered = await contactAfterSilence({stallMs: 100, untilMs: 1000});
	assert.equal(unanswered.isCutOff, true);
	const prompt = await contactAfterSilence({});
	assert.equal(prompt.isCutOff, true);
});

test('an instance is not cut off if the store answers while archives are asked', async () => {
	const {firstAt} = await contactAfterSilence({storeAnswersAt: 500});
	assert.equal(firstAt, Infinity);
});

// Guards against using up the retries of callers while the instance already refuses their turns.
test('one round without an answer is enough for an instance that can keep no turn', async () => {
	const refusing = await contactAfterSilence({canKeepTurns: false});
	assert.ok(refusing.firstAt <= 200, `noticed after ${refusing.firstAt} ms`);
	const answered = await contactAfterSilence({canKeepTurns: false, isAnswered: true, untilMs: 10_000});
	assert.equal(answered.firstAt, Infinity);
});

test('an instance that can keep no turn stays ready while another data centre answers and the store is away', async () => {
	const scene = await createConversationScene(archives);
	const {clock, node} = scene;
	node.unreachable.add('a1').add('b1').add('c1');
	for (let index = 0; index < 3; index++) {
		await keepTurn(scene, turnWith(`one-${index}`));
		await clock.advance(10);
	}

	node.storeSilence = as<Milliseconds>(5000);
	await clock.advance(3000);
	const refused = await openTurn(scene, turnWith('two'));
	assert.equal(refused.kind, 'unavailable');
	assert.equal(node.conversations.isCutOff(), false);
});

/** Pauses of an event loop that is late for lack of processor time. */
const shortestPauseMs = 100;
const longestPauseMs = 300;

/**
A clock whose timers fire, and replies that are read, only when the event loop runs; between two times it pauses. Timers that are due go
before replies, as in Node.js.
*/
function createLateLoop(seed: number, shortestMs = shortestPauseMs, longestMs = longestPauseMs) {
	const clock = createFakeClock();
	const random = createSeededRandom(seed);
	const runs: number[] = [];

	function nextRun(at: number): number {
		for (let last = runs.at(-1) ?? 0; last < at; last = runs.at(-1) ?? at) {
			runs.push(last + shortestMs + ((longestMs - shortestMs) * random.fraction()));
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
		canKeepTurns: () => true,
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

const lateSeeds = Array.from({length: 20}, (_, index) => index + 1);

// Guards against instances that stay in rotation while they refuse all turns: programs use up their retries there.
test('instances whose event loops are late notice within three seconds that their data centre is cut off', async () => {
	const noticed = await Promise.all(lateSeeds.map(async seed => isCutOffWhileLate({seed, isAnswered: false}, 3000)));
	assert.equal(noticed.filter(Boolean).length, lateSeeds.length);
});

// Guards against taking replies that wait to be read for missing ones.
test('instances whose event loops are late do not take their data centre for cut off while others answer', async () => {
	const wrong = await Promise.all(lateSeeds.map(async seed => isCutOffWhileLate({seed, isAnswered: true}, 10_000)));
	assert.equal(wrong.filter(Boolean).length, 0);
});

// Guards against an instance that refuses turns for an archive that has long been back: a new connection takes two runs of its event loop.
test('an instance whose event loop is late by 300 to 500 ms tries an archive again within three seconds after it answers', async () => {
	const retried = await Promise.all(lateSeeds.map(async seed => {
		const {clock, late, read} = createLateLoop(seed, 300, 500);
		const down = new Set([as<InstanceId>('b1')]);
		const stop = new AbortController();
		void probeArchives({
			link: {
				async chain(_address, _turn, timeout) {
					const timedOut = late.sleep(timeout).then(() => undefined);
					return Promise.race([timedOut, read(1).then(async () => read(1)).then(() => ({records: [], isComplete: true}))]);
				},
			},
			health: {
				isDown: id => down.has(id),
				retry(id) {
					down.delete(id);
				},
			},
			archives: () => [{
				id: as<InstanceId>('b1'), address: as<Address>('b1'), dataCentre: as<DataCentreId>('b'), state: 'serving',
			}],
			clock: late,
		}, stop.signal);
		await clock.advance(3000);
		stop.abort();
		return down.size === 0;
	}));
	assert.equal(retried.filter(Boolean).length, lateSeeds.length);
});
