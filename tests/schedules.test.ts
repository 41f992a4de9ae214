/**
Property-based test of random schedules of calls and failures on three instances, checked against a reference model, a
single instance that never fails: the same answers, every acknowledged turn in the history, and no request run twice.
*/
import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import fc from 'fast-check';
import {type ProgramId} from '../src/contracts/id.js';
import {
	outcomeKind, createSimulatedCluster, finish, type Node, openProgram, modelCall, reservation, within, brenta, type SimulatedCluster,
} from './fixtures/simulated-cluster.js';

const runs = Number(process.env.HICKORYFORK_SCHEDULES ?? 30);
const seed = Number(process.env.HICKORYFORK_SEED ?? 20_261_204);
const healingMs = 40_000;

type Step
	= | {readonly kind: 'reserve'; readonly node: number; readonly key: string}
		| {readonly kind: 'ask'; readonly node: number; readonly key: string}
		| {readonly kind: 'wait'; readonly duration: number}
		| {readonly kind: 'kill'; readonly node: number}
		| {readonly kind: 'freeze' | 'thaw'; readonly node: number}
		| {readonly kind: 'outage'; readonly isDown: boolean}
		| {readonly kind: 'lose-answers'; readonly count: number}
		| {readonly kind: 'cut-platform'; readonly isCut: boolean}
		| {readonly kind: 'break-service'; readonly isBroken: boolean}
		| {readonly kind: 'slow'; readonly duration: number};

/** A call and the outcome that its caller received. */
type Asked = {readonly key: string; conclusion: string | undefined; answer: string};

const node = fc.nat({max: 2});
const key = fc.constantFrom('k1', 'k2', 'k3');
const step: fc.Arbitrary<Step> = fc.oneof(
	{weight: 6, arbitrary: fc.record({kind: fc.constant('reserve' as const), node, key})},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('ask' as const), node, key: fc.constantFrom('q1', 'q2', 'q3', 'q4')})},
	{weight: 6, arbitrary: fc.record({kind: fc.constant('wait' as const), duration: fc.constantFrom(10, 100, 700, 2500, 6000)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('kill' as const), node})},
	{weight: 2, arbitrary: fc.record({kind: fc.constantFrom('freeze' as const, 'thaw' as const), node})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('outage' as const), isDown: fc.boolean()})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('lose-answers' as const), count: fc.integer({min: 1, max: 3})})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('cut-platform' as const), isCut: fc.boolean()})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('break-service' as const), isBroken: fc.boolean()})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('slow' as const), duration: fc.constantFrom(0, 300, 4000)})},
);

function executionsOf(world: SimulatedCluster, executionKey: string): number {
	return world.backEnds.executions.filter(execution => execution.key === executionKey && execution.kind === 'service').length;
}

async function runSchedule(steps: readonly Step[], scheduleSeed: number): Promise<void> {
	const world = await createSimulatedCluster({instancesPerDataCentre: 3, seed: scheduleSeed});
	const program = await within(world, openProgram(world.node(0)), 2000);
	const asked: Asked[] = [];

	function ask(caller: Node, kind: 'reserve' | 'ask', name: string): void {
		const call = kind === 'reserve' ? reservation(program, name) : modelCall(program, name);
		const entry: Asked = {key: name, conclusion: undefined, answer: ''};
		asked.push(entry);
		void finish(caller, call).then(event => {
			entry.conclusion = outcomeKind(event);
			entry.answer = event?.kind === 'settled' && event.outcome.kind === 'completed' ? JSON.stringify(event.outcome.answer) : '';
		});
	}

	function take(action: Step): number {
		switch (action.kind) {
			case 'reserve':
			case 'ask': {
				const caller = world.node(action.node);
				if (caller.isAlive()) {
					ask(caller, action.kind, action.key);
				}

				return 0;
			}

			case 'wait': {
				return action.duration;
			}

			case 'kill': {
				if (world.nodes.filter(other => other.isAlive()).length > 1) {
					world.node(action.node).kill();
				}

				return 0;
			}

			case 'freeze': {
				world.node(action.node).freeze();
				return 0;
			}

			case 'thaw': {
				world.node(action.node).thaw();
				return 0;
			}

			case 'outage': {
				world.platform.isDown = action.isDown;
				return 0;
			}

			case 'lose-answers': {
				world.platform.lostAnswers = action.count;
				return 0;
			}

			case 'cut-platform': {
				world.partitions[action.isCut ? 'add' : 'delete']('padova|platform');
				return 0;
			}

			case 'break-service': {
				world.backEnds.faults.set('service-0', action.isBroken ? 'disconnects' : 'none');
				return 0;
			}

			case 'slow': {
				world.backEnds.duration = action.duration;
				return 0;
			}
		}
	}

	for (const action of steps) {
		await world.clock.advance(take(action));
	}

	heal(world);
	await world.clock.advance(healingMs);
	await check(world, program, asked);
	await world.stop();
}

