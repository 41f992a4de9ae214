/**
Generator of workloads: programs as chains of dependent calls whose length the scheduler does not know in advance,
with pauses for tools, service calls, sub-agents and a few stragglers. Everything is derived from a seed.
*/
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';

/** Size of a customer's installation. */
export type Profile = {
	readonly name: 'brenta' | 'trentside';
	readonly dataCentres: readonly string[];
	readonly entriesPerDataCentre: number;
	readonly engines: number;
	readonly services: number;
};

export const profiles: Readonly<Record<Profile['name'], Profile>> = {
	brenta: {
		name: 'brenta', dataCentres: ['padova', 'vicenza', 'treviso', 'verona'], entriesPerDataCentre: 4, engines: 10, services: 24,
	},
	trentside: {
		name: 'trentside', dataCentres: ['nottingham', 'derby', 'leicester', 'loughborough'], entriesPerDataCentre: 4, engines: 6, services: 17,
	},
};

/** A step of a program; durations are in ms. */
export type Step
	= | {readonly kind: 'model'; readonly question: string; readonly tokens: number}
		| {readonly kind: 'lookup'}
		| {readonly kind: 'reserve'}
		| {readonly kind: 'pause'; readonly duration: number}
		| {readonly kind: 'sub-agent'; readonly steps: readonly Step[]};

/** A program to run: when it starts and what it does. */
export type Plan = {
	readonly number: number;
	/** Planned start after the start of the run, in ms. */
	readonly startAt: number;
	readonly steps: readonly Step[];
	/** Whether it is one of the few programs that are much longer than the others. */
	readonly isStraggler: boolean;
	/** Shortest possible duration in ms: without queueing, and with no prompt token computed twice. */
	readonly ideal: number;
	/** Time from the planned start within which the user expects the answer, in ms. */
	readonly deadline: number;
};

/** Speed of the engines for which ideal durations are computed. */
export type Engine = {
	readonly stepMs: number;
	/** Prompt tokens that a sequence computes in one step. */
	readonly prefillPerStep: number;
	/** Sequences that run at once. */
	readonly batch: number;
};

export type WorkloadOptions = {
	readonly seed: number;
	readonly durationMs: number;
	/** Programs started per second, as a function of the time after the start of the run in ms. */
	readonly rate: (at: number) => number;
	readonly withStragglers: boolean;
	readonly engine: Engine;
};

const stragglerShare = 0.04;
const stragglerTurns = 25;
const subAgentShare = 0.15;
const lookupShare = 0.4;
const reserveShare = 0.1;
const charactersPerToken = 4;
const deadlineFactor = 4;
const shortestDeadlineMs = 1500;

/** Seeded random numbers. */
type RandomSource = {readonly uniform: (low: number, high: number) => number; readonly chance: (share: number) => boolean; readonly exponential: (mean: number) => number};

function createRandomSource(seed: number): RandomSource {
	const generator = xoroshiro128plus(seed);
	const uniform = (low: number, high: number) => low + (uniformFloat64(generator) * (high - low));
	return {
		uniform,
		chance: share => uniform(0, 1) < share,
		exponential: mean => -Math.log(1 - uniform(0, 1)) * mean,
	};
}

function createModelStep(source: RandomSource): Step {
	const tokens = Math.round(source.uniform(6, 24));
	const characters = Math.round(source.uniform(60, 240)) * charactersPerToken;
	const identity = Math.round(source.uniform(0, 1e9)).toString(36);
	return {kind: 'model', question: `${identity} ${'q'.repeat(characters)} [[tokens=${tokens}]]`, tokens};
}

/** Creates the steps of a program with a number of model calls. */
function createChain(source: RandomSource, turns: number, mayStartSubAgents: boolean): Step[] {
	const steps: Step[] = [];
	for (let turn = 0; turn < turns; turn++) {
		steps.push(createModelStep(source));
		if (turn < turns - 1) {
			steps.push({kind: 'pause', duration: Math.min(1000, source.exponential(120))});
		}

		if (source.chance(lookupShare)) {
			steps.push({kind: 'lookup'});
		}

		if (source.chance(reserveShare)) {
			steps.push({kind: 'reserve'});
		}

		if (mayStartSubAgents && source.chance(subAgentShare / turns)) {
			steps.push({kind: 'sub-agent', steps: createChain(source, 2, false)});
		}
	}

	return steps;
}

/** Duration of steps in ms without queueing; only the text of the new question is computed, the conversation before it is cached. */
function idealDuration(steps: readonly Step[], engine: Engine): number {
	let total = 0;
	for (const step of steps) {
		switch (step.kind) {
			case 'model': {
				const prefill = Math.ceil(step.question.length / charactersPerToken / engine.prefillPerStep);
				total += (prefill + step.tokens) * engine.stepMs;
				break;
			}

			case 'pause': {
				total += step.duration;
				break;
			}

			case 'sub-agent': {
				total += idealDuration(step.steps, engine);
				break;
			}

			case 'lookup':
			case 'reserve': {
				break;
			}
		}
	}

	return total;
}

/** Counts the tokens that engines generate for steps, sub-agents included. */
export function tokensOf(steps: readonly Step[]): number {
	let total = 0;
	for (const step of steps) {
		if (step.kind === 'model') {
			total += step.tokens;
		} else if (step.kind === 'sub-agent') {
			total += tokensOf(step.steps);
		}
	}

	return total;
}

/** Plans all programs of a run. Depends on nothing but the options, so that all policies run the same programs. */
export function createPlans(options: WorkloadOptions): Plan[] {
	const source = createRandomSource(options.seed);
	const plans: Plan[] = [];
	let at = 0;
	for (;;) {
		at += source.exponential(1000 / options.rate(at));
		if (at >= options.durationMs) {
			return plans;
		}

		const isStraggler = source.chance(stragglerShare);
		const turns = Math.max(1, Math.min(12, Math.round(source.exponential(4))));
		// Both chains are drawn in every case, so that runs with and without stragglers share all other programs.
		const longChain = createChain(source, stragglerTurns, false);
		const shortChain = createChain(source, turns, true);
		const steps = isStraggler && options.withStragglers ? longChain : shortChain;
		if (isStraggler && !options.withStragglers) {
			continue;
		}

		const ideal = idealDuration(steps, options.engine);
		plans.push({
			number: plans.length, startAt: at, steps, isStraggler, ideal, deadline: Math.max(shortestDeadlineMs, ideal * deadlineFactor),
		});
	}
}
