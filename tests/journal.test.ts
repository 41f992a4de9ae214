/**
Journal of a shard on an unreliable platform: whichever instance opens it next, no committed record is lost in
checkpoints, compaction, outages, lost responses and previous owners that resume late.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	as, type CallId, type CustomerId, type DataCentreId, type EndpointId, type FencingNumber, type IdempotencyKey,
	type AttemptId, type Incarnation, type InstanceId, type Milliseconds, type Nonce, type ProgramId, type RouteName,
	type ShardNumber, type Tokens,
} from '../src/contracts/id.js';
import {type Platform} from '../src/contracts/platform.js';
import {applyRecord, type Programs} from '../src/contracts/program.js';
import {type JournalRecord} from '../src/contracts/record.js';
import {createJournal, type PeerReplicas, type Journal} from '../src/zones/journal.js';
import {createDeferred} from '../src/contracts/deferred.js';
import {createFakeClock, type FakeClock} from './fixtures/fake-clock.js';
import {createFakePlatform, type FakePlatform} from './fixtures/fake-platform.js';

const home = {dataCentre: as<DataCentreId>('padova'), shard: as<ShardNumber>(1)};

const noReplicas: PeerReplicas = {
	async hold() {
		throw new Error('no replication was expected');
	},
	collect: async () => [],
	release() {
		// There is nothing to release.
	},
};

type Setup = {readonly clock: FakeClock; readonly platform: FakePlatform; readonly open: (connected?: Platform) => Opened};

type Opened = {
	readonly journal: Journal;
	readonly stop: () => void;
	/** Programs that the journal holds once it is open. */
	readonly programs: () => Promise<Programs>;
	/** Number of programs once the journal is open. */
	readonly count: () => Promise<number>;
};

function createSetup(commitWindow = 0): Setup {
	const clock = createFakeClock();
	const platform = createFakePlatform(clock);
	let owners = 0;
	let nonces = 0;
	return {
		clock,
		platform,
		open(connected = platform.connect(() => false)) {
			const controller = new AbortController();
			const journal = createJournal({
				home,
				instance: as<InstanceId>(`owner-${++owners}`),
				incarnation: as<Incarnation>(1),
				platform: connected,
				peerReplicas: {...noReplicas, hold: async () => createDeferred<never>().promise},
				clock,
				nextNonce: () => as<Nonce>(`nonce-${++nonces}`),
				commitWindow: as<Milliseconds>(commitWindow),
				signal: controller.signal,
			});
			const opening = journal.open();
			return {
				journal,
				stop() {
					controller.abort();
				},
				async programs() {
					const opened = await opening;
					return opened._unsafeUnwrap();
				},
				async count() {
					const opened = await opening;
					return opened._unsafeUnwrap().size;
				},
			};
		},
	};
}

function opened(number: number): JournalRecord {
	return {
		kind: 'opened',
		program: as<ProgramId>(`padova.1.program${number}`),
		customer: as<CustomerId>('brenta'),
		budget: {tokens: as<Tokens>(1000), calls: 1000, duration: as<Milliseconds>(1000)},
		openedAt: as<Milliseconds>(0),
	};
}

function turn(number: number, call: number, text = 'answer'): JournalRecord[] {
	const common = {
		program: as<ProgramId>(`padova.1.program${number}`),
		call: as<CallId>(`call-${call}`),
		key: as<IdempotencyKey>(`key-${call}`),
		digest: 'digest',
		stream: as<AttemptId>(`attempt-${call}`),
	};
	return [
		{
			kind: 'intent',
			...common,
			route: as<RouteName>('quotes'),
			request: {kind: 'model', messages: [{role: 'user', content: text}], limit: as<Tokens>(5)},
			attempt: as<AttemptId>(`attempt-${call}`),
			prefix: [],
			endpoint: as<EndpointId>('engine'),
			repeatable: true,
			reservation: {tokens: as<Tokens>(5), calls: 1},
		},
		{
			kind: 'settled',
			...common,
			outcome: {kind: 'completed', answer: {kind: 'response', status: 200, body: text}},
			used: {tokens: as<Tokens>(3), calls: 1},
		},
	];
}