function heal(world: SimulatedCluster): void {
	world.platform.isDown = false;
	world.platform.lostAnswers = 0;
	world.partitions.clear();
	world.backEnds.faults.clear();
	world.backEnds.duration = 0;
	for (const healed of world.nodes) {
		healed.thaw();
	}
}

/** Answer of the reference model: one instance that never fails answers every key once. */
function naiveAnswer(name: string): string {
	return name.startsWith('k') ? `/reserve/${name}` : ` ${name}:0`;
}

async function check(world: SimulatedCluster, program: ProgramId, asked: readonly Asked[]): Promise<void> {
	const survivor = world.nodes.find(candidate => candidate.isAlive());
	assert.ok(survivor);
	for (const name of new Set(asked.map(entry => entry.key))) {
		if (name.startsWith('k')) {
			assert.ok(executionsOf(world, name) <= 1, `${name} ran ${executionsOf(world, name)} times`);
		}

		checkConclusions(world, name, asked.filter(entry => entry.key === name));
		const call = name.startsWith('k') ? reservation(program, name) : modelCall(program, name);
		const last = outcomeKind(await within(world, finish(survivor, call), 60_000));
		const hasCompleted = asked.some(entry => entry.key === name && entry.conclusion === 'completed');
		assert.ok(!hasCompleted || last === 'completed', `${name} was completed and is now ${last}`);
		assert.ok(!name.startsWith('k') || executionsOf(world, name) <= 1, `${name} ran twice after the retry`);
	}

	await checkHistory(world, survivor, program, asked);
}

function checkConclusions(world: SimulatedCluster, name: string, entries: readonly Asked[]): void {
	for (const entry of entries) {
		if (entry.conclusion === 'completed') {
			assert.ok(entry.answer.includes(naiveAnswer(name)), `${name} was answered with ${entry.answer}`);
		}
	}

	// If a caller received another outcome, its request may be the one that ran.
	if (name.startsWith('k') && entries.every(entry => entry.conclusion === 'not-run')) {
		assert.equal(executionsOf(world, name), 0, `${name} was reported as not run and ran`);
	}
}

async function checkHistory(world: SimulatedCluster, survivor: Node, program: ProgramId, asked: readonly Asked[]): Promise<void> {
	const reply = await within(world, survivor.instance.program({kind: 'history', program, customer: brenta}), 10_000);
	assert.ok(reply.kind === 'history');
	const calls = reply.turns.map(turn => turn.call);
	assert.equal(new Set(calls).size, calls.length, 'no turn appears in the history twice');
	const answers = reply.turns.map(turn => JSON.stringify(turn.answer));
	for (const entry of asked.filter(candidate => candidate.conclusion === 'completed')) {
		assert.ok(answers.some(answer => answer.includes(naiveAnswer(entry.key))), `the acknowledged turn ${entry.key} is missing from the history`);
	}
}

test(`${runs} random schedules with seed ${seed} agree with a single instance that never fails`, async () => {
	await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 5, maxLength: 25}), fc.nat({max: 1000}), async (steps, scheduleSeed) => {
		await runSchedule(steps, scheduleSeed);
	}), {seed, numRuns: runs, endOnFailure: true});
});
