/**
Stand-in of a model engine: chat completions over server-sent events on top of the token-time model,
resumption and cancellation of streams, prefix cache with late events, lagging load reports, orders
with fencing numbers, and switches for slowness, crashes and leaving.

The last user message steers an answer: `[[tokens=N]]` sets its length, `[[crash]]` crashes the engine.
Tokens read ` TAG:INDEX`, where TAG is a digest of that message, so that a test sees a missing, doubled
or foreign token.
*/
import {createHash} from 'node:crypto';
import {type IncomingHttpHeaders, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {z} from 'zod';
import {createBatch, type Sequence} from './batch.js';
import {
	answer, handle, readJsonBody, serve, type StandIn,
} from './server.js';

const defaultTokens = 16;
const charactersPerToken = 4;
const downMs = 500;

const completionBody = z.object({
	messages: z.array(z.object({role: z.string(), content: z.string()})).min(1),
	max_tokens: z.number().int(),
	continue_final_message: z.boolean().optional(),
});

const faultsBody = z.object({
	/** Factor on the time of every step. */
	slow: z.number().positive().optional(),
	leaving: z.boolean().optional(),
	/** Breaks every connection after that many further tokens, while generation goes on. */
	cutStreams: z.number().optional(),
});

const orderBody = z.object({fencing: z.number().int(), kind: z.enum(['load-model', 'load-adapter', 'set-role']), name: z.string()});
const cacheBody = z.object({owner: z.string(), tokens: z.number().int().nonnegative()});

export type EngineFaults = z.input<typeof faultsBody>;

export type EngineStandIn = StandIn & {
	readonly setFaults: (faults: EngineFaults) => void;
	readonly crash: () => void;
	readonly prefixes: () => ReadonlyMap<string, number>;
	readonly work: () => {readonly computed: number; readonly found: number};
	readonly started: () => readonly string[];
	readonly orders: () => ReadonlyArray<z.output<typeof orderBody>>;
};

export type EngineStandInOptions = {
	readonly id: string;
	readonly port?: number;
	readonly stepMs?: number;
	readonly batchSize?: number;
	readonly cacheTokens?: number;
	readonly prefillPerStep?: number;
	readonly checksFencing?: boolean;
	/** Age of load reports and cache events, in ms. */
	readonly reportLagMs?: number;
};

function tagOf(text: string): string {
	return createHash('sha256').update(text).digest('hex').slice(0, 6);
}

function lastUserMessage(messages: ReadonlyArray<{readonly role: string; readonly content: string}>): string {
	return messages.findLast(message => message.role === 'user')?.content ?? '';
}

/** Starts an idle engine. */
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
	let isTicking = false;
	let nextStepAt = 0;

	function tick(): void {
		for (const sequence of batch.step()) {
			for (const listener of sequence.listeners) {
				listener();
			}
		}

		loadReports.push({at: Date.now(), load: batch.load()});
		isTicking = false;
		schedule();
	}

	function schedule(): void {
		if (isTicking || batch.isIdle() || isDown) {
			return;
		}

		isTicking = true;
		const now = performance.now();
		// Steps keep to a grid, so that late timers do not slow the engine down.
		nextStepAt = Math.max(now, nextStepAt + (stepMs * (faults.slow ?? 1)));
		setTimeout(tick, nextStepAt - now);
	}

	function crash(): void {
		isDown = true;
		batch.clear();
		for (const socket of sockets) {
			socket.destroy();
		}

		setTimeout(() => {
			isDown = false;
		}, downMs).unref();
	}

	function write(response: ServerResponse, data: unknown): void {
		response.write(`data: ${typeof data === 'string' ? data : JSON.stringify(data)}\n\n`);
	}

	/** Sends a sequence's tokens from an index on, and its end. */
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

				write(response, {object: 'chat.completion.chunk', choices: [{index: 0, delta: {content: sequence.tokens[sent]}, finish_reason: null}]});
				sent++;
			}

			if (sequence.state === 'done') {
				sequence.listeners.delete(send);
				write(response, {
					object: 'chat.completion.chunk',
					choices: [{index: 0, delta: {}, finish_reason: sequence.finish}],
					usage: {
						prompt_tokens: sequence.promptTokens,
						completion_tokens: sequence.tokens.length,
						prompt_tokens_details: {cached_tokens: sequence.cached},
					},
				});
				write(response, '[DONE]');
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
		const partial = body.continue_final_message ? body.messages.at(-1)?.content ?? '' : '';
		const first = partial.split(' ').filter(Boolean).length;
		const wanted = Number(/\[\[tokens=(\d+)\]\]/v.exec(prompt)?.[1] ?? defaultTokens);
		const end = Math.min(wanted, first + body.max_tokens);
		const characters = body.messages.reduce((sum, message) => sum + message.content.length, 0);
		return {
			id: String(headers['x-attempt'] ?? ''),
			program: String(headers['x-program'] ?? ''),
			priority: Number(headers['x-priority'] ?? 0),
			promptTokens: Math.ceil(characters / charactersPerToken),
			first,
			end,
			finish: wanted <= first + body.max_tokens ? 'stop' : 'length',
			tag: tagOf(prompt),
			tokens: [],
			cached: 0,
			prefillLeft: 0,
			state: 'waiting',
			listeners: new Set(),
		};
	}

	/** State as it was when the report's lag began. */
	function reportedLoad(): number {
		const until = Date.now() - (options.reportLagMs ?? 0);
		return loadReports.findLast(report => report.at <= until)?.load ?? 0;
	}

	const standIn = await serve(options.port ?? 0, app => {
		app.post('/v1/chat/completions', handle(async (request, response) => {
			const body = completionBody.parse(await readJsonBody(request));
			if (faults.leaving) {
				answer(response, 503, {message: 'leaving'}, {'x-leaving': 'true', 'retry-after': '1'});
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
			schedule();
		}));
		app.get('/v1/streams/:id', handle(async (request, response) => {
			const sequence = batch.sequence(request.params.id ?? '');
			if (!sequence || sequence.state === 'cancelled') {
				answer(response, 404, {message: 'no such stream'});
				return;
			}

			follow(sequence, response, Math.max(sequence.first, Number(new URLSearchParams(request.search ?? '').get('from'))));
		}));
		app.delete('/v1/streams/:id', handle(async (request, response) => {
			answer(response, 200, {cancelled: batch.cancel(request.params.id ?? '')});
		}));
		app.get('/v1/cache/prefixes', handle(async (_request, response) => {
			answer(response, 200, {prefixes: [...batch.prefixes()].map(([owner, tokens]) => ({owner, tokens}))});
		}));
		app.delete('/v1/cache/prefixes/:owner', handle(async (request, response) => {
			batch.release(request.params.owner ?? '');
			answer(response, 200, {});
		}));
		app.get('/v1/cache/export/:owner', handle(async (request, response) => {
			const owner = request.params.owner ?? '';
			const tokens = batch.prefixes().get(owner);
			answer(response, tokens === undefined ? 404 : 200, {owner, tokens});
		}));
		app.post('/v1/cache/import', handle(async (request, response) => {
			const {owner, tokens} = cacheBody.parse(await readJsonBody(request));
			batch.store(owner, tokens);
			answer(response, 200, {});
		}));
		app.get('/v1/cache/events', handle(async (request, response) => {
			const since = Number(new URLSearchParams(request.search ?? '').get('since'));
			// Every tenth event is lost, as on real engines under load.
			const until = Date.now() - (options.reportLagMs ?? 0);
			const events = batch.events()
				.map((event, index) => ({...event, sequence: index}))
				.filter(event => event.sequence >= since && event.at <= until && event.sequence % 10 !== 9);
			answer(response, 200, {events});
		}));
		app.get('/v1/load', handle(async (_request, response) => {
			answer(response, 200, {load: reportedLoad()});
		}));
		app.post('/v1/orders', handle(async (request, response) => {
			const order = orderBody.parse(await readJsonBody(request));
			const highest = Math.max(0, ...orders.map(known => known.fencing));
			if (options.checksFencing && order.fencing < highest) {
				answer(response, 409, {message: 'old fencing number', highest});
				return;
			}

			orders.push(order);
			answer(response, 200, {});
		}));
		app.get('/health', handle(async (_request, response) => {
			answer(response, 200, {}, faults.leaving ? {'x-leaving': 'true'} : {});
		}));
		app.post('/control/faults', handle(async (request, response) => {
			faults = faultsBody.parse(await readJsonBody(request));
			answer(response, 200, faults);
		}));
		app.get('/control/state', handle(async (_request, response) => {
			answer(response, 200, {
				load: batch.load(), prefixes: Object.fromEntries(batch.prefixes()), work: batch.work(), started: started.length,
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
		work: () => batch.work(),
		started: () => started,
		orders: () => orders,
	};
}