/** Applies records to the programs and appends them, each in a batch of its own. Returns the number committed. */
async function appendAll(setup: Setup, journal: Journal, programs: Programs, records: readonly JournalRecord[]): Promise<number> {
	const appends: Array<Promise<{isOk: () => boolean}>> = [];
	for (const record of records) {
		applyRecord(programs, record);
		appends.push(journal.append([record]).committed);
		await setup.clock.settle();
	}

	await setup.clock.advance(1000);
	const results = await Promise.all(appends);
	return results.filter(result => result.isOk()).length;
}

function summary(programs: Programs) {
	return [...programs.values()].map(program => ({
		id: program.id, turns: program.history.map(entry => entry.call), spent: program.account.spent(), status: program.status,
	}));
}

test('a new owner rebuilds every program across many checkpoints', async () => {
	const setup = createSetup();
	const first = setup.open();
	await setup.clock.advance(100);
	const programs = await first.programs();
	const records = Array.from({length: 100}, (_, index) => [...(index < 5 ? [opened(index)] : []), ...turn(index % 5, index)]).flat();
	assert.equal(await appendAll(setup, first.journal, programs, records), records.length);
	assert.ok(first.journal.state().base > 100, 'the head has advanced');
	first.stop();
	const second = setup.open();
	await setup.clock.advance(100);
	const rebuilt = await second.programs();
	assert.deepEqual([...rebuilt.values()].map(program => program.history.length), [20, 20, 20, 20, 20]);
	assert.deepEqual(summary(rebuilt).map(entry => entry.spent), Array.from({length: 5}, () => ({tokens: 60, calls: 20})));
});

test('compaction drops deleted programs and removes the segments that held them', async () => {
	const setup = createSetup();
	const owner = setup.open();
	await setup.clock.advance(100);
	const programs = await owner.programs();
	const large = 'x'.repeat(100_000);
	for (let round = 0; round < 40; round++) {
		await appendAll(setup, owner.journal, programs, [opened(round), ...Array.from({length: 8}, (_, call) => turn(round, (round * 10) + call, large)).flat()]);
		programs.delete(as<ProgramId>(`padova.1.program${round - 1}`));
	}

	const segments = [...setup.platform.objects.keys()].filter(name => name.includes('/segment/'));
	assert.ok(segments.length <= 34, `${segments.length} segments for a single retained program`);
	owner.stop();
	const next = setup.open();
	await setup.clock.advance(200);
	const rebuilt = await next.programs();
	const last = rebuilt.get(as<ProgramId>('padova.1.program39'));
	assert.equal(last?.history.length, 8);
});

test('records that are not urgent share a write per commit window, and an urgent one flushes them at once', async () => {
	const setup = createSetup(1000);
	const owner = setup.open();
	await setup.clock.advance(100);
	const programs = await owner.programs();
	const before = setup.platform.counts.writes;
	const results: string[] = [];
	for (let index = 0; index < 50; index++) {
		applyRecord(programs, opened(index));
		void owner.journal.append([opened(index)]).committed.then(() => results.push('relaxed'));
		await setup.clock.advance(10);
	}

	assert.equal(setup.platform.counts.writes - before, 0);
	await setup.clock.advance(600);
	assert.equal(setup.platform.counts.writes - before, 1);
	assert.equal(results.length, 50);
	void owner.journal.append([opened(50)]).committed.then(() => results.push('relaxed'));
	void owner.journal.append([opened(51)], 'immediate').committed.then(() => results.push('urgent'));
	await setup.clock.settle();
	assert.deepEqual(results.slice(50), ['relaxed', 'urgent']);
	assert.equal(setup.platform.counts.writes - before, 2);
});

test('a claim by an instance that reads slowly destroys no committed batch', async () => {
	const setup = createSetup();
	const gate = createDeferred<void>();
	const slow = setup.platform.connect(() => false);
	const owner = setup.open();
	await setup.clock.advance(100);
	const programs = await owner.programs();
	// The slow instance stalls between its two reads while the ring wraps around.
	const slowReader = setup.open({
		...slow,
		async read(name) {
			if (name.endsWith('/head')) {
				await gate.promise;
			}

			return slow.read(name);
		},
	});
	await setup.clock.settle();
	const records = Array.from({length: 80}, (_, index) => opened(index));
	assert.equal(await appendAll(setup, owner.journal, programs, records), 80);
	gate.resolve();
	await setup.clock.advance(500);
	assert.equal(await slowReader.count(), 80);
	slowReader.stop();
	const third = setup.open();
	await setup.clock.advance(500);
	assert.equal(await third.count(), 80);
});

