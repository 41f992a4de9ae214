/**
Link to model engines: chat completions with server-sent events, resumption and cancellation of
streams, and the engine's memory.
*/
import {createParser} from 'eventsource-parser';
import {type Agent, type Dispatcher} from 'undici';
import {z} from 'zod';
import {type Attempt, type AttemptResult, type DispatchOptions} from '../contracts/attempt.js';
import {describeError, failure, type FailureCode} from '../contracts/failure.js';
import {
	as, type AttemptId, type ProgramId, type Tokens,
} from '../contracts/id.js';
import {type Usage} from '../contracts/outcome.js';
import {type Endpoint} from '../contracts/pool.js';
import {maximumBodyBytes, readBoundedText} from './bounded-body.js';
import {isNotSent, readJson} from './http.js';

const controlTimeoutMs = 1000;

const chunk = z.object({
	choices: z.array(z.object({
		delta: z.object({content: z.string().optional()}),
		finish_reason: z.enum(['stop', 'length']).nullish(),
	})).min(1),
	usage: z.object({
		prompt_tokens: z.number(),
		completion_tokens: z.number(),
		prompt_tokens_details: z.object({cached_tokens: z.number()}).optional(),
	}).nullish(),
});

const holdingsBody = z.object({prefixes: z.array(z.object({owner: z.string()}))});

type Finish = {readonly finish: 'stop' | 'length'; readonly usage: Usage};

export type EngineLink = {
	readonly send: (endpoint: Endpoint, attempt: Attempt, options: DispatchOptions) => Promise<AttemptResult>;
	readonly resume: (endpoint: Endpoint, attempt: AttemptId, options: DispatchOptions) => Promise<AttemptResult>;
	readonly release: (endpoint: Endpoint, program: ProgramId) => Promise<boolean>;
	readonly cachedPrograms: (endpoint: Endpoint) => Promise<readonly ProgramId[] | undefined>;
};

/** Statuses with which an endpoint says that it did not take the request up. */
export function isNotAccepted(response: Dispatcher.ResponseData): boolean {
	return (response.statusCode === 429 || response.statusCode === 503) && response.headers['retry-after'] !== undefined;
}

/** Result of an attempt that was answered without being taken up. */
export async function notAcceptedResult(response: Dispatcher.ResponseData, endpoint: Endpoint): Promise<AttemptResult> {
	await response.body.dump();
	const isLeaving = response.headers['x-leaving'] === 'true';
	return {
		kind: 'not-started',
		isLeaving,
		failure: failure(isLeaving ? 'leaving' : 'overloaded', `${endpoint.id} did not take the request: ${response.statusCode}`, {step: 'dispatch', peer: endpoint.id}),
	};
}

/** Result of an attempt that a transport error ended. */
export function transportErrorResult(error: unknown, endpoint: Endpoint, options: DispatchOptions): AttemptResult {
	const text = describeError(error);
	if (isNotSent(error)) {
		return {
			kind: 'not-started',
			isLeaving: false,
			failure: failure('endpoint-failed', `${endpoint.id} cannot be reached: ${text}`, {step: 'dispatch', peer: endpoint.id}),
		};
	}

	const code = codeOf(text, options);
	return {
		kind: 'broken',
		failure: failure(code, `The connection to ${endpoint.id} broke: ${text}`, {step: 'stream', peer: endpoint.id, execution: 'unknown'}),
	};
}

function codeOf(text: string, options: DispatchOptions): FailureCode {
	if (options.signal.aborted) {
		return describeError(options.signal.reason).includes('deadline') ? 'deadline-exceeded' : 'cancelled';
	}

	return /timeout|timed out/iv.test(text) ? 'deadline-exceeded' : 'endpoint-failed';
}

/** Signal that aborts with the caller's or after the call's time. */
export function attemptSignal(options: DispatchOptions): AbortSignal {
	return AbortSignal.any([options.signal, AbortSignal.timeout(options.timeout)]);
}

