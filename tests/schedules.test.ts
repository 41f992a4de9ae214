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
		| {readonly kind: 'model-call'; readonly node: number; readonly key: string}
		| {readonly kind: 'wait'; readonly duration: number}
		| {readonly kind: 'kill'; readonly node: number}
		| {readonly kind: 'freeze' | 'thaw'; readonly node: number}
		| {readonly kind: 'outage'; readonly isDown: boolean}
		| {readonly kind: 'lose-responses'; readonly count: number}
		| {readonly kind: 'partition-platform'; readonly isPartitioned: boolean}
		| {readonly kind: 'disconnect-service'; readonly isDisconnecting: boolean}
		| {readonly kind: 'slow'; readonly duration: number};

/** A call and the outcome that its caller received. */
type IssuedCall = {readonly key: string; outcome: string | undefined; answer: string};

const node = fc.nat({max: 2});
const key = fc.constantFrom('k1', 'k2', 'k3');
const step: fc.Arbitrary<Step> = fc.oneof(
	{weight: 6, arbitrary: fc.record({kind: fc.constant('reserve' as const), node, key})},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('model-call' as const), node, key: fc.constantFrom('q1', 'q2', 'q3', 'q4')})},
	{weight: 6, arbitrary: fc.record({kind: fc.constant('wait' as const), duration: fc.constantFrom(10, 100, 700, 2500, 6000)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('kill' as const), node})},
	{weight: 2, arbitrary: fc.record({kind: fc.constantFrom('freeze' as const, 'thaw' as const), node})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('outage' as const), isDown: fc.boolean()})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('lose-responses' as const), count: fc.integer({min: 1, max: 3})})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('partition-platform' as const), isPartitioned: fc.boolean()})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('disconnect-service' as const), isDisconnecting: fc.boolean()})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('slow' as const), duration: fc.constantFrom(0, 300, 4000)})},
);

function executionsOf(cluster: SimulatedCluster, executionKey: string): number {
	return cluster.backEnds.executions.filter(execution => execution.key === executionKey && execution.kind === 'service').length;
}

async function runSchedule(steps: readonly Step[], scheduleSeed: number): Promise<void> {
	const cluster = await createSimulatedCluster({instancesPerDataCentre: 3, seed: scheduleSeed});
	const program = await within(cluster, openProgram(cluster.node(0)), 2000);
	const issuedCalls: IssuedCall[] = [];

	function issue(caller: Node, kind: 'reserve' | 'model-call', name: string): void {
		const call = kind === 'reserve' ? reservation(program, name) : modelCall(program, name);
		const entry: IssuedCall = {key: name, outcome: undefined, answer: ''};
		issuedCalls.push(entry);
		void finish(caller, call).then(event => {
			entry.outcome = outcomeKind(event);
			entry.answer = event?.kind === 'settled' && event.outcome.kind === 'completed' ? JSON.stringify(event.outcome.answer) : '';
		});
	}

	function perform(action: Step): number {
		switch (action.kind) {
			case 'reserve':
			case 'model-call': {
				const caller = cluster.node(action.node);
				if (caller.isAlive()) {
					issue(caller, action.kind, action.key);
				}

				return 0;
			}

			case 'wait': {
				return action.duration;
			}

			case 'kill': {
				if (cluster.nodes.filter(other => other.isAlive()).length > 1) {
					cluster.node(action.node).kill();
				}

				return 0;
			}

			case 'freeze': {
				cluster.node(action.node).freeze();
				return 0;
			}

			case 'thaw': {
				cluster.node(action.node).thaw();
				return 0;
			}

			case 'outage': {
				cluster.platform.isDown = action.isDown;
				return 0;
			}

			case 'lose-responses': {
				cluster.platform.lostResponses = action.count;
				return 0;
			}

			case 'partition-platform': {
				cluster.partitions[action.isPartitioned ? 'add' : 'delete']('padova|platform');
				return 0;
			}

			case 'disconnect-service': {
				cluster.backEnds.faults.set('service-0', action.isDisconnecting ? 'disconnects' : 'none');
				return 0;
			}

			case 'slow': {
				cluster.backEnds.duration = action.duration;
				return 0;
			}
		}
	}

	for (const action of steps) {
		await cluster.clock.advance(perform(action));
	}

	heal(cluster);
	await cluster.clock.advance(healingMs);
	await check(cluster, program, issuedCalls);
	await cluster.stop();
}

