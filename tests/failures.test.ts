/**
Guarantees during crashes, freezes and graceful shutdowns of instances, outages of the platform and failures of back ends.
*/
import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, test,
} from 'node:test';
import {type CallEvent, answerStart} from '../src/contracts/call.js';
import {
	as, type EndpointId, type IdempotencyKey, type Milliseconds,
} from '../src/contracts/id.js';
import {createQuarantine} from '../src/machines/quarantine.js';
import {
	brenta, collect, outcomeKind, createSimulatedCluster, finish, openProgram, modelCall, reservation, trentside, within, type SimulatedCluster,
} from './fixtures/simulated-cluster.js';

describe('one data centre with two instances', () => {
	let cluster: SimulatedCluster;
	beforeEach(async () => {
		cluster = await createSimulatedCluster();
	});
	afterEach(async () => {
		await cluster.stop();
	});

	function ownerAndOther(program: Awaited<ReturnType<typeof openProgram>>) {
		const owner = cluster.ownerOf(program);
		const other = cluster.nodes.find(node => node !== owner && node.isAlive());
		assert.ok(other);
		return {owner, other};
	}

	function executionsOf(key: string): number {
		return cluster.backEnds.executions.filter(execution => execution.key === key).length;
	}

	test('any instance serves a program, and its history grows in order', async () => {
		const program = await within(cluster, openProgram(cluster.node(0)), 2000);
		for (const [index, text] of ['one', 'two', 'three'].entries()) {
			const event = await within(cluster, finish(cluster.node(index % 2), modelCall(program, text)), 2000);
			assert.equal(outcomeKind(event), 'completed');
		}

		assert.deepEqual(cluster.backEnds.prompts, ['one', 'one| one:0 one:1 one:2 one:3|two', 'one| one:0 one:1 one:2 one:3|two| two:0 two:1 two:2 two:3|three']);
	});

	test('concurrent calls of one program run one after the other', async () => {
		const program = await within(cluster, openProgram(cluster.node(0)), 2000);
		cluster.backEnds.duration = 200;
		const calls = ['a', 'b', 'c'].map(async text => finish(cluster.node(0), modelCall(program, text)));
		await within(cluster, Promise.all(calls), 5000);
		assert.deepEqual(cluster.backEnds.prompts.map(prompt => prompt.split('|').length), [1, 3, 5]);
	});

	test('a program of another customer is refused exactly like one that does not exist', async () => {
		const program = await within(cluster, openProgram(cluster.node(0)), 2000);
		const foreign = await within(cluster, finish(cluster.node(1), {...modelCall(program, 'x'), customer: trentside}), 2000);
		const absent = await within(cluster, finish(cluster.node(1), modelCall(as(`${program.slice(0, -4)}0000`), 'x')), 2000);
		assert.ok(foreign?.kind === 'refused' && absent?.kind === 'refused');
		assert.equal(foreign.failure.code, 'not-found');
		assert.deepEqual({...foreign.failure, message: ''}, {...absent.failure, message: ''});
	});

	test('the new owner has the complete history after the owner dies between turns', async () => {
		const program = await within(cluster, openProgram(cluster.node(0)), 2000);
		await within(cluster, finish(cluster.node(0), modelCall(program, 'one')), 2000);
		const {owner, other} = ownerAndOther(program);
		owner.kill();
		const event = await within(cluster, finish(other, modelCall(program, 'two')), 20_000);
		assert.equal(outcomeKind(event), 'completed');
		assert.equal(cluster.backEnds.prompts.at(-1), 'one| one:0 one:1 one:2 one:3|two');
	});

	test('a reservation whose owner dies while it runs is reported unknown and not sent again', async () => {
		const program = await within(cluster, openProgram(cluster.node(0)), 2000);
		const {owner, other} = ownerAndOther(program);
		cluster.backEnds.duration = 3000;
		const answered = finish(other, reservation(program, 'glass'));
		await cluster.clock.advance(1000);
		assert.equal(executionsOf('glass'), 1);
		owner.kill();
		assert.equal(outcomeKind(await within(cluster, answered, 20_000)), 'unknown');
		assert.equal(outcomeKind(await within(cluster, finish(other, reservation(program, 'glass')), 5000)), 'unknown');
		assert.equal(executionsOf('glass'), 1);
	});

	test('a reservation whose owner dies before the intent is recorded runs once, at the new owner', async () => {
		const program = await within(cluster, openProgram(cluster.node(0)), 2000);
		const {owner, other} = ownerAndOther(program);
		cluster.platform.isDown = true;
		const answered = finish(other, {...reservation(program, 'early')});
		await cluster.clock.advance(200);
		owner.kill();
		cluster.platform.isDown = false;
		const event = await within(cluster, answered, 30_000);
		assert.equal(outcomeKind(event), 'completed');
		assert.equal(executionsOf('early'), 1);
	});

	test('an owner that was frozen during a takeover does not run the reservation again', async () => {
		const program = await within(cluster, openProgram(cluster.node(0)), 2000);
		const {owner, other} = ownerAndOther(program);
		const direct = finish(owner, reservation(program, 'frozen'));
		owner.freeze();
		await cluster.clock.advance(10_000);
		const first = await within(cluster, finish(other, reservation(program, 'frozen')), 20_000);
		assert.ok(['completed', 'unknown'].includes(outcomeKind(first)));
		owner.thaw();
		await within(cluster, direct, 30_000);
		assert.ok(executionsOf('frozen') <= 1);
	});

	test('a call forwarded to an owner that freezes completes at the new owner', async () => {
		const program = await within(cluster, openProgram(cluster.node(0)), 2000);
		const {owner, other} = ownerAndOther(program);
		owner.freeze();
		const event = await within(cluster, finish(other, reservation(program, 'forwarded')), 20_000);
		assert.equal(outcomeKind(event), 'completed');
		assert.equal(executionsOf('forwarded'), 1);
	});

	test('a retry with the same key gets the recorded outcome, and another request with that key is refused', async () => {
		const program = await within(cluster, openProgram(cluster.node(0)), 2000);
		const answers = await within(cluster, Promise.all(cluster.nodes.map(async node => finish(node, reservation(program, 'same')))), 5000);
		assert.deepEqual(answers[0], answers[1]);
		const other = reservation(program, 'other');
		const misuse = await within(cluster, finish(cluster.node(0), {...other, key: as<IdempotencyKey>('same')}), 2000);
		assert.equal(misuse?.kind === 'refused' && misuse.failure.code, 'conflict');
		assert.equal(executionsOf('same'), 1);
	});

	test('when the response to a ledger write is lost, the reservation runs once', async () => {
		const program = await within(cluster, openProgram(cluster.node(0)), 2000);
		cluster.platform.lostResponses = 3;
		const event = await within(cluster, finish(cluster.node(1), reservation(program, 'lost')), 10_000);
		assert.equal(outcomeKind(event), 'completed');
		assert.equal(executionsOf('lost'), 1);
	});

	test('while the platform is down, a reservation is not run, and model calls succeed', async () => {
		const program = await within(cluster, openProgram(cluster.node(0)), 2000);
		cluster.platform.isDown = true;
		const refused = await within(cluster, finish(cluster.node(0), reservation(program, 'outage')), 10_000);
		assert.equal(outcomeKind(refused), 'not-run');
		assert.equal(executionsOf('outage'), 0);
		const answered = await within(cluster, finish(cluster.node(1), modelCall(program, 'still here?')), 10_000);
		assert.equal(outcomeKind(answered), 'completed');
		cluster.platform.isDown = false;
		await cluster.clock.advance(5000);
		const again = await within(cluster, finish(cluster.node(0), reservation(program, 'outage')), 10_000);
		assert.equal(outcomeKind(again), 'completed');
		assert.equal(executionsOf('outage'), 1);
	});

	test('a turn acknowledged during an outage survives the loss of its owner', async () => {
		const program = await within(cluster, openProgram(cluster.node(0)), 2000);
		cluster.platform.isDown = true;
		assert.equal(outcomeKind(await within(cluster, finish(cluster.node(0), modelCall(program, 'kept')), 10_000)), 'completed');
		const {owner, other} = ownerAndOther(program);
		owner.kill();
		await cluster.clock.advance(8000);
		cluster.platform.isDown = false;
		const event = await within(cluster, finish(other, modelCall(program, 'after')), 30_000);
		assert.equal(outcomeKind(event), 'completed');
		assert.equal(cluster.backEnds.prompts.at(-1), 'kept| kept:0 kept:1 kept:2 kept:3|after');
	});

	test('a graceful shutdown completes the running calls and refuses no new ones', async () => {
		const program = await within(cluster, openProgram(cluster.node(0)), 2000);
		const {owner, other} = ownerAndOther(program);
		cluster.backEnds.duration = 3000;
		const running = finish(other, reservation(program, 'running'));
		await cluster.clock.advance(500);
		const leaving = owner.instance.leave();
		const later = finish(other, modelCall(program, 'later'));
		const events = await within(cluster, Promise.all([running, later]), 30_000);
		await within(cluster, leaving, 1000);
		assert.deepEqual(events.map(event => outcomeKind(event)), ['completed', 'completed']);
		assert.equal(executionsOf('running'), 1);
	});

	test('a budget holds across a takeover, including sub-agents', async () => {
		const program = await within(cluster, openProgram(cluster.node(0), {calls: 3}), 2000);
		const child = await within(cluster, openProgram(cluster.node(1), {}, program), 2000);
		await within(cluster, finish(cluster.node(0), modelCall(program, 'one')), 2000);
		await within(cluster, finish(cluster.node(0), modelCall(child, 'two')), 2000);
		const {owner, other} = ownerAndOther(program);
		owner.kill();
		const third = await within(cluster, finish(other, modelCall(child, 'three')), 20_000);
		const fourth = await within(cluster, finish(other, modelCall(program, 'four')), 5000);
		assert.equal(outcomeKind(third), 'completed');
		assert.equal(fourth?.kind === 'refused' && fourth.failure.code, 'budget-exhausted');
	});

	test('concurrent sub-agents cannot overspend a budget', async () => {
		const program = await within(cluster, openProgram(cluster.node(0), {calls: 2}), 2000);
		const children = await within(cluster, Promise.all([1, 2, 3, 4].map(async () => openProgram(cluster.node(0), {}, program))), 5000);
		cluster.backEnds.duration = 500;
		const events = await within(cluster, Promise.all(children.map(async (child, index) => finish(cluster.node(index % 2), modelCall(child, `q${index}`)))), 10_000);
		assert.deepEqual(events.map(event => outcomeKind(event)).toSorted(), ['completed', 'completed', 'not-run', 'not-run']);
		assert.equal(cluster.backEnds.executions.length, 2);
	});

	test('engine memory is released at the end of a program, and later if the engine was unreachable then', async () => {
		const program = await within(cluster, openProgram(cluster.node(0)), 2000);
		await within(cluster, finish(cluster.node(0), modelCall(program, 'hold')), 2000);
		const holder = [...cluster.backEnds.cachedPrograms].find(([, programs]) => programs.has(program))?.[0];
		assert.ok(holder);
		cluster.backEnds.faults.set(holder, 'unreachable');
		await within(cluster, cluster.node(0).instance.program({
			kind: 'end', program, customer: brenta, closing: 'closed',
		}), 2000);
		await cluster.clock.advance(5000);
		assert.ok(cluster.backEnds.cachedPrograms.get(holder)?.has(program));
		cluster.backEnds.faults.delete(holder);
		await cluster.clock.advance(15_000);
		assert.ok(!cluster.backEnds.cachedPrograms.get(holder)?.has(program));
	});

	test('engine memory is released when the owner dies and the program expires', async () => {
		const program = await within(cluster, openProgram(cluster.node(0), {duration: 20_000}), 2000);
		await within(cluster, finish(cluster.node(0), modelCall(program, 'hold')), 2000);
		ownerAndOther(program).owner.kill();
		await cluster.clock.advance(60_000);
		assert.ok([...cluster.backEnds.cachedPrograms.values()].every(programs => !programs.has(program)));
	});

	test('an answer that another engine continued is complete even if its owner dies', async () => {
		const program = await within(cluster, openProgram(cluster.node(0)), 2000);
		const {owner, other} = ownerAndOther(program);
		cluster.backEnds.duration = 5000;
		cluster.backEnds.faults.set('engine-0', 'disconnects-midway');
		cluster.backEnds.faults.set('engine-1', 'disconnects-midway');
		const answered = finish(other, modelCall(program, 'moved'));
		await cluster.clock.advance(50);
		cluster.backEnds.faults.clear();
		await cluster.clock.advance(500);
		assert.equal(cluster.backEnds.executions.length, 2);
		owner.kill();
		const event = await within(cluster, answered, 30_000);
		assert.ok(event?.kind === 'settled' && event.outcome.kind === 'completed' && event.outcome.answer.kind === 'message');
		assert.deepEqual(event.outcome.answer.tokens, [' moved:0', ' moved:1', ' moved:2', ' moved:3']);
	});

	test('earlier crashes of a request are no longer counted once it succeeds', async () => {
		const quarantine = createQuarantine();
		const crash = (endpoint: string) => quarantine.record({fingerprint: 'yes', endpoint: as<EndpointId>(endpoint)}, as<Milliseconds>(0));
		crash('engine-0');
		quarantine.clear('yes');
		crash('engine-1');
		assert.equal(quarantine.isBlocked('yes', as<Milliseconds>(0)), false);
		crash('engine-0');
		assert.equal(quarantine.isBlocked('yes', as<Milliseconds>(0)), true);
	});

	test('an instance that has served no calls detects a hung engine by the timings of its peers', async () => {
		const program = await within(cluster, openProgram(cluster.node(0)), 2000);
		const {owner, other} = ownerAndOther(program);
		const elsewhere = await within(cluster, openProgram(other), 2000);
		assert.equal(cluster.ownerOf(elsewhere), other);
		cluster.backEnds.duration = 50;
		for (const text of ['a', 'b', 'c']) {
			await within(cluster, finish(owner, modelCall(program, text)), 2000);
		}

		await cluster.clock.advance(3000);
		cluster.backEnds.faults.set('engine-0', 'hangs');
		cluster.backEnds.faults.set('engine-1', 'hangs');
		const answered = finish(other, modelCall(elsewhere, 'silent'));
		await cluster.clock.advance(10);
		cluster.backEnds.faults.delete(cluster.backEnds.executions.at(-1)?.endpoint === 'engine-0' ? 'engine-1' : 'engine-0');
		assert.equal(outcomeKind(await within(cluster, answered, 2000)), 'completed');
	});

	test('a call of a hung tool ends at its timeout with an unknown outcome', async () => {
		const program = await within(cluster, openProgram(cluster.node(0)), 2000);
		cluster.backEnds.faults.set('service-0', 'hangs');
		cluster.backEnds.faults.set('service-1', 'hangs');
		const event = await within(cluster, finish(cluster.node(0), reservation(program, 'hung')), 10_000);
		assert.equal(outcomeKind(event), 'unknown');
		assert.equal(executionsOf('hung'), 1);
	});

	test('a program that loops is stopped by its call budget', async () => {
		const program = await within(cluster, openProgram(cluster.node(0), {calls: 5}), 2000);
		const outcomes: string[] = [];
		for (let turn = 0; turn < 8; turn++) {
			outcomes.push(outcomeKind(await within(cluster, finish(cluster.node(0), modelCall(program, `loop ${turn}`)), 2000)));
		}

		assert.deepEqual(outcomes, [...Array.from({length: 5}, () => 'completed'), ...Array.from({length: 3}, () => 'not-run')]);
	});

	test('a request that crashes endpoints is quarantined on every instance, even with another key', async () => {
		const program = await within(cluster, openProgram(cluster.node(0)), 2000);
		cluster.backEnds.faults.set('engine-0', 'crashes');
		cluster.backEnds.faults.set('engine-1', 'crashes');
		await within(cluster, finish(cluster.node(0), modelCall(program, 'poison', 'first')), 30_000);
		const ran = cluster.backEnds.executions.length;
		await cluster.clock.advance(3000);
		cluster.backEnds.faults.clear();
		const second = await within(cluster, openProgram(cluster.node(1)), 2000);
		const event = await within(cluster, finish(cluster.node(1), modelCall(second, '  POISON ', 'second')), 10_000);
		assert.ok(ran <= 2, `${ran} executions`);
		assert.equal(event?.kind === 'refused' && event.failure.code, 'quarantined');
		assert.equal(cluster.backEnds.executions.length, ran);
	});

	test('an endpoint that is leaving gets no new work after a few seconds, even if the instance list lags', async () => {
		const program = await within(cluster, openProgram(cluster.node(0)), 2000);
		cluster.backEnds.faults.set('service-0', 'leaving');
		await cluster.clock.advance(4000);
		for (let index = 0; index < 6; index++) {
			assert.equal(outcomeKind(await within(cluster, finish(cluster.node(index % 2), reservation(program, `leave-${index}`)), 3000)), 'completed');
		}

		assert.equal(cluster.backEnds.rejectedWhileLeaving, 0, 'no request reached the endpoint');
	});

	test('a stream that breaks at one instance resumes at another without a missing or duplicate token', async () => {
		const program = await within(cluster, openProgram(cluster.node(0)), 2000);
		const call = modelCall(program, 'stream');
		await within(cluster, finish(cluster.node(0), call), 3000);
		const tokens: string[] = [];
		const read = async (node: (typeof cluster.nodes)[number], from: CallEvent | undefined) => {
			const position = from?.kind === 'token' ? {stream: from.stream, index: from.index + 1} : answerStart;
			const target = {program, customer: brenta, key: call.key};
			let last = from;
			for await (const event of node.instance.stream({kind: 'follow', target, position}, new AbortController().signal)) {
				if (event.kind === 'token') {
					tokens.push(event.text);
					last = event;
					if (tokens.length === 2) {
						break;
					}
				}
			}

			return last;
		};

		const last = await within(cluster, read(cluster.node(0), undefined), 2000);
		ownerAndOther(program).owner.kill();
		const survivor = cluster.nodes.find(node => node.isAlive());
		assert.ok(survivor);
		await within(cluster, read(survivor, last), 20_000);
		assert.deepEqual(tokens, [' stream:0', ' stream:1', ' stream:2', ' stream:3']);
	});

	async function checkContinuation(fault: 'disconnects-midway' | 'stalls-midway'): Promise<void> {
		const program = await within(cluster, openProgram(cluster.node(0)), 2000);
		cluster.backEnds.faults.set('engine-0', fault);
		cluster.backEnds.faults.set('engine-1', fault);
		const answered = collect(cluster.node(0), modelCall(program, 'half'));
		await cluster.clock.settle();
		const first = cluster.backEnds.executions.at(-1)?.endpoint;
		cluster.backEnds.faults.delete(first === 'engine-0' ? 'engine-1' : 'engine-0');
		const events = await within(cluster, answered, 20_000);
		const event = events.at(-1);
		assert.ok(event?.kind === 'settled' && event.outcome.kind === 'completed' && event.outcome.answer.kind === 'message');
		assert.deepEqual(event.outcome.answer.tokens, [' half:0', ' half:1', ' half:2', ' half:3']);
		assert.deepEqual(events.flatMap(streamed => streamed.kind === 'token' ? streamed.text : []), event.outcome.answer.tokens);
		assert.equal(cluster.backEnds.executions.length, 2);
	}

	test('an answer that its engine drops midway is continued by another engine, complete and in order', async () => {
		await checkContinuation('disconnects-midway');
	});

	test('an answer that stalls midway is continued by another engine, complete and in order', async () => {
		await checkContinuation('stalls-midway');
	});

	test('a model answer whose owner dies during its generation is resumed from the engine', async () => {
		const program = await within(cluster, openProgram(cluster.node(0)), 2000);
		const {owner, other} = ownerAndOther(program);
		cluster.backEnds.duration = 5000;
		const answered = finish(other, modelCall(program, 'resume'));
		await cluster.clock.advance(1000);
		owner.kill();
		const event = await within(cluster, answered, 30_000);
		assert.ok(event?.kind === 'settled' && event.outcome.kind === 'completed' && event.outcome.answer.kind === 'message');
		assert.deepEqual(event.outcome.answer.tokens, [' resume:0', ' resume:1', ' resume:2', ' resume:3']);
		assert.equal(cluster.backEnds.executions.length, 1);
	});
});
