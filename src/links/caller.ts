/**
HTTP server for callers: programs as a small REST resource, model calls as chat completions, service
calls as plain HTTP under the path of a program. See docs/INTERFACE.md.
*/
import {createHash} from 'node:crypto';
import {type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {once} from 'node:events';
import {err, ok, type Result} from 'neverthrow';
import polka, {type RoutedRequest} from 'polka';
import {type Budget} from '../contracts/budget.js';
import {type Call, answerStart} from '../contracts/call.js';
import {type ClientLimits} from '../contracts/client-limits.js';
import {type Random} from '../contracts/clock.js';
import {describeError, type Failure, failure} from '../contracts/failure.js';
import {
	as, type CallId, type CustomerId, type IdempotencyKey, type Milliseconds, parseProgramId, type ProgramId,
	type RouteName, type Tokens,
} from '../contracts/id.js';
import {type ClientProblem} from '../machines/client-problem.js';
import {type Instance} from '../machines/instance.js';
import {createCallerServer} from './caller-server.js';
import {type GuardedServer} from './guarded-server.js';
import {decodeJsonBody, decodeTextBody} from './request-body.js';
import {
	finalEvent, sendCompletion, sendFinalEvent, sendProgramReply, streamCallEvents,
} from './caller-reply.js';
import {
	budgetBody, type CallHeaders, completionBody, defaultCallTimeoutMs, defaultBudgetTokens, headerOf, invalidRequest, methods, positionOf,
	readCallHeaders, servicePathOf,
} from './caller-request.js';
import {
	errorBody, sendFailure, sendJson, sendOutcome,
} from './reply.js';

/** How often a draining server closes connections that have become idle. */
const idleCheckIntervalMs = 50;

/** Customers by the SHA-256 digest of their API key, in hexadecimal. */
export type Customers = ReadonlyMap<string, CustomerId>;

export type CallerServerOptions = {
	readonly instance: Instance;
	readonly customers: Customers;
	readonly random: Random;
	readonly host: string;
	readonly port: number;
	/** Limits on what all callers hold together. */
	readonly limits: ClientLimits;
	readonly onRequest: (request: ServedRequest) => void;
	readonly onProblem: (problem: ClientProblem) => void;
};

/** A request whose response has ended, or whose connection has closed before. */
export type ServedRequest = {
	readonly method: string;
	readonly path: string;
	readonly status: number;
	readonly durationMs: number;
};

export type CallerServer = {
	readonly server: Server;
	/** Stops accepting connections and resolves when all requests have been answered. */
	readonly drain: () => Promise<void>;
	readonly gauges: GuardedServer['gauges'];
};

/** Starts the server for callers. Resolves once the port is bound. */
export async function serveCallers(options: CallerServerOptions): Promise<CallerServer> {
	const {instance, random} = options;

	function authenticate(request: IncomingMessage): Result<CustomerId, Failure> {
		const key = /^Bearer (\S+)$/v.exec(request.headers.authorization ?? '')?.[1] ?? '';
		const customer = options.customers.get(createHash('sha256').update(key).digest('hex'));
		return customer ? ok(customer) : err(failure('unauthenticated', 'The API key is not known', {step: 'authenticate', peer: 'caller'}));
	}

	async function openProgram(request: IncomingMessage, response: ServerResponse, parent?: ProgramId): Promise<void> {
		const customer = authenticate(request);
		const body = decodeJsonBody(bodyOf(request), budgetBody);
		if (customer.isErr() || body.isErr()) {
			sendFailure(response, customer.isErr() ? customer.error : body._unsafeUnwrapErr());
			return;
		}

		const {budget} = body.value;
		const granted: Budget = {
			tokens: as<Tokens>(budget.tokens), calls: budget.calls, duration: as<Milliseconds>(budget.duration_ms),
		};
		const reply = await instance.open({customer: customer.value, budget: granted, ...(parent !== undefined && {parent})});
		sendProgramReply(response, reply, 201);
	}

	/** Authenticates the caller and runs a handler for the program that the path names. */
	async function withProgram(
		request: RoutedRequest,
		response: ServerResponse,
		handle: (customer: CustomerId, program: ProgramId) => Promise<void>,
	): Promise<void> {
		const customer = authenticate(request);
		const program = parseProgramId(request.params.id ?? '');
		if (customer.isErr()) {
			sendFailure(response, customer.error);
			return;
		}

		await program.match(async id => handle(customer.value, id), async reason => {
			sendFailure(response, reason);
		});
	}

	function disconnectSignal(response: ServerResponse): AbortSignal {
		const controller = new AbortController();
		response.once('close', () => {
			controller.abort(new Error('the caller disconnected'));
		});
		return controller.signal;
	}

	/** Returns the program of a completion; if the caller names none, opens one for this call only. */
	async function findOrOpenProgram(request: IncomingMessage, customer: CustomerId): Promise<Result<{readonly id: ProgramId; readonly isSingleCall: boolean}, Failure>> {
		const programHeader = headerOf(request, 'hickoryfork-program');
		if (programHeader !== undefined) {
			return parseProgramId(programHeader).map(id => ({id, isSingleCall: false}));
		}

		const budget: Budget = {
			tokens: as<Tokens>(defaultBudgetTokens * 10), calls: 1, duration: as<Milliseconds>(defaultCallTimeoutMs),
		};
		const reply = await instance.open({customer, budget});
		switch (reply.kind) {
			case 'view': {
				return ok({id: reply.view.id, isSingleCall: true});
			}

			case 'failed': {
				return err(reply.failure);
			}

			case 'history': {
				return err(failure('internal', 'Opening a program returned a history instead of a view', {step: 'admit', peer: 'home'}));
			}
		}
	}

	async function complete(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const customer = authenticate(request);
		const headers = readCallHeaders(request, random.unique);
		const position = positionOf(request);
		const body = decodeJsonBody(bodyOf(request), completionBody);
		const refusal = [customer, headers, position, body].find(part => part.isErr());
		if (customer.isErr() || headers.isErr() || position.isErr() || body.isErr()) {
			sendFailure(response, refusal?._unsafeUnwrapErr() ?? invalidRequest('The request is not valid'));
			return;
		}

		const program = await findOrOpenProgram(request, customer.value);
		if (program.isErr()) {
			sendFailure(response, program.error);
			return;
		}

		const {id, isSingleCall} = program.value;
		const {messages} = body.value;
		const call = createCall({
			program: id,
			customer: customer.value,
			route: as<RouteName>(body.value.model),
			request: {kind: 'model', messages, limit: as<Tokens>(body.value.max_tokens)},
		}, headers.value);
		response.setHeader('hickoryfork-program', id);
		response.setHeader('hickoryfork-key', call.key);
		const signal = disconnectSignal(response);
		const events = instance.stream({kind: 'call', call, position: position.value}, signal);
		if (body.value.stream) {
			await streamCallEvents(response, events, signal);
		} else {
			sendFinalEvent(response, await finalEvent(events), outcome => {
				sendCompletion(response, outcome, id);
			});
		}

		if (isSingleCall) {
			await instance.program({
				kind: 'end', program: id, customer: customer.value, closing: 'closed',
			});
		}
	}

	function createCall(parts: Omit<Call, 'id' | keyof CallHeaders>, headers: CallHeaders): Call {
		return {id: as<CallId>(random.unique()), ...parts, ...headers};
	}

	async function callService(request: RoutedRequest, response: ServerResponse): Promise<void> {
		await withProgram(request, response, async (customer, program) => {
			const headers = readCallHeaders(request, random.unique);
			const method = methods.safeParse(request.method);
			if (headers.isErr() || !method.success) {
				sendFailure(response, headers.isErr() ? headers.error : invalidRequest('The method is not supported'));
				return;
			}

			const path = `${servicePathOf(request)}${request.search ?? ''}`;
			const call = createCall({
				program,
				customer,
				route: as<RouteName>(request.params.route ?? ''),
				request: {
					kind: 'service', method: method.data, path, body: decodeTextBody(bodyOf(request)),
				},
			}, headers.value);
			response.setHeader('hickoryfork-key', call.key);
			const events = instance.stream({kind: 'call', call, position: answerStart}, disconnectSignal(response));
			sendFinalEvent(response, await finalEvent(events), outcome => {
				sendOutcome(response, outcome);
			});
		});
	}

	async function followCall(request: RoutedRequest, response: ServerResponse): Promise<void> {
		await withProgram(request, response, async (customer, program) => {
			const position = positionOf(request);
			if (position.isErr()) {
				sendFailure(response, position.error);
				return;
			}

			const target = {program, customer, key: as<IdempotencyKey>(decodeURIComponent(request.params.key ?? ''))};
			const signal = disconnectSignal(response);
			const events = instance.stream({kind: 'follow', target, position: position.value}, signal);
			if (request.headers.accept?.includes('text/event-stream')) {
				await streamCallEvents(response, events, signal);
				return;
			}

			sendFinalEvent(response, await finalEvent(events), outcome => {
				sendJson(response, 200, outcome.kind === 'completed' ? outcome : {kind: outcome.kind, ...errorBody(outcome.failure)});
			});
		});
	}

	async function requestProgram(request: RoutedRequest, response: ServerResponse, kind: 'view' | 'history' | 'closed' | 'cancelled'): Promise<void> {
		await withProgram(request, response, async (customer, program) => {
			const isEnding = kind === 'closed' || kind === 'cancelled';
			const reply = await instance.program(isEnding
				? {
					kind: 'end', program, customer, closing: kind,
				}
				: {kind, program, customer});
			sendProgramReply(response, reply, 200);
		});
	}

	type Handler = (request: RoutedRequest, response: ServerResponse) => Promise<void>;

	/** Turns an exception of a handler into an error response, and reports every request once its response is closed. */
	function withErrorHandling(handler: Handler) {
		return (request: RoutedRequest, response: ServerResponse) => {
			const startedAt = performance.now();
			response.once('close', () => {
				options.onRequest({
					method: request.method ?? '', path: request.path, status: response.statusCode, durationMs: performance.now() - startedAt,
				});
			});
			void handler(request, response).catch((error: unknown) => {
				const reason = failure('internal', describeError(error), {step: 'admit', peer: instance.id, execution: 'unknown'});
				if (response.headersSent) {
					response.destroy();
				} else {
					sendFailure(response, reason);
				}
			});
		};
	}

	const {server, gauges, bodyOf} = createCallerServer({
		limits: options.limits,
		handle(request, response) {
			app.handler(request, response);
		},
		onProblem: options.onProblem,
	});
	const app = polka({
		server,
		onNoMatch(_request, response) {
			sendFailure(response, failure('not-found', 'There is no resource at this path', {step: 'validate', peer: 'caller'}));
		},
	});
	app.post('/v1/programs', withErrorHandling(async (request, response) => openProgram(request, response)));
	app.post('/v1/programs/:id/programs', withErrorHandling(async (request, response) => withProgram(request, response, async (_customer, parent) => openProgram(request, response, parent))));
	app.get('/v1/programs/:id', withErrorHandling(async (request, response) => requestProgram(request, response, 'view')));
	app.get('/v1/programs/:id/history', withErrorHandling(async (request, response) => requestProgram(request, response, 'history')));
	app.post('/v1/programs/:id/close', withErrorHandling(async (request, response) => requestProgram(request, response, 'closed')));
	app.post('/v1/programs/:id/cancel', withErrorHandling(async (request, response) => requestProgram(request, response, 'cancelled')));
	app.get('/v1/programs/:id/calls/:key', withErrorHandling(async (request, response) => followCall(request, response)));
	app.post('/v1/chat/completions', withErrorHandling(async (request, response) => complete(request, response)));
	app.all('/v1/programs/:id/services/:route/*', withErrorHandling(async (request, response) => callService(request, response)));
	server.listen(options.port, options.host);
	await once(server, 'listening');

	return {
		server,
		gauges,
		async drain() {
			const closed = once(server, 'close');
			server.close();
			// Keep-alive connections become idle one by one, as their requests complete.
			const timer = setInterval(() => {
				server.closeIdleConnections();
			}, idleCheckIntervalMs);
			await closed;
			clearInterval(timer);
		},
	};
}
