/**
Link between instances over tRPC. Peers authenticate with a shared token. Messages are the unions of
`zones/peers`; they are not validated, because only processes of the same system can send them.
*/
import {createServer, type Server} from 'node:http';
import {once} from 'node:events';
import {
	createTRPCClient, httpBatchStreamLink, httpLink, splitLink, type TRPCClient,
} from '@trpc/client';
import {initTRPC, TRPCError} from '@trpc/server';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import {err, ok, type Result} from 'neverthrow';
import {Agent, fetch as undiciFetch} from 'undici';
import {type CallEvent} from '../contracts/call.js';
import {type Configuration} from '../contracts/configuration.js';
import {describeError, type Failure, failure} from '../contracts/failure.js';
import {as, type Address, type Milliseconds} from '../contracts/id.js';
import {type Instance} from '../machines/instance.js';
import {type Member} from '../zones/membership.js';
import {
	type GossipMessage, type Peers, type ProgramReply, type ProgramRequest, type ShardReply, type ShardRequest,
	type StreamRequest,
} from '../zones/peers.js';
import {isNotSent} from './http.js';
import {withinTimeLimit} from './time-limit.js';

const gossipTimeout = as<Milliseconds>(1000);
const programTimeout = as<Milliseconds>(6000);
const connectTimeoutMs = 1000;
const keepAliveMs = 30_000;

/** Maximum size of a message between instances. */
const maximumMessageBytes = 8 * 1024 * 1024;

type Context = {readonly token: string};

const trpc = initTRPC.context<Context>().create();

/** Input parser that checks only that a message is an object: peers are authenticated and built from the same types. */
function trustedInput<Message>() {
	return (value: unknown): Message => {
		if (typeof value !== 'object' || value === null) {
			throw new TRPCError({code: 'BAD_REQUEST', message: 'The peer sent a message that is not an object'});
		}

		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Authenticated peers run the same program.
		return value as Message;
	};
}

function createRouter(instance: Instance, token: string) {
	const procedure = trpc.procedure.use(async ({ctx, next}) => {
		if (ctx.token !== token) {
			throw new TRPCError({code: 'UNAUTHORIZED', message: 'The peer token is wrong'});
		}

		return next();
	});
	return trpc.router({
		gossip: procedure.input(trustedInput<GossipMessage>()).mutation(({input}): GossipMessage => instance.answerGossip(input)),
		members: procedure.query((): readonly Member[] => instance.members()),
		configuration: procedure.query((): Configuration => instance.configuration()),
		program: procedure.input(trustedInput<ProgramRequest>()).mutation(async ({input}): Promise<ProgramReply> => instance.answerProgram(input)),
		shard: procedure.input(trustedInput<ShardRequest>()).mutation(async ({input}): Promise<ShardReply> => instance.answerShard(input)),
		ending: procedure.input(trustedInput<StreamRequest>()).mutation(async ({input, signal}): Promise<CallEvent | undefined> => {
			let last: CallEvent | undefined;
			for await (const event of instance.answerStream(input, signal ?? new AbortController().signal)) {
				last = event;
			}

			return last;
		}),
		stream: procedure.input(trustedInput<StreamRequest>()).mutation(async function * ({input, signal}): AsyncGenerator<CallEvent, void, undefined> {
			yield * instance.answerStream(input, signal ?? new AbortController().signal);
		}),
	});
}

type Router = ReturnType<typeof createRouter>;

/** Whether the events of a request may include tokens. */
function hasTokens(request: StreamRequest): boolean {
	return request.kind === 'follow' || request.call.request.kind === 'model';
}

export type PeerServerOptions = {
	readonly instance: Instance;
	readonly host: string;
	readonly port: number;
	readonly token: string;
};

/** Starts the server for peers. Resolves once the port is bound. */
export async function servePeers(options: PeerServerOptions): Promise<Server> {
	const handler = createHTTPHandler({
		router: createRouter(options.instance, options.token),
		createContext: ({req}): Context => ({token: String(req.headers['x-peer-token'] ?? '')}),
		maxBodySize: maximumMessageBytes,
	});
	const server = createServer(handler);
	server.keepAliveTimeout = keepAliveMs;
	server.listen(options.port, options.host);
	await once(server, 'listening');
	return server;
}

export type PeersOptions = {
	readonly token: string;
	readonly signal: AbortSignal;
};

