/**
Connections of a guarded server: the phase of each, its requests in their order, and what becomes of one that exceeds a limit or
sends bytes that are not a request.
*/
import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import {type ClientLimits} from '../contracts/client-limits.js';
import {describeError} from '../contracts/failure.js';
import {as, type Milliseconds} from '../contracts/id.js';
import {type ClientProblem} from '../machines/client-problem.js';
import {type ConnectionCounts, type ConnectionPhase, createOpenConnections} from '../machines/open-connections.js';
import {closeSoon} from './client-socket.js';

export type GuardedConnection = {
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

export type GuardedConnectionsOptions = {
	readonly limits: ClientLimits;
	readonly onProblem: (problem: ClientProblem) => void;
};

export type GuardedConnections = {
	/** Adds a connection, and closes those that exceed the limits because of it. */
	readonly add: (socket: Socket) => void;
	readonly of: (socket: Duplex) => GuardedConnection | undefined;
	readonly enter: (connection: GuardedConnection, phase: ConnectionPhase) => void;
	/** Adds a request to its connection; `onEnd` is called when it has ended, with whether its response is complete. */
	readonly begin: (connection: GuardedConnection, response: ServerResponse, onEnd: (isComplete: boolean) => void) => void;
	/** Serves a request once few enough others of its connection are served. */
	readonly serveInTurn: (connection: GuardedConnection, response: ServerResponse, serve: () => void) => void;
	/** Closes a connection that was idle for too long, unless its next request has arrived. */
	readonly closeIdle: (socket: Socket) => void;
	/** Answers bytes that are not a request, or not one in time, unless they would be taken for a part of a response. */
	readonly answerMalformed: (error: Error, socket: Duplex) => void;
	/** Closes all connections, and resets those whose response is incomplete. */
	readonly closeAll: () => void;
	readonly counts: () => ConnectionCounts;
};

const now = () => as<Milliseconds>(performance.now());

/** Creates the connections of a server, none at first. */
export function createGuardedConnections({limits, onProblem}: GuardedConnectionsOptions): GuardedConnections {
	const connections = new Map<Duplex, GuardedConnection>();
	const open = createOpenConnections<GuardedConnection>(limits);

	function enter(connection: GuardedConnection, phase: ConnectionPhase): void {
		open.enter(connection, phase, now());
	}

	function begin(connection: GuardedConnection, response: ServerResponse, onEnd: (isComplete: boolean) => void): void {
		connection.pending.add(response);
		response.once('close', () => {
			connection.pending.delete(response);
			onEnd(response.writableFinished);
			if (connection.pending.size === 0 && connection.last === undefined) {
				enter(connection, 'idle');
			}
		});
	}

	function serveInTurn(connection: GuardedConnection, response: ServerResponse, serve: () => void): void {
		const start = () => {
			connection.served++;
			response.once('close', () => {
				connection.served--;
				// After the last response of a connection, no further one can be written.
				if (response.shouldKeepAlive) {
					connection.waiting.shift()?.();
				}
			});
			serve();
		};

		if (connection.served < limits.servedPerConnection) {
			start();
		} else {
			connection.waiting.push(start);
		}
	}

	function add(socket: Socket): void {
		const connection: GuardedConnection = {
			socket, pending: new Set(), waiting: [], served: 0, arrived: 0, last: undefined,
		};
		connections.set(socket, connection);
		socket.once('close', () => {
			connections.delete(socket);
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

	function closeIdle(socket: Socket): void {
		const {bytesRead} = socket;
		setImmediate(() => {
			// A late event loop reads what has arrived only after its timers.
			if (socket.bytesRead === bytesRead) {
				socket.destroy();
			}
		});
	}

	function answerTimeout(error: Error, socket: Duplex): void {
		const connection = connections.get(socket);
		const arrived = connection?.arrived;
		setImmediate(() => {
			// A late event loop reads what has arrived only after its timers.
			if (!connection || connection.arrived === arrived) {
				answerInvalid(error, socket, '408 Request Timeout');
			}
		});
	}

	function answerMalformed(error: Error, socket: Duplex): void {
		switch ('code' in error ? error.code : undefined) {
			case 'ERR_HTTP_REQUEST_TIMEOUT': {
				answerTimeout(error, socket);
				return;
			}

			case 'HPE_HEADER_OVERFLOW': {
				answerInvalid(error, socket, '431 Request Header Fields Too Large');
				return;
			}

			default: {
				answerInvalid(error, socket, '400 Bad Request');
			}
		}
	}

	function answerInvalid(error: Error, socket: Duplex, status: string): void {
		onProblem({kind: 'malformed', reason: describeError(error)});
		const connection = connections.get(socket);
		if (!connection || !socket.writable || connection.pending.size > 0) {
			socket.destroy();
			return;
		}

		connection.last = connection.arrived;
		enter(connection, 'closing');
		socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
		closeSoon(connection.socket);
	}

	function closeAll(): void {
		for (const {socket, pending} of connections.values()) {
			if (pending.size > 0) {
				socket.resetAndDestroy();
			} else {
				socket.destroy();
			}
		}
	}

	return {
		add, closeAll, of: socket => connections.get(socket), enter, begin, serveInTurn, closeIdle, answerMalformed, counts: open.counts,
	};
}
