/**
HTTP server for clients that the operators do not control. It bounds what all of them hold together: connections, incomplete heads,
requests, and the memory of requests with their bodies. Which of them is given up when a limit is exceeded is decided in
`machines/open-connections` and `machines/held-requests`; this module carries it out.

A request is served once its body is complete. One that is refused before is not read any further: its client gets a response, after
which the connection is closed. Nothing of it has run.
*/
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type ClientLimits} from '../contracts/client-limits.js';
import {as, type Bytes, type Milliseconds} from '../contracts/id.js';
import {type CallerLimits} from '../contracts/relay.js';
import {type ClientProblem, problemOf} from '../machines/client-problem.js';
import {createHeldRequests, type HeldRequest} from '../machines/held-requests.js';
import {
	announcedLength, type BodyIntake, type IntakeEnd, startBodyIntake,
} from './body-intake.js';
import {
	closeAfterResponse, continueReading, dropFurtherRequests, stopReading,
} from './client-socket.js';
import {createGuardedConnections, type GuardedConnection} from './guarded-connections.js';
import {createReadTurns} from './read-turns.js';
import {createBlockPool} from './request-buffer.js';
import {memoryWithoutBody, requestOverheadBytes} from './request-memory.js';

/** How often Node.js checks connections for the header timeout. */
const connectionCheckIntervalMs = 1000;

/** Time for the response to a request that is aborted while it is served; its memory is in use until then. */
const abortTimeMs = 100;

/** Memory for requests beside the largest body. */
const leastRequestBytes = 8 * requestOverheadBytes;

/** Why a request is refused before it runs: its body is longer than one may be, or clients hold too much together. */
export type EarlyRefusal = 'too-large' | 'overloaded';

export type Arrival = {
	readonly body: Uint8Array;
	/** Aborts when the client has left before its response was complete, or when the server gives the request up: that one still gets a response. */
	readonly gone: AbortSignal;
	/**
	Closes the connection after the response, whose head has to be written at once, unless further requests have arrived on it.
	Those that arrive later are dropped, as they would get no response.
	*/
	readonly closeWhenAlone: () => void;
};

export type GuardedServerOptions = {
	readonly limits: ClientLimits;
	/** Bounds of a single request; may change with the configuration. */
	readonly bounds: () => CallerLimits;
	/** Time for which the client of a request waits, as far as it is known. */
	readonly timeOf: (request: IncomingMessage) => Milliseconds | undefined;
	/** Serves a request that is complete. */
	readonly serve: (request: IncomingMessage, response: ServerResponse, arrival: Arrival) => void;
	/** Sends the response to a request that is not. */
	readonly refuse: (response: ServerResponse, refusal: EarlyRefusal) => void;
	/** Takes over the connection of a request for a tunnel, and returns whether it may be one; without it, such a connection is closed. */
	readonly openTunnel?: (request: IncomingMessage, head: Uint8Array) => boolean;
	readonly onProblem: (problem: ClientProblem) => void;
};

export type GuardedServer = {
	readonly server: Server;
	/** Ends all requests: those that are served are aborted, all others are refused. */
	readonly endRequests: () => void;
	/** Closes all connections. Those whose response is incomplete are reset, since its end may be that of its connection. */
	readonly closeConnections: () => void;
	/** Counts for metrics. */
	readonly gauges: () => Readonly<Record<'connections' | 'incompleteHeads' | 'requests' | 'requestBytes', number>>;
};

/** What the server does for a request that has not ended. */
type Work = {isRefused: boolean; isBodyComplete: boolean; intake: BodyIntake | undefined; holding: HeldRequest | undefined};

