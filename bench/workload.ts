/**
Workloads of the brief: programs as chains of dependent calls of unknown shape, with pauses for tools,
service calls, sub-agents and a few stragglers. Everything comes from a seed.
*/
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';

/** Sizes and delays of a customer. */
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

export type Step
	= | {readonly kind: 'model'; readonly question: string; readonly tokens: number}
		| {readonly kind: 'lookup'}
		| {readonly kind: 'reserve'}
		| {readonly kind: 'pause'; readonly duration: number}
		| {readonly kind: 'sub-agent'; readonly steps: readonly Step[]};

export type Plan = {
	readonly number: number;
	/** Time after the start of the run, in ms. */
	readonly startAt: number;
	readonly steps: readonly Step[];
	readonly isStraggler: boolean;
	/** Shortest possible duration in ms: no waiting and nothing computed twice. */
	readonly ideal: number;
	/** Time within which the person waiting wants the answer, in ms. */
	readonly deadline: number;
};

/** Speed of the engines that plans are made for. */
export type Engine = {
	readonly stepMs: number;
	readonly prefillPerStep: number;
	readonly batch: number;
};

export type WorkloadOptions = {
	readonly seed: number;
	readonly durationMs: number;
	/** Programs a second at a time after the start, in ms. */
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

type Source = {readonly uniform: (low: number, high: number) => number; readonly chance: (share: number) => boolean; readonly exponential: (mean: number) => number};

function createSource(seed: number): Source {
	const generator = xoroshiro128plus(seed);
	const uniform = (low: number, high: number) => low + (uniformFloat64(generator) * (high - low));
	return {
		uniform,
		chance: share => uniform(0, 1) < share,
		exponential: mean => -Math.log(1 - uniform(0, 1)) * mean,
	};
}

function createQuestion(source: Source): Step {
	const tokens = Math.round(source.uniform(6, 24));
	const words = Math.round(source.uniform(60, 240)) * charactersPerToken;
	const identity = Math.round(source.uniform(0, 1e9)).toString(36);
	return {kind: 'model', question: `${identity} ${'q'.repeat(words)} [[tokens=${tokens}]]`, tokens};
}

function createChain(source: Source, turns: number, mayBranch: boolean): Step[] {
	const steps: Step[] = [];
	for (let turn = 0; turn < turns; turn++) {
		steps.push(createQuestion(source));
		if (turn < turns - 1) {
			steps.push({kind: 'pause', duration: Math.min(1000, source.exponential(120))});
		}

		if (source.chance(lookupShare)) {
			steps.push({kind: 'lookup'});
		}

		if (source.chance(reserveShare)) {
			steps.push({kind: 'reserve'});
		}

		if (mayBranch && source.chance(subAgentShare / turns)) {
			steps.push({kind: 'sub-agent', steps: createChain(source, 2, false)});
		}
	}

	return steps;
}

function idealOf(steps: readonly Step[], engine: Engine): number {
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
				total += idealOf(step.steps, engine);
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

/** Tokens that a chain generates, sub-agents included. */
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

/** Plans every program of a run. The same seed gives the same plans whatever is measured. */
export function createPlans(options: WorkloadOptions): Plan[] {
	const source = createSource(options.seed);
	const plans: Plan[] = [];
	let at = 0;
	for (;;) {
		at += source.exponential(1000 / options.rate(at));
		if (at >= options.durationMs) {
			return plans;
		}

		const isStraggler = source.chance(stragglerShare);
		const turns = Math.max(1, Math.min(12, Math.round(source.exponential(4))));
		// Drawn in any case, so that runs with and without stragglers have the same other programs.
		const long = createChain(source, stragglerTurns, false);
		const short = createChain(source, turns, true);
		const steps = isStraggler && options.withStragglers ? long : short;
		if (isStraggler && !options.withStragglers) {
			continue;
		}

		const ideal = idealOf(steps, options.engine);
		plans.push({
			number: plans.length, startAt: at, steps, isStraggler, ideal, deadline: Math.max(shortestDeadlineMs, ideal * deadlineFactor),
		});
	}
}
