/**
Open-loop load generator: starts every program at its planned time, regardless of the progress of the others, and
measures latency from that time, so that queueing in a slow system is part of the result (no coordinated omission).
*/
import {setTimeout as delay} from 'node:timers/promises';
import {Agent} from 'undici';
import {z} from 'zod';
import {type Plan, type Step} from './workload.js';

const programBody = z.object({id: z.string()});
const completionBody = z.object({
	usage: z.object({prompt_tokens: z.number(), completion_tokens: z.number(), prompt_tokens_details: z.object({cached_tokens: z.number()})}),
});
const errorBody = z.object({error: z.object({code: z.string(), outcome: z.string()})});

/** Result of one program. */
export type ProgramResult = {
	readonly plan: Plan;
	/** Time from the planned start until the program was closed or had failed, in ms. */
	readonly latency: number;
	readonly isComplete: boolean;
	/** Error that ended the program, empty if it is complete. */
	readonly failure: string;
	/** All prompt tokens, and those that an engine computed again although an earlier call of the program had computed them. */
	readonly promptTokens: number;
	readonly recomputedTokens: number;
	readonly calls: number;
	/** Idempotency keys of its reservations. */
	readonly reservations: readonly string[];
	/** Id of the program, empty if it could not be opened. */
	readonly id: string;
};

export type DriverOptions = {
	/** Addresses of the entries, which get requests in turn. */
	readonly entries: readonly string[];
	/** API key of the customer. */
	readonly key: string;
	readonly onProgress?: (done: number, total: number) => void;
};

/** A program that is running, with its counters so far. */
type Run = {
	readonly id: string;
	promptTokens: number;
	recomputedTokens: number;
	calls: number;
	/** Length of the conversation so far in tokens, all of which some engine has computed. */
	conversationTokens: number;
	readonly reservations: string[];
};

/** Property of an error that holds the code with which a call failed. */
const callFailureCode = Symbol('call failure');

type CallFailure = Error & {[callFailureCode]: string};

function callFailure(code: string): CallFailure {
	return Object.assign(new Error(code), {[callFailureCode]: code});
}

/** Runs all plans. Resolves when the last program has ended; failures of programs are in the results. */
export async function runPlans(plans: readonly Plan[], options: DriverOptions): Promise<ProgramResult[]> {
	const agent = new Agent({connections: 64});
	const startedAt = performance.now();
	/** Number of requests sent so far. */
	let turn = 0;
	let done = 0;

	/** Picks entries round-robin, in place of a load balancer. */
	function nextEntry(): string {
		return options.entries[turn++ % options.entries.length] ?? '';
	}

	/** Posts JSON to the next entry. Rejects with the error code and outcome if the request fails. */
	async function post(path: string, body: unknown, headers: Record<string, string> = {}): Promise<unknown> {
		const response = await agent.request({
			origin: `http://${nextEntry()}`,
			path,
			method: 'POST',
			headers: {authorization: `Bearer ${options.key}`, 'content-type': 'application/json', ...headers},
			body: JSON.stringify(body),
			headersTimeout: 0,
			bodyTimeout: 0,
		});
		const reply: unknown = await response.body.json();
		if (response.statusCode >= 300) {
			const parsed = errorBody.safeParse(reply);
			throw callFailure(parsed.success ? `${parsed.data.error.code}/${parsed.data.error.outcome}` : String(response.statusCode));
		}

		return reply;
	}

	/** Makes a model call and counts its prompt tokens. */
	async function callModel(run: Run, step: Extract<Step, {kind: 'model'}>): Promise<void> {
		const reply = completionBody.parse(await post('/v1/chat/completions', {
			model: 'quotes', max_tokens: step.tokens, messages: [{role: 'user', content: step.question}],
		}, {'hickoryfork-program': run.id}));
		const {prompt_tokens: prompt, prompt_tokens_details: details, completion_tokens: completion} = reply.usage;
		run.calls++;
		run.promptTokens += prompt;
		run.recomputedTokens += Math.max(0, Math.min(run.conversationTokens, prompt) - details.cached_tokens);
		run.conversationTokens = prompt + completion;
	}

	async function runSteps(run: Run, steps: readonly Step[], deadline: number): Promise<void> {
		for (const step of steps) {
			switch (step.kind) {
				case 'model': {
					await callModel(run, step);
					break;
				}

				case 'pause': {
					await delay(step.duration);
					break;
				}

				case 'lookup': {
					await post(`/v1/programs/${run.id}/services/stock/blanks/1`, {});
					break;
				}

				case 'reserve': {
					const key = `${run.id}-${run.reservations.length}`;
					run.reservations.push(key);
					await post(`/v1/programs/${run.id}/services/reservations/blanks/1`, {count: 1}, {'idempotency-key': key});
					break;
				}

				case 'sub-agent': {
					const child = await openProgram(`/v1/programs/${run.id}/programs`, deadline);
					await runSteps(child, step.steps, deadline);
					run.promptTokens += child.promptTokens;
					run.recomputedTokens += child.recomputedTokens;
					run.calls += child.calls;
					await post(`/v1/programs/${child.id}/close`, {});
					break;
				}
			}
		}
	}

	async function openProgram(path: string, durationMs: number): Promise<Run> {
		const {id} = programBody.parse(await post(path, {budget: {tokens: 1_000_000, calls: 1000, duration_ms: Math.ceil(durationMs)}}));
		return {
			id, promptTokens: 0, recomputedTokens: 0, calls: 0, conversationTokens: 0, reservations: [],
		};
	}

	async function runPlan(plan: Plan): Promise<ProgramResult> {
		const plannedAt = startedAt + plan.startAt;
		await delay(Math.max(0, plannedAt - performance.now()));
		let run: Run | undefined;
		let failure = '';
		try {
			// Users give up long after the deadline, so an overloaded system still has to run programs that are too late.
			run = await openProgram('/v1/programs', plan.deadline * 3);
			await runSteps(run, plan.steps, plan.deadline * 3);
			await post(`/v1/programs/${run.id}/close`, {});
		} catch (error) {
			failure = error instanceof Error ? error.message : String(error);
			if (run) {
				await post(`/v1/programs/${run.id}/cancel`, {}).catch(() => undefined);
			}
		}

		done++;
		options.onProgress?.(done, plans.length);
		return {
			plan,
			latency: performance.now() - plannedAt,
			isComplete: failure === '',
			failure,
			promptTokens: run?.promptTokens ?? 0,
			recomputedTokens: run?.recomputedTokens ?? 0,
			calls: run?.calls ?? 0,
			reservations: run?.reservations ?? [],
			id: run?.id ?? '',
		};
	}

	const results = await Promise.all(plans.map(async plan => runPlan(plan)));
	await agent.destroy();
	return results;
}