/** Creates the client side of the link. Connections close when the signal aborts. */
export function createPeers(options: PeersOptions): Peers {
	const agent = new Agent({connect: {timeout: connectTimeoutMs}, keepAliveTimeout: keepAliveMs / 2});
	const clients = new Map<Address, TRPCClient<Router>>();
	options.signal.addEventListener('abort', () => {
		void agent.destroy();
	}, {once: true});

	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- The client's own fetch type omits undici's dispatcher.
	const fetchThroughAgent = (async (url: string | URL, init: Record<string, unknown>) => undiciFetch(url, {...init, dispatcher: agent})) as unknown as typeof fetch;

	function clientFor(peer: Member): TRPCClient<Router> {
		const existing = clients.get(peer.address);
		if (existing) {
			return existing;
		}

		const common = {
			url: `http://${peer.address}`,
			headers: {'x-peer-token': options.token},
			fetch: fetchThroughAgent,
		};
		const client = createTRPCClient<Router>({
			links: [
				splitLink({
					condition: operation => operation.path === 'stream',
					true: httpBatchStreamLink({...common, maxItems: 1}),
					false: httpLink(common),
				}),
			],
		});
		clients.set(peer.address, client);
		return client;
	}

	/** Failure of a request to a peer. Once the request was sent, the peer may have executed it although no response arrived. */
	function unreachable(peer: Member, error: unknown): Failure {
		return failure('peer-unreachable', `${peer.id} at ${peer.address} did not answer: ${describeError(error)}`, {
			step: 'forward', peer: peer.id, execution: isNotSent(error) ? 'not-run' : 'unknown',
		});
	}

	async function attempt<Value>(peer: Member, timeout: Milliseconds, run: (signal: AbortSignal) => Promise<Value>): Promise<Result<Value, Failure>> {
		try {
			return ok(await withinTimeLimit(timeout, options.signal, run));
		} catch (error) {
			return err(unreachable(peer, error));
		}
	}

	/** Service calls have no tokens, so a single response replaces the stream, at a fraction of its cost. */
	async function * ending(peer: Member, request: StreamRequest, signal: AbortSignal): AsyncGenerator<CallEvent, void, undefined> {
		try {
			const event = await clientFor(peer).ending.mutate(request, {signal: AbortSignal.any([signal])});
			if (event) {
				yield event;
				return;
			}
		} catch (error) {
			if (!signal.aborted) {
				yield {kind: 'refused', failure: unreachable(peer, error)};
			}

			return;
		}

		if (!signal.aborted) {
			yield {kind: 'refused', failure: unreachable(peer, new Error('the call ended without an outcome'))};
		}
	}

	async function * stream(peer: Member, request: StreamRequest, signal: AbortSignal): AsyncGenerator<CallEvent, void, undefined> {
		let isEnded = false;
		try {
			// A separate signal for each stream, because the client does not remove its abort listeners.
			const events = await clientFor(peer).stream.mutate(request, {signal: AbortSignal.any([signal])});
			for await (const event of events) {
				isEnded = event.kind !== 'token';
				yield event;
			}
		} catch (error) {
			if (!isEnded && !signal.aborted) {
				yield {kind: 'refused', failure: unreachable(peer, error)};
			}

			return;
		}

		if (!isEnded && !signal.aborted) {
			yield {kind: 'refused', failure: unreachable(peer, new Error('the stream ended before the outcome of the call'))};
		}
	}

	return {
		gossip: async (peer, message) => attempt(peer, gossipTimeout, async signal => clientFor(peer).gossip.mutate(message, {signal})),
		members: async peer => attempt(peer, gossipTimeout, async signal => clientFor(peer).members.query(undefined, {signal})),
		configuration: async peer => attempt(peer, programTimeout, async signal => clientFor(peer).configuration.query(undefined, {signal})),
		async program(peer, request) {
			const reply = await attempt(peer, programTimeout, async signal => clientFor(peer).program.mutate(request, {signal}));
			return reply.match<ProgramReply>(value => value, reason => ({kind: 'failed', failure: reason}));
		},
		async shard(peer, request, timeout: Milliseconds) {
			const reply = await attempt(peer, timeout, async signal => clientFor(peer).shard.mutate(request, {signal}));
			return reply.match<ShardReply>(value => value, reason => ({kind: 'failed', failure: reason}));
		},
		stream: (peer, request, signal) => hasTokens(request) ? stream(peer, request, signal) : ending(peer, request, signal),
	};
}
