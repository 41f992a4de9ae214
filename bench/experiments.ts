/**
Experiments: the same plans against one cluster, under steady load, with and without stragglers, with
slowed engines and through a swing.
*/
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {z} from 'zod';
import {
	callerKey, type Cluster, fetchJson, startCluster,
} from '../standins/cluster.js';
import {drive, type ProgramResult} from './driver.js';
import {percentiles} from './statistics.js';
import {
	createPlans, type Engine, type Plan, type Profile, type Step, type WorkloadOptions,
} from './workload.js';

export type PolicyName = 'naive' | 'adaptive';

export type Measures = {
	readonly policy: PolicyName;
	readonly programs: number;
	readonly failed: number;
	/** Latency over the ideal of each program at 70% load. */
	readonly latency: {readonly p50: number; readonly p95: number; readonly p99: number};
	/** Prompt tokens computed again as a share of all prompt tokens. */
	readonly wastedCache: number;
	/** Programs whose prompts engines still hold after all have ended. */
	readonly heldAfterwards: number;
	/** 95th percentile of the slowdown of short programs, with stragglers over without. */
	readonly headOfLine: number;
	/** 99th percentile of the slowdown with two slowed engines over the same without. */
	readonly slowedTail: number;
	/** Share of all programs of the swing that finished within their deadline. */
	readonly crest: number;
	/** Programs of the swing that finished in time, over those that the engines' capacity allows. */
	readonly crestOfCapacity: number;
	/** Reservations that ran more than once. */
	readonly repeated: number;
	readonly failures: Readonly<Record<string, number>>;
};

export type ExperimentOptions = {
	readonly profile: Profile;
	readonly seed: number;
	readonly durationMs: number;
	readonly policies: readonly PolicyName[];
};

export const engine: Engine = {stepMs: 20, prefillPerStep: 200, batch: 4};

const steadyLoad = 0.7;
const meanLoad = 0.3;
const swingFactor = 5;
const slowdown = 10;
const slowedEngines = 2;
const sampleMs = 400_000;
const charactersPerToken = 4;
const settleMs = 12_000;

const stateBody = z.object({prefixes: z.record(z.string(), z.number())});
const executionsBody = z.array(z.object({key: z.string(), path: z.string()}));

/** Engine steps that a chain occupies one place of a batch for. */
function stepsOf(steps: readonly Step[]): number {
	let total = 0;
	for (const step of steps) {
		if (step.kind === 'model') {
			total += Math.ceil(step.question.length / charactersPerToken / engine.prefillPerStep) + step.tokens;
		} else if (step.kind === 'sub-agent') {
			total += stepsOf(step.steps);
		}
	}

	return total;
}

/** Programs a second that keep the engines busy to the full. */
function saturation(profile: Profile, seed: number): number {
	const sample = createPlans({
		seed, durationMs: sampleMs, rate: () => 1, withStragglers: true, engine,
	});
	const mean = sample.reduce((sum, plan) => sum + stepsOf(plan.steps), 0) / sample.length;
	return (profile.engines * engine.batch * 1000) / engine.stepMs / mean;
}

function slowdownsOf(results: readonly ProgramResult[], isWanted: (plan: Plan) => boolean): number[] {
	return results.filter(result => result.isComplete && isWanted(result.plan)).map(result => result.latency / result.plan.ideal);
}

async function run(cluster: Cluster, label: string, options: WorkloadOptions): Promise<ProgramResult[]> {
	const isTerminal = process.stderr.isTTY;
	const results = await drive(createPlans(options), {
		entries: cluster.entries.map(entry => entry.address),
		key: callerKey,
		onProgress(done, total) {
			if (isTerminal) {
				process.stderr.write(`\r${label}: ${done} of ${total} programs `);
			}
		},
	});
	if (isTerminal) {
		process.stderr.write('\n');
	}

	return results;
}

async function setSlow(cluster: Cluster, factor: number): Promise<void> {
	await Promise.all(cluster.engines.slice(0, slowedEngines).map(async machine => fetchJson(`http://${machine.address}/control/faults`, {
		method: 'POST', body: JSON.stringify({slow: factor}),
	})));
}

async function countHeld(cluster: Cluster): Promise<number> {
	const states = await Promise.all(cluster.engines.map(async machine => stateBody.parse(await fetchJson(`http://${machine.address}/control/state`))));
	return states.reduce((sum, state) => sum + Object.keys(state.prefixes).length, 0);
}