test('a previous owner that resumes in the middle of a checkpoint changes nothing for the new owner', async () => {
	const setup = createSetup();
	const gate = createDeferred<void>();
	const connected = setup.platform.connect(() => false);
	const isFrozen = {value: false};
	const owner = setup.open({
		...connected,
		async update(name, expected, value) {
			if (isFrozen.value && !name.includes('/slot/')) {
				await gate.promise;
			}

			return connected.update(name, expected, value);
		},
	});
	await setup.clock.advance(100);
	const programs = await owner.programs();
	isFrozen.value = true;
	await appendAll(setup, owner.journal, programs, Array.from({length: 20}, (_, index) => opened(index)));
	const successor = setup.open();
	await setup.clock.advance(500);
	const successorPrograms = await successor.programs();
	await appendAll(setup, successor.journal, successorPrograms, Array.from({length: 60}, (_, index) => opened(index + 20)));
	gate.resolve();
	await setup.clock.advance(500);
	successor.stop();
	const third = setup.open();
	await setup.clock.advance(500);
	assert.equal(await third.count(), 80);
});

type Step
	= | {readonly kind: 'append'; readonly count: number}
		| {readonly kind: 'takeover'}
		| {readonly kind: 'append-as-previous-owner'}
		| {readonly kind: 'lose-responses'; readonly count: number}
		| {readonly kind: 'outage'; readonly duration: number};

const step: fc.Arbitrary<Step> = fc.oneof(
	{weight: 6, arbitrary: fc.record({kind: fc.constant('append' as const), count: fc.integer({min: 1, max: 30})})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('takeover' as const)})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('append-as-previous-owner' as const)})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('lose-responses' as const), count: fc.integer({min: 1, max: 4})})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('outage' as const), duration: fc.constantFrom(100, 3000)})},
);

async function runSteps(steps: readonly Step[]): Promise<void> {
	const setup = createSetup();
	const owners = [setup.open()];
	const committed: JournalRecord[] = [];
	let number = 0;
	await setup.clock.advance(100);

	/** Appends through an owner that may have lost the shard without having noticed. */
	function append(owner: Opened | undefined, count: number): void {
		for (let index = 0; index < count; index++) {
			const record = opened(number++);
			void owner?.programs().then(async programs => {
				applyRecord(programs, record);
				const result = await owner.journal.append([record]).committed;
				if (result.isOk()) {
					committed.push(record);
				}
			});
		}
	}

	for (const action of steps) {
		switch (action.kind) {
			case 'append': {
				append(owners.at(-1), action.count);
				break;
			}

			case 'takeover': {
				owners.push(setup.open());
				break;
			}

			case 'append-as-previous-owner': {
				append(owners.at(-2), 1);
				break;
			}

			case 'lose-responses': {
				setup.platform.lostResponses = action.count;
				break;
			}

			case 'outage': {
				setup.platform.isDown = true;
				await setup.clock.advance(action.duration);
				setup.platform.isDown = false;
				break;
			}
		}

		await setup.clock.advance(20);
	}

	setup.platform.lostResponses = 0;
	await setup.clock.advance(20_000);
	for (const owner of owners) {
		owner.stop();
	}

	const last = setup.open();
	await setup.clock.advance(2000);
	const programs = await last.programs();
	for (const record of committed) {
		assert.ok(programs.has(record.program), `${record.program} was committed and is missing`);
	}

	assert.ok(last.journal.state().epoch >= as<FencingNumber>(owners.length));
	last.stop();
}

test('random takeovers, outages and lost responses lose no committed record', async () => {
	await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 3, maxLength: 20}), async steps => {
		await runSteps(steps);
	}), {seed: 42, numRuns: 60, endOnFailure: true});
});
