/**
Link to model engines: chat completions as server-sent events, resuming and cancelling streams, and the
prefix cache of the engine.
*/
import {createParser} from 'eventsource-parser';
import {type Agent, type Dispatcher} from 'undici';
import {z} from 'zod';
import {type Attempt, type AttemptResult, type DispatchOptions} from '../contracts/attempt.js';
import {causeOfAbort} from '../contracts/abort-cause.js';
import {describeError, failure, type FailureCode} from '../contracts/failure.js';
import {
	as, type AttemptId, type ProgramId, type Tokens,
} from '../contracts/id.js';
import {type Usage} from '../contracts/outcome.js';
import {type Endpoint} from '../contracts/pool.js';
import {maximumBodyBytes, readBoundedText} from './bounded-body.js';
import {
	isNotSent, isStatus, isTimeout, readJson,
} from './http.js';
import {withinTimeLimit} from './time-limit.js';

const controlTimeoutMs = 1000;

const completionChunk = z.object({
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

const cachedPrefixesBody = z.object({prefixes: z.array(z.object({owner: z.string()}))});

type Finish = {readonly finish: 'stop' | 'length'; readonly usage: Usage};

export type EngineLink = {
	readonly send: (endpoint: Endpoint, attempt: Attempt, options: DispatchOptions) => Promise<AttemptResult>;
	readonly resume: (endpoint: Endpoint, attempt: AttemptId, options: DispatchOptions) => Promise<AttemptResult>;
	readonly release: (endpoint: Endpoint, program: ProgramId) => Promise<boolean>;
	readonly cachedPrograms: (endpoint: Endpoint) => Promise<readonly ProgramId[] | undefined>;
};

/** Whether the connection of an attempt may have carried others, whose responses the endpoint might repeat. */
export type ConnectionUse = 'own' | 'shared';

export type SentAttempt = {readonly endpoint: Endpoint; readonly attempt: AttemptId; readonly use: ConnectionUse};

/**
Result of an attempt that its response ends before the body is read: the endpoint did not start the attempt, or the
response belongs to another one. Undefined if neither holds. On a shared connection, a refusal counts only with the id
of the attempt.
*/
export async function unansweredResult(response: Dispatcher.ResponseData, {endpoint, attempt, use}: SentAttempt): Promise<AttemptResult | undefined> {
	const {statusCode, headers, body} = response;
	const echoed = headers['x-attempt'];
	const isRefusal = (statusCode === 429 || statusCode === 503) && headers['retry-after'] !== undefined;
	if (echoed === undefined ? isRefusal && use === 'shared' : echoed !== attempt) {
		// Closes the connection. The error that undici then reports concerns a body that nobody reads.
		body.once('error', () => undefined).destroy();
		const message = `Status ${statusCode} of ${endpoint.id} answers ${String(echoed ?? 'an unknown attempt')}, not ${attempt}`;
		return {kind: 'broken', failure: failure('endpoint-failed', message, {step: 'dispatch', peer: endpoint.id, execution: 'unknown'})};
	}

	if (!isStatus(statusCode)) {
		body.once('error', () => undefined).destroy();
		return {kind: 'broken', failure: failure('endpoint-failed', `${endpoint.id} returned status ${statusCode}, which HTTP does not define`, {step: 'dispatch', peer: endpoint.id, execution: 'unknown'})};
	}

	if (!isRefusal) {
		return undefined;
	}

	await body.dump();
	const isLeaving = headers['x-leaving'] === 'true';
	return {
		kind: 'not-started',
		isLeaving,
		failure: failure(isLeaving ? 'leaving' : 'overloaded', `${endpoint.id} did not accept the request: status ${statusCode}`, {step: 'dispatch', peer: endpoint.id}),
	};
}

/** Passes on what the response to an attempt says about its endpoint. */
export function passNotices({headers}: Dispatcher.ResponseData, {onNotice}: DispatchOptions): void {
	const load = Number(headers['x-load']);
	if (Number.isFinite(load)) {
		onNotice({kind: 'load', calls: load});
	}

	if (headers['x-leaving'] === 'true') {
		onNotice({kind: 'leaving'});
	}
}

/** Result of an attempt that ended with a transport error. */
export function transportErrorResult(error: unknown, endpoint: Endpoint, options: DispatchOptions): AttemptResult {
	const text = describeError(error);
	if (isNotSent(error)) {
		return {
			kind: 'not-started',
			isLeaving: false,
			failure: failure('endpoint-failed', `${endpoint.id} cannot be reached: ${text}`, {step: 'dispatch', peer: endpoint.id}),
		};
	}

	return {
		kind: 'broken',
		failure: failure(failureCodeOf(error, options), `The connection to ${endpoint.id} broke: ${text}`, {step: 'stream', peer: endpoint.id, execution: 'unknown'}),
	};
}

function failureCodeOf(error: unknown, options: DispatchOptions): FailureCode {
	if (options.signal.aborted) {
		return causeOfAbort(options.signal.reason);
	}

	return isTimeout(error) ? 'deadline-exceeded' : 'endpoint-failed';
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

				const parsed = completionChunk.parse(JSON.parse(event.data));
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

	async function readStream(response: Dispatcher.ResponseData, endpoint: Endpoint, {id, prefix}: Pick<Attempt, 'id' | 'prefix'>, options: DispatchOptions): Promise<AttemptResult> {
		const unanswered = await unansweredResult(response, {endpoint, attempt: id, use: 'shared'});
		if (unanswered) {
			return unanswered;
		}

		passNotices(response, options);
		if (response.statusCode !== 200) {
			const body = await readBoundedText(response.body, () => maximumBodyBytes) ?? '';
			return {
				kind: 'rejected',
				failure: failure('endpoint-failed', `${endpoint.id} returned status ${response.statusCode}: ${body.slice(0, 200)}`, {step: 'dispatch', peer: endpoint.id, execution: 'failed'}),
			};
		}

		const {tokens, end} = await collect(response, options);
		if (!end) {
			return {
				kind: 'broken',
				failure: failure('endpoint-failed', `${endpoint.id} ended its stream after ${tokens.length} tokens without a finish reason`, {step: 'stream', peer: endpoint.id, execution: 'unknown'}),
			};
		}

		return {kind: 'answered', answer: {kind: 'message', tokens: [...prefix, ...tokens], ...end}};
	}

	async function send(endpoint: Endpoint, attempt: Attempt, options: DispatchOptions): Promise<AttemptResult> {
		const {request} = attempt;
		if (request.kind !== 'model') {
			throw new TypeError('The engine link accepts only model requests');
		}

		const isContinued = attempt.prefix.length > 0;
		const messages = isContinued ? [...attempt.prompt, {role: 'assistant', content: attempt.prefix.join('')}] : attempt.prompt;
		try {
			return await withinTimeLimit(options.timeout, options.signal, async signal => readStream(await agent.request({
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
					max_tokens: request.limit - attempt.prefix.length,
					stream: true,
					stream_options: {include_usage: true},
					...(isContinued && {continue_final_message: true}),
				}),
				headersTimeout: options.timeout,
				bodyTimeout: options.timeout,
				signal,
			}), endpoint, attempt, options));
		} catch (error) {
			await cancelIfAborted(endpoint, attempt.id, options);
			return transportErrorResult(error, endpoint, options);
		}
	}

	async function resume(endpoint: Endpoint, attempt: AttemptId, options: DispatchOptions): Promise<AttemptResult> {
		try {
			return await withinTimeLimit(options.timeout, options.signal, async signal => readStream(await agent.request({
				origin: `http://${endpoint.address}`,
				path: `/v1/streams/${attempt}`,
				method: 'GET',
				headersTimeout: options.timeout,
				bodyTimeout: options.timeout,
				signal,
			}), endpoint, {id: attempt, prefix: []}, options));
		} catch (error) {
			return transportErrorResult(error, endpoint, options);
		}
	}

	/** An engine keeps generating after the connection is lost, so the stream of an aborted call is cancelled by its id. */
	async function cancelIfAborted(endpoint: Endpoint, attempt: AttemptId, options: DispatchOptions): Promise<void> {
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
			// Without a response the state of the engine is unknown; releases and listings are repeated later.
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
			const body = cachedPrefixesBody.safeParse(await control(endpoint, 'GET', '/v1/cache/prefixes'));
			return body.success ? body.data.prefixes.map(prefix => as<ProgramId>(prefix.owner)) : undefined;
		},
	};
}