/** Creates a server that does not listen yet. */
export function createGuardedServer(options: GuardedServerOptions): GuardedServer {
	const {limits, bounds, onProblem} = options;
	const connections = createGuardedConnections({limits, onProblem});
	const {enter} = connections;
	const pool = createBlockPool();
	const turns = createReadTurns();
	// A single body always fits, which is in blocks and in one piece for a moment, beside a few small requests.
	const requestBytes = () => as<Bytes>(Math.max(limits.requestBytes, (2 * bounds().bodyBytes) + leastRequestBytes));
	const held = createHeldRequests({requests: limits.requests, bytes: requestBytes});
	/** Ends each request that has arrived and has not ended. */
	const endings = new Set<() => void>();
	let isEnding = false;

	/** Time for the body of a request: as long as its client waits, and at least as long as a connection may be idle. */
	function bodyTime(request: IncomingMessage): Milliseconds {
		const {idleTimeout} = bounds();
		return as<Milliseconds>(Math.max(idleTimeout, Math.min(limits.bodyTime, options.timeOf(request) ?? 0)));
	}

	/** Handles a request whose head is complete. */
	function arrive(connection: GuardedConnection, request: IncomingMessage, response: ServerResponse, isContinueExpected: boolean): void {
		const {socket} = connection;
		const limit = bounds().bodyBytes;
		const announced = announcedLength(request);
		const overhead = memoryWithoutBody(request);
		const gone = new AbortController();
		const number = connection.arrived++;
		const work: Work = {
			isRefused: false, isBodyComplete: false, intake: undefined, holding: undefined,
		};

		const refuse = (refusal: EarlyRefusal) => {
			work.isRefused = true;
			work.intake?.stop();
			work.holding?.release();
			connection.last = number;
			enter(connection, 'closing');
			closeAfterResponse(request, response);
			options.refuse(response, refusal);
		};

		const giveUpServed = () => {
			gone.abort(new Error('requests hold too much memory'));
			const timer = setTimeout(() => {
				socket.resetAndDestroy();
			}, abortTimeMs);
			response.once('close', () => {
				clearTimeout(timer);
			});
		};

		const serve = (body: Uint8Array) => {
			if (connection.last !== undefined && number > connection.last) {
				return;
			}

			work.isBodyComplete = true;
			work.holding?.complete();
			enter(connection, 'running');
			const closeWhenAlone = () => {
				if (connection.pending.size === 1) {
					connection.last = number;
					response.shouldKeepAlive = false;
					dropFurtherRequests(socket);
				}
			};

			connections.serveInTurn(connection, response, () => {
				if (isEnding || gone.signal.aborted) {
					options.refuse(response, 'overloaded');
				} else {
					options.serve(request, response, {body, gone: gone.signal, closeWhenAlone});
				}
			});
		};

		const endIntake = (end: IntakeEnd) => {
			switch (end.kind) {
				case 'whole': {
					serve(end.body);
					return;
				}

				case 'too-large': {
					onProblem({kind: 'too-large', limit, announced});
					refuse('too-large');
					return;
				}

				case 'late': {
					onProblem({kind: 'body-time', limit: bodyTime(request), received: end.received});
					refuse('overloaded');
					return;
				}

				case 'broken': {
					onProblem({kind: 'aborted', reason: end.reason});
					socket.destroy();
				}
			}
		};

		const endRequest = () => {
			if (work.isBodyComplete) {
				gone.abort(new Error('the server ends its requests'));
			} else if (!work.isRefused) {
				refuse('overloaded');
			}
		};

		endings.add(endRequest);
		connections.begin(connection, response, isComplete => {
			endings.delete(endRequest);
			work.intake?.stop();
			work.holding?.release();
			if (!isComplete) {
				gone.abort(new Error('the caller disconnected'));
			}
		});
		if (announced !== undefined && announced > limit) {
			endIntake({kind: 'too-large'});
			return;
		}

		enter(connection, connection.pending.size > 1 ? 'running' : 'body');
		work.holding = held.open(overhead, cause => {
			onProblem(problemOf(cause, {requests: limits.requests, bytes: requestBytes()}));
			if (cause.isBodyComplete) {
				giveUpServed();
			} else {
				refuse('overloaded');
			}
		});
		if (work.isRefused) {
			return;
		}

		if (isContinueExpected) {
			response.writeContinue();
		}

		work.intake = startBodyIntake(request, {
			pool,
			limit,
			time: bodyTime(request),
			onChunk: turns.add({
				pause() {
					stopReading(request);
				},
				resume() {
					if (connection.last === undefined) {
						continueReading(request);
					}
				},
			}),
			onMemory(bytes) {
				work.holding?.set(overhead + bytes);
			},
			onEnd: endIntake,
		});
	}

	function admit(request: IncomingMessage, response: ServerResponse, isContinueExpected: boolean): void {
		const connection = connections.of(request.socket);
		if (!connection || connection.last !== undefined || connection.socket.destroyed) {
			return;
		}

		if (connection.pending.size < limits.pipelinedRequests) {
			arrive(connection, request, response, isContinueExpected);
			return;
		}

		onProblem({kind: 'pipelined', limit: limits.pipelinedRequests});
		dropFurtherRequests(connection.socket);
		connection.socket.destroy();
	}

	const server = createServer({connectionsCheckingInterval: connectionCheckIntervalMs, noDelay: true});
	server.prependListener('connection', () => {
		const {headerBytes, headerTimeout, idleTimeout} = bounds();
		// Node.js reads the header limit from the server for each new connection.
		Object.assign(server, {maxHeaderSize: headerBytes, headersTimeout: headerTimeout, keepAliveTimeout: idleTimeout});
	});
	server.on('connection', connections.add);
	server.on('request', (request, response) => {
		admit(request, response, false);
	});
	server.on('checkContinue', (request, response) => {
		admit(request, response, true);
	});
	server.on('timeout', connections.closeIdle);
	server.on('clientError', connections.answerMalformed);
	const {openTunnel} = options;
	if (openTunnel) {
		server.on('connect', (request, socket, head) => {
			const phase = openTunnel(request, head) ? 'running' : 'closing';
			const connection = connections.of(socket);
			if (connection) {
				enter(connection, phase);
			}
		});
	}

	return {
		server,
		endRequests() {
			isEnding = true;
			for (const endRequest of endings) {
				endRequest();
			}
		},
		closeConnections: connections.closeAll,
		gauges() {
			const counts = connections.counts();
			return {
				connections: counts.head + counts.body + counts.running + counts.idle + counts.closing, incompleteHeads: counts.head, requests: held.count(), requestBytes: held.total(),
			};
		},
	};
}