function heal(cluster: SimulatedCluster): void {
	cluster.platform.isDown = false;
	cluster.platform.lostResponses = 0;
	cluster.partitions.clear();
	cluster.backEnds.faults.clear();
	cluster.backEnds.duration = 0;
	for (const healed of cluster.nodes) {
		healed.thaw();
	}
}

/** Answer of the reference model: one instance that never fails answers every key once. */
function expectedAnswer(name: string): string {
	return name.startsWith('k') ? `/reserve/${name}` : ` ${name}:0`;
}

async function check(cluster: SimulatedCluster, program: ProgramId, issuedCalls: readonly IssuedCall[]): Promise<void> {
	const survivor = cluster.nodes.find(candidate => candidate.isAlive());
	assert.ok(survivor);
	for (const name of new Set(issuedCalls.map(entry => entry.key))) {
		if (name.startsWith('k')) {
			assert.ok(executionsOf(cluster, name) <= 1, `${name} ran ${executionsOf(cluster, name)} times`);
		}

		checkOutcomes(cluster, name, issuedCalls.filter(entry => entry.key === name));
		const call = name.startsWith('k') ? reservation(program, name) : modelCall(program, name);
		const last = outcomeKind(await within(cluster, finish(survivor, call), 60_000));
		const hasCompleted = issuedCalls.some(entry => entry.key === name && entry.outcome === 'completed');
		assert.ok(!hasCompleted || last === 'completed', `${name} was completed and is now ${last}`);
		assert.ok(!name.startsWith('k') || executionsOf(cluster, name) <= 1, `${name} ran twice after the retry`);
	}

	await checkHistory(cluster, survivor, program, issuedCalls);
}

function checkOutcomes(cluster: SimulatedCluster, name: string, entries: readonly IssuedCall[]): void {
	for (const entry of entries) {
		if (entry.outcome === 'completed') {
			assert.ok(entry.answer.includes(expectedAnswer(name)), `${name} was answered with ${entry.answer}`);
		}
	}

	// If a caller received another outcome, its request may be the one that ran.
	if (name.startsWith('k') && entries.every(entry => entry.outcome === 'not-run')) {
		assert.equal(executionsOf(cluster, name), 0, `${name} was reported as not run and ran`);
	}
}

async function checkHistory(cluster: SimulatedCluster, survivor: Node, program: ProgramId, issuedCalls: readonly IssuedCall[]): Promise<void> {
	const reply = await within(cluster, survivor.instance.program({kind: 'history', program, customer: brenta}), 10_000);
	assert.ok(reply.kind === 'history');
	const calls = reply.turns.map(turn => turn.call);
	assert.equal(new Set(calls).size, calls.length, 'no turn appears in the history twice');
	const answers = reply.turns.map(turn => JSON.stringify(turn.answer));
	for (const entry of issuedCalls.filter(candidate => candidate.outcome === 'completed')) {
		assert.ok(answers.some(answer => answer.includes(expectedAnswer(entry.key))), `the acknowledged turn ${entry.key} is missing from the history`);
	}
}

test(`${runs} random schedules with seed ${seed} agree with a single instance that never fails`, async () => {
	await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 5, maxLength: 25}), fc.nat({max: 1000}), async (steps, scheduleSeed) => {
		await runSchedule(steps, scheduleSeed);
	}), {seed, numRuns: runs, endOnFailure: true});
});
