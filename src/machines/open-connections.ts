/**
Decides which connections of clients are closed when there are too many. The descriptors of a process are shared by its clients,
its endpoints, its peers and the store, so those of clients are limited; and only a part of them may have an incomplete head, as
that costs a client nothing. The least useful connection is closed first, so that a client that connects and sends its request at
once gets in whoever else is connected.
*/
import {type Milliseconds} from '../contracts/id.js';

/**
- `head`: no request yet, or only a part of its head.
- `body`: a request whose body is incomplete.
- `running`: a request that has arrived completely.
- `idle`: all requests have ended.
- `closing`: the last response was sent, and the client has a moment to read it.
*/
export type ConnectionPhase = 'head' | 'body' | 'running' | 'idle' | 'closing';

/** Age from which an incomplete head is closed before connections that are idle; ordinary heads arrive with the connection. */
const slowHeadMs = 500;

/** The same for an incomplete body. */
const slowBodyMs = 1000;

export type ConnectionCounts = Readonly<Record<ConnectionPhase, number>>;

export type ClosedConnection<Connection> = {
	readonly connection: Connection;
	readonly phase: ConnectionPhase;
	/** The limit that is exceeded without closing it. */
	readonly exceeded: 'connections' | 'incomplete-heads';
};

export type OpenConnections<Connection> = {
	/** Adds a connection, in phase `head`. Returns those to be closed for it, which may include itself; they are no longer counted. */
	readonly open: (connection: Connection, now: Milliseconds) => ReadonlyArray<ClosedConnection<Connection>>;
	/** Records that a connection has reached another phase; without effect once it is closed. */
	readonly enter: (connection: Connection, phase: ConnectionPhase, now: Milliseconds) => void;
	readonly close: (connection: Connection) => void;
	readonly counts: () => ConnectionCounts;
};

export type ConnectionLimits = {readonly connections: number; readonly incompleteHeads: number};

/** Creates the connections of a listener, none at first. */
export function createOpenConnections<Connection>(limits: ConnectionLimits): OpenConnections<Connection> {
	const phaseOf = new Map<Connection, ConnectionPhase>();
	/** Connections of each phase with the time at which they reached it, the longest first. */
	const phases: Readonly<Record<ConnectionPhase, Map<Connection, Milliseconds>>> = {
		head: new Map(), body: new Map(), running: new Map(), idle: new Map(), closing: new Map(),
	};

	function remove(connection: Connection): void {
		const phase = phaseOf.get(connection);
		if (phase !== undefined) {
			phases[phase].delete(connection);
			phaseOf.delete(connection);
		}
	}

	/** Returns the connection that has been in a phase for longest, if for at least `age`. */
	function longest(phase: ConnectionPhase, now: Milliseconds, age = 0): Connection | undefined {
		const [first] = phases[phase];
		return first && now - first[1] >= age ? first[0] : undefined;
	}

	function leastUseful(now: Milliseconds): Connection | undefined {
		return longest('closing', now) ?? longest('head', now, slowHeadMs) ?? longest('body', now, slowBodyMs) ?? longest('idle', now)
			?? (phases.head.size > 1 ? longest('head', now) : undefined) ?? longest('body', now) ?? longest('head', now);
	}

	return {
		open(connection, now) {
			phaseOf.set(connection, 'head');
			phases.head.set(connection, now);
			const closed: Array<ClosedConnection<Connection>> = [];
			const close = (victim: Connection | undefined, exceeded: ClosedConnection<Connection>['exceeded']) => {
				if (victim !== undefined) {
					closed.push({connection: victim, phase: phaseOf.get(victim) ?? 'head', exceeded});
					remove(victim);
				}
			};

			if (phases.head.size > limits.incompleteHeads) {
				close(longest('head', now), 'incomplete-heads');
			}

			if (phaseOf.size > limits.connections) {
				close(leastUseful(now), 'connections');
			}

			return closed;
		},
		enter(connection, phase, now) {
			if (phaseOf.has(connection)) {
				remove(connection);
				phaseOf.set(connection, phase);
				phases[phase].set(connection, now);
			}
		},
		close: remove,
		counts: () => ({
			head: phases.head.size, body: phases.body.size, running: phases.running.size, idle: phases.idle.size, closing: phases.closing.size,
		}),
	};
}
