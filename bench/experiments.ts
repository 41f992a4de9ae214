/**
Experiments that compare scheduling policies: for each policy, a cluster runs the same programs under steady load, the
same load without stragglers, with some engines slowed down, and through a burst of load.
*/
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {z} from 'zod';
import {
	callerKey, type Cluster, fetchJson, startCluster,
} from '../standins/cluster.js';
import {runPlans, type ProgramResult} from './driver.js';
import {percentiles} from './statistics.js';
import {
	createPlans, type Engine, type Plan, type Profile, type Step, type WorkloadOptions,
} from './workload.js';

export type PolicyName = 'naive' | 'adaptive';

/** Results of one policy over all runs. */
export type Measures = {
	readonly policy: PolicyName;
	readonly programs: number;
	readonly failed: number;
	/** Percentiles of the slowdown (latency divided by the ideal duration) of the programs at 70% load. */
	readonly latency: {readonly p50: number; readonly p95: number; readonly p99: number};
	/** Share of the prompt tokens at 70% load that an engine computed again although the program had them computed before. */
	readonly wastedCache: number;
	/** Prefixes that engines still cache after all programs have ended. */
	readonly heldAfterwards: number;
	/** Head-of-line blocking: 95th percentile of the slowdown of short programs with stragglers, divided by the one without. */
	readonly headOfLine: number;
	/** 99th percentile of the slowdown with two slow engines, divided by the one at 70% load without. */
	readonly slowedTail: number;
	/** Share of all programs started during the burst that met their deadline. */
	readonly crest: number;
	/** Programs started during the burst that met their deadline, divided by those that the engines can serve in time. */
	readonly crestOfCapacity: number;
	/** Executions of reservations beyond the first; must be zero. */
	readonly repeated: number;
	/** Number of failed programs by error. */
	readonly failures: Readonly<Record<string, number>>;
};

export type ExperimentOptions = {
	readonly profile: Profile;
	readonly seed: number;
	/** Time during which programs start in each run. */
	readonly durationMs: number;
	readonly policies: readonly PolicyName[];
};

export const engine: Engine = {stepMs: 20, prefillPerStep: 200, batch: 4};

/** Load of the steady runs as a share of the engines' capacity. */
const steadyLoad = 0.7;

/** Load before and after the burst as a share of the engines' capacity. */
const baseLoad = 0.3;

/** Factor by which the load rises in the burst. */
const burstFactor = 5;

/** Factor by which slow engines are slower. */
const slowdownFactor = 10;
const slowedEngines = 2;

/** Length of the workload, at one program per second, from which the mean cost of a program is computed. */
const sampleDurationMs = 400_000;
const charactersPerToken = 4;

/** Wait before leaked prefixes are counted: longer than the 10 s between two sweeps with which entries release engine memory. */
const memoryReleaseMs = 12_000;

const stateBody = z.object({prefixes: z.record(z.string(), z.number())});
const executionsBody = z.array(z.object({key: z.string(), path: z.string()}));

/** Number of engine steps for which the model calls of a program occupy a slot of a batch. */
function engineStepsOf(steps: readonly Step[]): number {
	let total = 0;
	for (const step of steps) {
		if (step.kind === 'model') {
			total += Math.ceil(step.question.length / charactersPerToken / engine.prefillPerStep) + step.tokens;
		} else if (step.kind === 'sub-agent') {
			total += engineStepsOf(step.steps);
		}
	}

	return total;
}

/** Programs per second that use the full capacity of the engines. */
function saturationRate(profile: Profile, seed: number): number {
	const sample = createPlans({
		seed, durationMs: sampleDurationMs, rate: () => 1, withStragglers: true, engine,
	});
	const mean = sample.reduce((sum, plan) => sum + engineStepsOf(plan.steps), 0) / sample.length;
	return (profile.engines * engine.batch * 1000) / engine.stepMs / mean;
}

/** Latencies of complete programs, divided by their ideal durations. */
function slowdownsOf(results: readonly ProgramResult[], isIncluded: (plan: Plan) => boolean): number[] {
	return results.filter(result => result.isComplete && isIncluded(result.plan)).map(result => result.latency / result.plan.ideal);
}

