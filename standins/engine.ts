/**
Stand-in for a model engine: chat completions over server-sent events on top of the batching model, resumption and
cancellation of streams, a prefix cache whose events can lag, load reports that can lag, orders with fencing numbers,
and injected faults: slow steps, cut connections, crashes and announced shutdowns.

Markers in the last user message control the answer: `[[tokens=N]]` sets its length, `[[crash]]` crashes the engine.
The text of each token is ` TAG:INDEX`, where TAG is a digest of that message, so that tests detect tokens that are
missing, duplicated or from another answer.
*/
import {createHash} from 'node:crypto';
import {type IncomingHttpHeaders, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {z} from 'zod';
import {createBatch, type Sequence} from './batch.js';
import {
	answer, asyncHandler, readJsonBody, startServer, type StandIn,
} from './server.js';

/** Length of an answer whose prompt has no `[[tokens=N]]` marker. */
const defaultTokens = 16;

/** Characters of the prompt that count as one token. */
const charactersPerToken = 4;

/** Time after a crash during which the engine refuses connections. */
const crashDowntimeMs = 500;

const completionBody = z.object({
	messages: z.array(z.object({role: z.string(), content: z.string()})).min(1),
	max_tokens: z.number().int(),
	continue_final_message: z.boolean().optional(),
});

const faultsBody = z.object({
	/** Factor by which every step takes longer. */
	slow: z.number().positive().optional(),
	/** Announces a shutdown: new completions are refused with status 503 and an `x-leaving` header. */
	leaving: z.boolean().optional(),
	/** Number of tokens to send before the connection that would carry the next one is closed; generation goes on. */
	cutStreams: z.number().optional(),
});

const orderBody = z.object({fencing: z.number().int(), kind: z.enum(['load-model', 'load-adapter', 'set-role']), name: z.string()});
const cacheBody = z.object({owner: z.string(), tokens: z.number().int().nonnegative()});

export type EngineFaults = z.input<typeof faultsBody>;

export type EngineStandIn = StandIn & {
	/** Replaces all faults in force. */
	readonly setFaults: (faults: EngineFaults) => void;
	/** Drops all work and the cache, closes all connections and refuses new ones for 500 ms. */
	readonly crash: () => void;
	/** Size of each cached prefix in tokens, by its program. */
	readonly prefixes: () => ReadonlyMap<string, number>;
	/** Prompt tokens that were computed, and those found in the prefix cache instead. */
	readonly prefillWork: () => {readonly computed: number; readonly found: number};
	/** Attempt ids of all completions accepted so far, including those that crashed the engine. */
	readonly started: () => readonly string[];
	/** Orders accepted so far. */
	readonly orders: () => ReadonlyArray<z.output<typeof orderBody>>;
};

export type EngineStandInOptions = {
	readonly id: string;
	readonly port?: number;
	readonly stepMs?: number;
	readonly batchSize?: number;
	readonly cacheTokens?: number;
	readonly prefillPerStep?: number;
	/** Whether orders with an outdated fencing number are refused. */
	readonly checksFencing?: boolean;
	/** Delay after which load reports and cache events become visible, in ms. */
	readonly reportLagMs?: number;
};

function digestTag(text: string): string {
	return createHash('sha256').update(text).digest('hex').slice(0, 6);
}

function lastUserMessage(messages: ReadonlyArray<{readonly role: string; readonly content: string}>): string {
	return messages.findLast(message => message.role === 'user')?.content ?? '';
}

/** Starts an idle engine on a loopback port; port zero, the default, takes a free one. */
export async function startEngine(options: EngineStandInOptions): Promise<EngineStandIn> {
	const stepMs = options.stepMs ?? 5;
	const batch = createBatch({
		batchSize: options.batchSize ?? 8, cacheTokens: options.cacheTokens ?? 200_000, prefillPerStep: options.prefillPerStep ?? 200,
	});
	const sockets = new Set<Socket>();
	const started: string[] = [];
	const orders: Array<z.output<typeof orderBody>> = [];
	const loadReports: Array<{readonly at: number; readonly load: number}> = [];
	let faults: z.output<typeof faultsBody> = {};
	let isDown = false;
	let isStepScheduled = false;
	let nextStepAt = 0;

	function runStep(): void {
		for (const sequence of batch.step()) {
			for (const listener of sequence.listeners) {
				listener();
			}
		}

		loadReports.push({at: Date.now(), load: batch.load()});
		isStepScheduled = false;
		scheduleStep();
	}

	function scheduleStep(): void {
		if (isStepScheduled || batch.isIdle() || isDown) {
			return;
		}

		isStepScheduled = true;
		const now = performance.now();
		// Each step is planned from the planned time of the previous one, so that late timers do not slow the engine down.
		nextStepAt = Math.max(now, nextStepAt + (stepMs * (faults.slow ?? 1)));
		setTimeout(runStep, nextStepAt - now);
	}

	function crash(): void {
		isDown = true;
		batch.clear();
		for (const socket of sockets) {
			socket.destroy();
		}

		setTimeout(() => {
			isDown = false;
		}, crashDowntimeMs).unref();
	}

	function writeEvent(response: ServerResponse, data: unknown): void {
		response.write(`data: ${typeof data === 'string' ? data : JSON.stringify(data)}\n\n`);
	}

	/** Streams the tokens of a sequence from an index on, then the finish reason and the usage. */
	function follow(sequence: Sequence, response: ServerResponse, from: number): void {
		let sent = from - sequence.first;
		response.writeHead(200, {'content-type': 'text/event-stream', 'x-load': String(batch.load())});
		response.flushHeaders();
		const send = () => {
			while (sent < sequence.tokens.length) {
				if (faults.cutStreams !== undefined) {
					if (faults.cutStreams <= 0) {
						faults = {...faults, cutStreams: undefined};
						response.destroy();
						return;
					}

					faults = {...faults, cutStreams: faults.cutStreams - 1};
				}

				writeEvent(response, {object: 'chat.completion.chunk', choices: [{index: 0, delta: {content: sequence.tokens[sent]}, finish_reason: null}]});
				sent++;
			}

			if (sequence.state === 'done') {
				sequence.listeners.delete(send);
				writeEvent(response, {
					object: 'chat.completion.chunk',
					choices: [{index: 0, delta: {}, finish_reason: sequence.finish}],
					usage: {
						prompt_tokens: sequence.promptTokens,
						completion_tokens: sequence.tokens.length,
						prompt_tokens_details: {cached_tokens: sequence.cached},
					},
				});
				writeEvent(response, '[DONE]');
				response.end();
			}
		};

		sequence.listeners.add(send);
		response.once('close', () => {
			sequence.listeners.delete(send);
		});
		send();
	}

	function createSequence(body: z.output<typeof completionBody>, headers: IncomingHttpHeaders): Sequence {
		const prompt = lastUserMessage(body.messages);
		const partialAnswer = body.continue_final_message ? body.messages.at(-1)?.content ?? '' : '';
		const first = partialAnswer.split(' ').filter(Boolean).length;
		const answerTokens = Number(/\[\[tokens=(\d+)\]\]/v.exec(prompt)?.[1] ?? defaultTokens);
		const end = Math.min(answerTokens, first + body.max_tokens);
		const characters = body.messages.reduce((sum, message) => sum + message.content.length, 0);
		return {
			id: String(headers['x-attempt'] ?? ''),
			program: String(headers['x-program'] ?? ''),
			priority: Number(headers['x-priority'] ?? 0),
			promptTokens: Math.ceil(characters / charactersPerToken),
			first,
			end,
			finish: answerTokens <= first + body.max_tokens ? 'stop' : 'length',
			tag: digestTag(prompt),
			tokens: [],
			cached: 0,
			prefillRemaining: 0,
			state: 'waiting',
			listeners: new Set(),
		};
	}

	/** Load as of the report lag ago. */
	function reportedLoad(): number {
		const reportedAt = Date.now() - (options.reportLagMs ?? 0);
		return loadReports.findLast(report => report.at <= reportedAt)?.load ?? 0;
	}

	const standIn = await startServer(options.port ?? 0, app => {
		app.post('/v1/chat/completions', asyncHandler(async (request, response) => {
			const body = completionBody.parse(await readJsonBody(request));
			if (faults.leaving) {
				answer(response, 503, {message: 'leaving'}, {'x-leaving': 'true', 'retry-after': '1', 'x-attempt': String(request.headers['x-attempt'] ?? '')});
				return;
			}

			const sequence = createSequence(body, request.headers);
			started.push(sequence.id);
			if (lastUserMessage(body.messages).includes('[[crash]]')) {
				crash();
				return;
			}

			batch.add(sequence);
			follow(sequence, response, sequence.first);
			scheduleStep();
		}));
		app.get('/v1/streams/:id', asyncHandler(async (request, response) => {
			const sequence = batch.sequence(request.params.id ?? '');
			if (!sequence || sequence.state === 'cancelled') {
				answer(response, 404, {message: 'no such stream'});
				return;
			}

			follow(sequence, response, Math.max(sequence.first, Number(new URLSearchParams(request.search ?? '').get('from'))));
		}));
		app.delete('/v1/streams/:id', asyncHandler(async (request, response) => {
			answer(response, 200, {cancelled: batch.cancel(request.params.id ?? '')});
		}));
		app.get('/v1/cache/prefixes', asyncHandler(async (_request, response) => {
			answer(response, 200, {prefixes: [...batch.prefixes()].map(([owner, tokens]) => ({owner, tokens}))});
		}));
		app.delete('/v1/cache/prefixes/:owner', asyncHandler(async (request, response) => {
			batch.release(request.params.owner ?? '');
			answer(response, 200, {});
		}));
		app.get('/v1/cache/export/:owner', asyncHandler(async (request, response) => {
			const owner = request.params.owner ?? '';
			const tokens = batch.prefixes().get(owner);
			answer(response, tokens === undefined ? 404 : 200, {owner, tokens});
		}));
		app.post('/v1/cache/import', asyncHandler(async (request, response) => {
			const {owner, tokens} = cacheBody.parse(await readJsonBody(request));
			batch.store(owner, tokens);
			answer(response, 200, {});
		}));
		app.get('/v1/cache/events', asyncHandler(async (request, response) => {
			const since = Number(new URLSearchParams(request.search ?? '').get('since'));
			// Drops every tenth event, as real engines lose events under load.
			const reportedUntil = Date.now() - (options.reportLagMs ?? 0);
			const events = batch.events()
				.map((event, index) => ({...event, sequence: index}))
				.filter(event => event.sequence >= since && event.at <= reportedUntil && event.sequence % 10 !== 9);
			answer(response, 200, {events});
		}));
		app.get('/v1/load', asyncHandler(async (_request, response) => {
			answer(response, 200, {load: reportedLoad()});
		}));
		app.post('/v1/orders', asyncHandler(async (request, response) => {
			const order = orderBody.parse(await readJsonBody(request));
			const highest = Math.max(0, ...orders.map(known => known.fencing));
			if (options.checksFencing && order.fencing < highest) {
				answer(response, 409, {message: 'old fencing number', highest});
				return;
			}

			orders.push(order);
			answer(response, 200, {});
		}));
		app.get('/health', asyncHandler(async (_request, response) => {
			answer(response, 200, {}, faults.leaving ? {'x-leaving': 'true'} : {});
		}));
		app.post('/control/faults', asyncHandler(async (request, response) => {
			faults = faultsBody.parse(await readJsonBody(request));
			answer(response, 200, faults);
		}));
		app.get('/control/state', asyncHandler(async (_request, response) => {
			answer(response, 200, {
				load: batch.load(), prefixes: Object.fromEntries(batch.prefixes()), work: batch.prefillWork(), started: started.length,
			});
		}));
	});
	standIn.server.on('connection', socket => {
		if (isDown) {
			socket.destroy();
			return;
		}

		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	});

	return {
		...standIn,
		setFaults(next) {
			faults = next;
		},
		crash,
		prefixes: () => batch.prefixes(),
		prefillWork: () => batch.prefillWork(),
		started: () => started,
		orders: () => orders,
	};
}