async function countRepeated(cluster: Cluster): Promise<number> {
	const logs = await Promise.all(cluster.services.map(async machine => executionsBody.parse(await fetchJson(`http://${machine.address}/control/executions`))));
	const keys = logs.flat().filter(execution => execution.key.includes('-')).map(execution => execution.key);
	return keys.length - new Set(keys).size;
}

function failuresOf(results: readonly ProgramResult[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const result of results) {
		if (!result.isComplete) {
			counts[result.failure] = (counts[result.failure] ?? 0) + 1;
		}
	}

	return counts;
}

/** Programs that started during the swing, and how many of them the engines could have served. */
function crestOf(results: readonly ProgramResult[], from: number, to: number, capacity: number): {readonly share: number; readonly ofCapacity: number} {
	const inSwing = results.filter(result => result.plan.startAt >= from && result.plan.startAt < to);
	const inTime = inSwing.filter(result => result.isComplete && result.latency <= result.plan.deadline).length;
	const meanDeadline = inSwing.reduce((sum, result) => sum + result.plan.deadline, 0) / Math.max(1, inSwing.length);
	const servable = Math.min(inSwing.length, capacity * (to - from + meanDeadline) / 1000);
	return {share: inTime / Math.max(1, inSwing.length), ofCapacity: inTime / Math.max(1, servable)};
}

async function measure(cluster: Cluster, policy: PolicyName, options: ExperimentOptions): Promise<Measures> {
	const {seed, durationMs, profile} = options;
	const full = saturation(profile, seed);
	const common = {
		seed, durationMs, engine, withStragglers: true,
	};
	const steady = await run(cluster, `${policy} steady`, {...common, rate: () => full * steadyLoad});
	const plain = await run(cluster, `${policy} without stragglers`, {...common, rate: () => full * steadyLoad, withStragglers: false});
	await setSlow(cluster, slowdown);
	const slowed = await run(cluster, `${policy} slowed`, {...common, rate: () => full * steadyLoad * 0.8});
	await setSlow(cluster, 1);
	const [from, to] = [durationMs * 0.4, durationMs * 0.6];
	const swing = await run(cluster, `${policy} swing`, {...common, rate: at => full * meanLoad * (at >= from && at < to ? swingFactor : 1)});
	await delay(settleMs);

	const isShort = (plan: Plan) => !plan.isStraggler;
	const shortWith = percentiles(slowdownsOf(steady, isShort)).p95;
	const shortWithout = percentiles(slowdownsOf(plain, isShort)).p95;
	const healthyTail = percentiles(slowdownsOf(steady, () => true)).p99;
	const crest = crestOf(swing, from, to, full);
	const all = [...steady, ...plain, ...slowed, ...swing];
	return {
		policy,
		programs: all.length,
		failed: all.filter(result => !result.isComplete).length,
		latency: percentiles(slowdownsOf(steady, () => true)),
		wastedCache: steady.reduce((sum, result) => sum + result.recomputedTokens, 0) / Math.max(1, steady.reduce((sum, result) => sum + result.promptTokens, 0)),
		heldAfterwards: await countHeld(cluster),
		headOfLine: shortWith / shortWithout,
		slowedTail: percentiles(slowdownsOf(slowed, () => true)).p99 / healthyTail,
		crest: crest.share,
		crestOfCapacity: crest.ofCapacity,
		repeated: await countRepeated(cluster),
		failures: failuresOf(all),
	};
}

/** Runs every experiment for every policy, one after the other, each on a cluster of its own. */
export async function runExperiments(options: ExperimentOptions): Promise<Measures[]> {
	const measures: Measures[] = [];
	for (const policy of options.policies) {
		const {profile} = options;
		const cluster = await startCluster({
			dataCentres: profile.dataCentres,
			entriesPerDataCentre: profile.entriesPerDataCentre,
			enginesPerDataCentre: 0,
			servicesPerDataCentre: 0,
			engines: profile.engines,
			services: profile.services,
			stepMs: engine.stepMs,
			batch: engine.batch,
			cacheTokens: 60_000,
			logLevel: 'warn',
			policy,
		});
		try {
			await cluster.configure();
			await cluster.ready();
			measures.push(await measure(cluster, policy, options));
		} finally {
			await cluster.stop();
		}
	}

	return measures;
}
