/**
Open-loop driver: starts every program at its planned time, whatever became of the others, and times
it from that moment, so that a slow system cannot hide its own queue.
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

/** What became of one program. */
export type ProgramResult = {
	readonly plan: Plan;
	/** From the planned start to the last answer, in ms. */
	readonly latency: number;
	readonly isComplete: boolean;
	readonly failure: string;
	/** Prompt tokens in all, and those computed although the program had them computed before. */
	readonly promptTokens: number;
	readonly recomputedTokens: number;
	readonly calls: number;
	/** Keys of the reservations that it made. */
	readonly reservations: readonly string[];
	/** The program's id, empty when it could not be opened. */
	readonly id: string;
};

export type DriverOptions = {
	readonly entries: readonly string[];
	readonly key: string;
	readonly onProgress?: (done: number, total: number) => void;
};

type Run = {
	readonly id: string;
	promptTokens: number;
	recomputedTokens: number;
	calls: number;
	/** Tokens of the conversation so far, all of which some engine has computed. */
	known: number;
	readonly reservations: string[];
};

/** Error of a call that ends its program. */
const isCallFailure = Symbol('call failure');

type CallFailure = Error & {[isCallFailure]: string};

function callFailure(code: string): CallFailure {
	return Object.assign(new Error(code), {[isCallFailure]: code});
}

/** Runs all plans and resolves when the last program has ended. */
export async function drive(plans: readonly Plan[], options: DriverOptions): Promise<ProgramResult[]> {
	const agent = new Agent({connections: 64});
	const startedAt = performance.now();
	let turn = 0;
	let done = 0;

	/** The balancer: entries in turn. */
	function nextEntry(): string {
		return options.entries[turn++ % options.entries.length] ?? '';
	}

	async function ask(path: string, body: unknown, headers: Record<string, string> = {}): Promise<unknown> {
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

	async function complete(run: Run, step: Extract<Step, {kind: 'model'}>): Promise<void> {
		const reply = completionBody.parse(await ask('/v1/chat/completions', {
			model: 'quotes', max_tokens: step.tokens, messages: [{role: 'user', content: step.question}],
		}, {'hickoryfork-program': run.id}));
		const {prompt_tokens: prompt, prompt_tokens_details: details, completion_tokens: completion} = reply.usage;
		run.calls++;
		run.promptTokens += prompt;
		run.recomputedTokens += Math.max(0, Math.min(run.known, prompt) - details.cached_tokens);
		run.known = prompt + completion;
	}

	async function runSteps(run: Run, steps: readonly Step[], deadline: number): Promise<void> {
		for (const step of steps) {
			switch (step.kind) {
				case 'model': {
					await complete(run, step);
					break;
				}

				case 'pause': {
					await delay(step.duration);
					break;
				}

				case 'lookup': {
					await ask(`/v1/programs/${run.id}/services/stock/blanks/1`, {});
					break;
				}

				case 'reserve': {
					const key = `${run.id}-${run.reservations.length}`;
					run.reservations.push(key);
					await ask(`/v1/programs/${run.id}/services/reservations/blanks/1`, {count: 1}, {'idempotency-key': key});
					break;
				}

				case 'sub-agent': {
					const child = await openRun(`/v1/programs/${run.id}/programs`, deadline);
					await runSteps(child, step.steps, deadline);
					run.promptTokens += child.promptTokens;
					run.recomputedTokens += child.recomputedTokens;
					run.calls += child.calls;
					await ask(`/v1/programs/${child.id}/close`, {});
					break;
				}
			}
		}
	}

	async function openRun(path: string, durationMs: number): Promise<Run> {
		const {id} = programBody.parse(await ask(path, {budget: {tokens: 1_000_000, calls: 1000, duration_ms: Math.ceil(durationMs)}}));
		return {
			id, promptTokens: 0, recomputedTokens: 0, calls: 0, known: 0, reservations: [],
		};
	}

	async function runPlan(plan: Plan): Promise<ProgramResult> {
		const due = startedAt + plan.startAt;
		await delay(Math.max(0, due - performance.now()));
		let run: Run | undefined;
		let failure = '';
		try {
			// A person waits longer than is good before giving up.
			run = await openRun('/v1/programs', plan.deadline * 3);
			await runSteps(run, plan.steps, plan.deadline * 3);
			await ask(`/v1/programs/${run.id}/close`, {});
		} catch (error) {
			failure = error instanceof Error ? error.message : String(error);
			if (run) {
				await ask(`/v1/programs/${run.id}/cancel`, {}).catch(() => undefined);
			}
		}

		done++;
		options.onProgress?.(done, plans.length);
		return {
			plan,
			latency: performance.now() - due,
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