/** Creates the engine link over a connection agent. */
export function createEngineLink(agent: Agent): EngineLink {
	async function collect(response: Dispatcher.ResponseData, options: DispatchOptions): Promise<{tokens: string[]; end: Finish | undefined}> {
		const tokens: string[] = [];
		let end: Finish | undefined;
		const parser = createParser({
			onEvent(event) {
				if (event.data === '[DONE]') {
					return;
				}

				const parsed = chunk.parse(JSON.parse(event.data));
				const [choice] = parsed.choices;
				if (choice?.delta.content !== undefined) {
					options.onToken(choice.delta.content, tokens.length);
					tokens.push(choice.delta.content);
				}

				if (choice?.finish_reason && parsed.usage) {
					end = {
						finish: choice.finish_reason,
						usage: {
							prompt: as<Tokens>(parsed.usage.prompt_tokens),
							cached: as<Tokens>(parsed.usage.prompt_tokens_details?.cached_tokens ?? 0),
							completion: as<Tokens>(parsed.usage.completion_tokens),
						},
					};
				}
			},
		});
		const decoder = new TextDecoder();
		for await (const bytes of response.body) {
			parser.feed(decoder.decode(z.instanceof(Uint8Array).parse(bytes), {stream: true}));
		}

		return {tokens, end};
	}

	async function readStream(response: Dispatcher.ResponseData, endpoint: Endpoint, prefix: readonly string[], options: DispatchOptions): Promise<AttemptResult> {
		if (isNotAccepted(response)) {
			return notAcceptedResult(response, endpoint);
		}

		if (response.statusCode !== 200) {
			const body = await readBoundedText(response.body, () => maximumBodyBytes) ?? '';
			return {
				kind: 'rejected',
				failure: failure('endpoint-failed', `${endpoint.id} answered ${response.statusCode}: ${body.slice(0, 200)}`, {step: 'dispatch', peer: endpoint.id, execution: 'failed'}),
			};
		}

		const load = Number(response.headers['x-load']);
		if (Number.isFinite(load)) {
			options.onLoad(load);
		}

		const {tokens, end} = await collect(response, options);
		if (!end) {
			return {
				kind: 'broken',
				failure: failure('endpoint-failed', `${endpoint.id} ended its stream after ${tokens.length} tokens without a finish`, {step: 'stream', peer: endpoint.id, execution: 'unknown'}),
			};
		}

		return {kind: 'answered', answer: {kind: 'message', tokens: [...prefix, ...tokens], ...end}};
	}

	async function send(endpoint: Endpoint, attempt: Attempt, options: DispatchOptions): Promise<AttemptResult> {
		if (attempt.request.kind !== 'model') {
			throw new TypeError('An engine takes model requests only');
		}

		const isContinued = attempt.prefix.length > 0;
		const messages = isContinued ? [...attempt.prompt, {role: 'assistant', content: attempt.prefix.join('')}] : attempt.prompt;
		try {
			const response = await agent.request({
				origin: `http://${endpoint.address}`,
				path: '/v1/chat/completions',
				method: 'POST',
				headers: {
					'content-type': 'application/json',
					'x-attempt': attempt.id,
					'x-program': attempt.program,
					'x-priority': String(attempt.priority),
				},
				body: JSON.stringify({
					model: attempt.route,
					messages,
					max_tokens: attempt.request.limit - attempt.prefix.length,
					stream: true,
					stream_options: {include_usage: true},
					...(isContinued && {continue_final_message: true}),
				}),
				headersTimeout: options.timeout,
				bodyTimeout: options.timeout,
				signal: attemptSignal(options),
			});
			return await readStream(response, endpoint, attempt.prefix, options);
		} catch (error) {
			await cancelIfStopped(endpoint, attempt.id, options);
			return transportErrorResult(error, endpoint, options);
		}
	}

	async function resume(endpoint: Endpoint, attempt: AttemptId, options: DispatchOptions): Promise<AttemptResult> {
		try {
			const response = await agent.request({
				origin: `http://${endpoint.address}`,
				path: `/v1/streams/${attempt}`,
				method: 'GET',
				headersTimeout: options.timeout,
				bodyTimeout: options.timeout,
				signal: attemptSignal(options),
			});
			return await readStream(response, endpoint, [], options);
		} catch (error) {
			return transportErrorResult(error, endpoint, options);
		}
	}

	/** An engine goes on generating after a lost connection, so a stopped call is cancelled by name. */
	async function cancelIfStopped(endpoint: Endpoint, attempt: AttemptId, options: DispatchOptions): Promise<void> {
		if (options.signal.aborted) {
			await control(endpoint, 'DELETE', `/v1/streams/${attempt}`);
		}
	}

	async function control(endpoint: Endpoint, method: 'GET' | 'DELETE', path: string): Promise<unknown> {
		try {
			const response = await agent.request({
				origin: `http://${endpoint.address}`, path, method, signal: AbortSignal.timeout(controlTimeoutMs),
			});
			const body = await readJson(response);
			return response.statusCode === 200 ? body : undefined;
		} catch {
			// The caller treats an engine that does not answer as undecided and asks again later.
			return undefined;
		}
	}

	return {
		send,
		resume,
		async release(endpoint, program) {
			return await control(endpoint, 'DELETE', `/v1/cache/prefixes/${program}`) !== undefined;
		},
		async cachedPrograms(endpoint) {
			const body = holdingsBody.safeParse(await control(endpoint, 'GET', '/v1/cache/prefixes'));
			return body.success ? body.data.prefixes.map(prefix => as<ProgramId>(prefix.owner)) : undefined;
		},
	};
}
