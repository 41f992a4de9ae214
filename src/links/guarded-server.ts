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
import {type Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import {type ClientLimits} from '../contracts/client-limits.js';
import {describeError} from '../contracts/failure.js';
import {as, type Bytes, type Milliseconds} from '../contracts/id.js';
import {type CallerLimits} from '../contracts/relay.js';
import {type ClientProblem, problemOf} from '../machines/client-problem.js';
import {createHeldRequests, type HeldRequest} from '../machines/held-requests.js';
import {type ConnectionPhase, createOpenConnections} from '../machines/open-connections.js';
import {
	announcedLength, type BodyIntake, type IntakeEnd, startBodyIntake,
} from './body-intake.js';
import {
	closeAfterResponse, closeSoon, continueReading, dropFurtherRequests, stopReading,
} from './client-socket.js';
import {createReadTurns} from './read-turns.js';
import {createBlockPool} from './request-buffer.js';
import {memoryWithoutBody, requestOverheadBytes} from './request-memory.js';

/** How often Node.js checks connections for the header timeout. */
const connectionCheckIntervalMs = 1000;

/** Memory for requests beside the largest body. */
const leastRequestBytes = 8 * requestOverheadBytes;

/** Why a request is refused before it runs: its body is longer than one may be, or clients hold too much together. */
export type EarlyRefusal = 'too-large' | 'overloaded';

export type Arrival = {
	readonly body: Uint8Array;
	/** Aborts when the client has left before its response was complete. */
	readonly gone: AbortSignal;
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
	/** Counts for metrics. */
	readonly gauges: () => Readonly<Record<'connections' | 'incompleteHeads' | 'requests' | 'requestBytes', number>>;
};

type Connection = {
	readonly socket: Socket;
	/** Responses that are incomplete. */
	readonly pending: Set<ServerResponse>;
	/** Start requests that are complete, once others of the connection have ended. */
	readonly waiting: Array<() => void>;
	served: number;
	/** Number of requests that have arrived. */
	arrived: number;
	/** Number of the request whose response is the last; later ones are dropped. Undefined while there is none. */
	last: number | undefined;
};

/** What the server does for a request that has not ended. */
type Work = {isRefused: boolean; intake: BodyIntake | undefined; holding: HeldRequest | undefined};

const now = () => as<Milliseconds>(performance.now());

/** Creates a server that does not listen yet. */
export function createGuardedServer(options: GuardedServerOptions): GuardedServer {
	const {limits, bounds, onProblem} = options;
	const connections = new WeakMap<Duplex, Connection>();
	const open = createOpenConnections<Connection>(limits);
	const pool = createBlockPool();
	const turns = createReadTurns();
	// A single body always fits, which is in blocks and in one piece for a moment, beside a few small requests.
	const requestBytes = () => as<Bytes>(Math.max(limits.requestBytes, (2 * bounds().bodyBytes) + leastRequestBytes));
	const held = createHeldRequests({requests: limits.requests, bytes: requestBytes});

	function enter(connection: Connection, phase: ConnectionPhase): void {
		open.enter(connection, phase, now());
	}

	/** Time for the body of a request: as long as its client waits, and at least as long as a connection may be idle. */
	function bodyTime(request: IncomingMessage): Milliseconds {
		const {idleTimeout} = bounds();
		return as<Milliseconds>(Math.max(idleTimeout, Math.min(limits.bodyTime, options.timeOf(request) ?? 0)));
	}

	/** Adds a request to its connection; `onEnd` is called when it has ended, with whether its response is complete. */
	function begin(connection: Connection, response: ServerResponse, onEnd: (isComplete: boolean) => void): void {
		connection.pending.add(response);
		response.once('close', () => {
			connection.pending.delete(response);
			onEnd(response.writableFinished);
			if (connection.pending.size === 0 && connection.last === undefined) {
				enter(connection, 'idle');
			}
		});
	}

	/** Serves a request once few enough others of its connection are served. */
	function serveInTurn(connection: Connection, response: ServerResponse, serve: () => void): void {
		const start = () => {
			connection.served++;
			response.once('close', () => {
				connection.served--;
				connection.waiting.shift()?.();
			});
			serve();
		};

		if (connection.served < limits.servedPerConnection) {
			start();
		} else {
			connection.waiting.push(start);
		}
	}

	/** Handles a request whose head is complete. */
	function arrive(connection: Connection, request: IncomingMessage, response: ServerResponse, isContinueExpected: boolean): void {
		const {socket} = connection;
		const limit = bounds().bodyBytes;
		const announced = announcedLength(request);
		const overhead = memoryWithoutBody(request);
		const gone = new AbortController();
		const number = connection.arrived++;
		const work: Work = {isRefused: false, intake: undefined, holding: undefined};

		const refuse = (refusal: EarlyRefusal) => {
			work.isRefused = true;
			work.intake?.stop();
			work.holding?.release();
			connection.last = number;
			enter(connection, 'closing');
			closeAfterResponse(request, response);
			options.refuse(response, refusal);
		};

		const serve = (body: Uint8Array) => {
			if (connection.last !== undefined && number > connection.last) {
				return;
			}

			work.holding?.complete();
			enter(connection, 'running');
			serveInTurn(connection, response, () => {
				options.serve(request, response, {body, gone: gone.signal});
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

		begin(connection, response, isComplete => {
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
				socket.resetAndDestroy();
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
		const connection = connections.get(request.socket);
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

	function connect(socket: Socket): void {
		const connection: Connection = {
			socket, pending: new Set(), waiting: [], served: 0, arrived: 0, last: undefined,
		};
		connections.set(socket, connection);
		socket.once('close', () => {
			open.close(connection);
			connection.waiting.length = 0;
			for (const response of connection.pending) {
				// Node.js closes a response with its connection, except those that wait for an earlier one and have no socket yet.
				if (!response.socket) {
					response.emit('close');
				}
			}
		});
		for (const {connection: closed, phase, exceeded} of open.open(connection, now())) {
			onProblem(exceeded === 'connections' ? {kind: exceeded, limit: limits.connections, phase} : {kind: exceeded, limit: limits.incompleteHeads});
			closed.socket.destroy();
		}
	}

	/** Answers bytes that are not a request, unless they would be taken for a part of a response. */
	function answerMalformed(error: Error, socket: Duplex): void {
		onProblem({kind: 'malformed', reason: describeError(error)});
		const connection = connections.get(socket);
		if (!connection || !socket.writable || connection.pending.size > 0) {
			socket.destroy();
			return;
		}

		const isHeaderOverflow = 'code' in error && error.code === 'HPE_HEADER_OVERFLOW';
		connection.last = connection.arrived;
		enter(connection, 'closing');
		socket.write(`HTTP/1.1 ${isHeaderOverflow ? '431 Request Header Fields Too Large' : '400 Bad Request'}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
		closeSoon(connection.socket);
	}

	const server = createServer({connectionsCheckingInterval: connectionCheckIntervalMs, noDelay: true});
	server.prependListener('connection', () => {
		const {headerBytes, headerTimeout, idleTimeout} = bounds();
		// Node.js reads the header limit from the server for each new connection.
		Object.assign(server, {maxHeaderSize: headerBytes, headersTimeout: headerTimeout, keepAliveTimeout: idleTimeout});
	});
	server.on('connection', connect);
	server.on('request', (request, response) => {
		admit(request, response, false);
	});
	server.on('checkContinue', (request, response) => {
		admit(request, response, true);
	});
	server.on('clientError', answerMalformed);
	const {openTunnel} = options;
	if (openTunnel) {
		server.on('connect', (request, socket, head) => {
			const phase = openTunnel(request, head) ? 'running' : 'closing';
			const connection = connections.get(socket);
			if (connection) {
				enter(connection, phase);
			}
		});
	}

	return {
		server,
		gauges() {
			const counts = open.counts();
			return {
				connections: counts.head + counts.body + counts.running + counts.idle + counts.closing, incompleteHeads: counts.head, requests: held.count(), requestBytes: held.total(),
			};
		},
	};
}