async function run(cluster: Cluster, label: string, options: WorkloadOptions): Promise<ProgramResult[]> {
	const isTerminal = process.stderr.isTTY;
	const results = await runPlans(createPlans(options), {
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

/** Sets the factor by which the first two engines are slower; 1 restores their speed. */
async function setSlowdown(cluster: Cluster, factor: number): Promise<void> {
	await Promise.all(cluster.engines.slice(0, slowedEngines).map(async machine => fetchJson(`http://${machine.address}/control/faults`, {
		method: 'POST', body: JSON.stringify({slow: factor}),
	})));
}

/** Counts the prefixes in the caches of all engines. */
async function countHeldPrefixes(cluster: Cluster): Promise<number> {
	const states = await Promise.all(cluster.engines.map(async machine => stateBody.parse(await fetchJson(`http://${machine.address}/control/state`))));
	return states.reduce((sum, state) => sum + Object.keys(state.prefixes).length, 0);
}

/** Counts executions of reservations beyond the first with the same idempotency key. */
async function countRepeatedReservations(cluster: Cluster): Promise<number> {
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

/** Programs started in an interval that met their deadline, as shares of all and of those within the engines' capacity. */
function sharesInTime(results: readonly ProgramResult[], from: number, to: number, capacity: number): {readonly share: number; readonly ofCapacity: number} {
	const inBurst = results.filter(result => result.plan.startAt >= from && result.plan.startAt < to);
	const inTime = inBurst.filter(result => result.isComplete && result.latency <= result.plan.deadline).length;
	const meanDeadline = inBurst.reduce((sum, result) => sum + result.plan.deadline, 0) / Math.max(1, inBurst.length);
	const servablePrograms = Math.min(inBurst.length, capacity * (to - from + meanDeadline) / 1000);
	return {share: inTime / Math.max(1, inBurst.length), ofCapacity: inTime / Math.max(1, servablePrograms)};
}

async function measure(cluster: Cluster, policy: PolicyName, options: ExperimentOptions): Promise<Measures> {
	const {seed, durationMs, profile} = options;
	const fullRate = saturationRate(profile, seed);
	const common = {
		seed, durationMs, engine, withStragglers: true,
	};
	const steady = await run(cluster, `${policy} steady`, {...common, rate: () => fullRate * steadyLoad});
	const withoutStragglers = await run(cluster, `${policy} without stragglers`, {...common, rate: () => fullRate * steadyLoad, withStragglers: false});
	await setSlowdown(cluster, slowdownFactor);
	// With two of ten engines slow, about 80% of the capacity is left.
	const slowed = await run(cluster, `${policy} slow engines`, {...common, rate: () => fullRate * steadyLoad * 0.8});
	await setSlowdown(cluster, 1);
	const [from, to] = [durationMs * 0.4, durationMs * 0.6];
	const burst = await run(cluster, `${policy} burst`, {...common, rate: at => fullRate * baseLoad * (at >= from && at < to ? burstFactor : 1)});
	await delay(memoryReleaseMs);

	const isShort = (plan: Plan) => !plan.isStraggler;
	const shortWith = percentiles(slowdownsOf(steady, isShort)).p95;
	const shortWithout = percentiles(slowdownsOf(withoutStragglers, isShort)).p95;
	const healthyTail = percentiles(slowdownsOf(steady, () => true)).p99;
	const inTime = sharesInTime(burst, from, to, fullRate);
	const all = [...steady, ...withoutStragglers, ...slowed, ...burst];
	return {
		policy,
		programs: all.length,
		failed: all.filter(result => !result.isComplete).length,
		latency: percentiles(slowdownsOf(steady, () => true)),
		wastedCache: steady.reduce((sum, result) => sum + result.recomputedTokens, 0) / Math.max(1, steady.reduce((sum, result) => sum + result.promptTokens, 0)),
		heldAfterwards: await countHeldPrefixes(cluster),
		headOfLine: shortWith / shortWithout,
		slowedTail: percentiles(slowdownsOf(slowed, () => true)).p99 / healthyTail,
		crest: inTime.share,
		crestOfCapacity: inTime.ofCapacity,
		repeated: await countRepeatedReservations(cluster),
		failures: failuresOf(all),
	};
}

/** Runs all experiments for each policy in turn, on a new cluster for each policy. */
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
