/**
State of one relayed request while it is served: its deadline, the endpoints that it was sent to, and how
much of a stream the caller has received.
*/
import {type Clock} from '../contracts/clock.js';
import {type EndpointPath} from '../contracts/endpoint-path.js';
import {
	as, type AttemptId, type ConfigurationGeneration, type EndpointId, type Milliseconds, type PoolName, type SoftwareVersion,
} from '../contracts/id.js';
import {type ListedEndpoint, type RelayRoute} from '../contracts/relay.js';
import {type EndpointNotice} from '../contracts/endpoint-notice.js';
import {type RelayAttempt, type RelayProgress, type RelayResult} from '../contracts/relay-attempt.js';
import {type Caller, type RelayRequest, type StreamEvent} from '../contracts/relay-request.js';
import {type WorkspaceName} from '../contracts/workspace.js';
import {type RelayTurn} from './relay-turn.js';

/** Timeout for the first event of a stream, as a multiple of the latency goal. */
const firstEventTimeoutFactor = 5;

/** Timeout between two events of a stream, as a multiple of the gap goal. */
const nextEventTimeoutFactor = 2;

/** Timeout for the answer to the first attempt of a repeatable request, as a multiple of the latency goal. */
const answerTimeoutFactor = 1.5;

/** Lower bound of the timeouts for the answer and the first event, as a multiple of the expected latency: a busy endpoint takes longer. */
const expectedLatencyFactor = 3;

/** Idle time above which a pooled connection is not used, because the endpoint may be closing it. */
const maximumIdleMs = 8000;

/** The same limit for a request that must not be sent twice, in case the endpoint closes connections earlier than it announces. */
const maximumIdleOnceMs = 3000;

/** Urgency added per rank below the highest, which has urgency zero. */
const urgencyPerRank = 2;
const leastUrgent = 9;

export type RelayJobOptions = {
	readonly request: RelayRequest;
	readonly route: RelayRoute;
	readonly pool: PoolName;
	/** Software version that began the stream which the request resumes. */
	readonly originVersion: SoftwareVersion | undefined;
	/** Rank of the request; zero is the most urgent. */
	readonly rank: number;
	/** The workspace that the request was admitted for; undefined if there are none, or the route is public. */
	readonly workspace: WorkspaceName | undefined;
	/** Time for which the request has waited so far. */
	readonly waited: Milliseconds;
	readonly caller: Caller;
	readonly fingerprint: string;
	readonly clock: Clock;
	readonly signal: AbortSignal;
	/** Generation of the configuration by which the request is handled. */
	readonly generation: ConfigurationGeneration;
	readonly onNotice: (endpoint: ListedEndpoint, notice: EndpointNotice) => void;
	/** Called before the caller receives its first event; `first` is the attempt of the caller that received the first one of the stream. */
	readonly onStreamStart: (first: AttemptId, version: SoftwareVersion) => void;
};

export type RelayJob = Omit<RelayJobOptions, 'clock' | 'waited' | 'originVersion' | 'onNotice' | 'onStreamStart'> & {
	readonly elapsed: () => Milliseconds;
	readonly timeLeft: () => Milliseconds;
	/** Records the result of an attempt. */
	readonly recordResult: (endpoint: ListedEndpoint, result: RelayResult) => void;
	/** Creates an attempt; `expected` is the time after which an answer is expected to begin. */
	readonly createAttempt: (endpoint: ListedEndpoint, path: EndpointPath, expected?: Milliseconds) => RelayAttempt;
	readonly attempts: () => number;
	readonly progress: () => RelayProgress;
	/** Whether the request may have arrived at an endpoint, which may have rejected it. */
	readonly hasReachedEndpoint: () => boolean;
	/** Whether an endpoint may have run the request. */
	readonly mayHaveRun: () => boolean;
	/** Whether the route lets the endpoint run the request, given those that may have run it and have not ended since. */
	readonly mayUse: (endpoint: ListedEndpoint) => boolean;
	/** Whether only endpoints that may have run the request may run it again. */
	readonly hasUsedAll: () => boolean;
	/** Endpoints that may have run the request and are not known to have ended. */
	readonly usedEndpoints: () => readonly ListedEndpoint[];
	/** Records that an endpoint that may have run the request has ended. */
	readonly recordEnd: (endpoint: EndpointId) => void;
	/** The only endpoint that may be used, if the request is pinned to one. */
	readonly pinnedEndpoint: () => EndpointId | undefined;
	readonly pinTo: (endpoint: EndpointId) => void;
	readonly unpin: () => void;
	readonly excluded: () => ReadonlySet<EndpointId>;
	readonly exclude: (endpoint: EndpointId) => void;
	readonly clearExcluded: () => void;
	/** Whether the head of a stream was sent to the caller. */
	readonly hasSentHead: () => boolean;
	readonly eventsRelayed: () => number;
	/** Starts the turn of a request whose route keeps turns, before its first attempt. */
	readonly startTurn: (turn: RelayTurn) => void;
	readonly turn: () => RelayTurn | undefined;
	/** The only software version at which the stream may continue; undefined before its first event. */
	readonly version: () => SoftwareVersion | undefined;
};

/** Creates the state of a request that has just arrived. */
export function createRelayJob(options: RelayJobOptions): RelayJob {
	const {request, route, clock, caller} = options;
	const arrivedAt = clock.now() - options.waited;
	const endsAt = arrivedAt + Math.min(route.timeout, request.timeLeft ?? route.timeout);
	const usedEndpoints = new Map<EndpointId, ListedEndpoint>();
	/** Endpoints that have responded, and may repeat that response on the connection that carried it. */
	const responded = new Set<EndpointId>();
	let excluded = new Set<EndpointId>();
	let pinned: EndpointId | undefined;
	let attempts = 0;
	let runs = 0;
	let hasReachedEndpoint = false;
	let hasSentHead = false;
	let isUnframed = false;
	let events = 0;
	let {lastEvent} = request;
	let version = options.originVersion;
	let turn: RelayTurn | undefined;

	function relayEvent(event: StreamEvent, from: SoftwareVersion): void {
		if (lastEvent !== undefined && event.id <= lastEvent) {
			return;
		}

		if (events === 0) {
			version ??= from;
			options.onStreamStart(request.firstAttempt ?? request.attempt, version);
		}

		lastEvent = event.id;
		events++;
		turn?.record(event);
		caller.event(event.bytes);
	}

	function markRun(endpoint: ListedEndpoint): void {
		usedEndpoints.set(endpoint.id, endpoint);
		runs++;
	}

	/** Handles a terminated or unreachable endpoint: it no longer counts as used, and the request is not pinned to it. */
	function markEnded(endpoint: EndpointId): void {
		usedEndpoints.delete(endpoint);
		pinned = pinned === endpoint ? undefined : pinned;
	}

	function maximumIdleFor(endpoint: EndpointId): Milliseconds {
		if (responded.has(endpoint)) {
			return as<Milliseconds>(0);
		}

		return as<Milliseconds>(route.repetition === 'once' ? maximumIdleOnceMs : maximumIdleMs);
	}

	function recordResult(endpoint: ListedEndpoint, result: RelayResult): void {
		attempts++;
		hasReachedEndpoint ||= result.kind !== 'unreachable';
		switch (result.kind) {
			case 'answered': {
				responded.add(endpoint.id);
				markRun(endpoint);
				return;
			}

			case 'finished':
			case 'silent':
			case 'expired':
			case 'cancelled':
			case 'broken': {
				markRun(endpoint);
				return;
			}

			case 'unreachable': {
				if (!result.isPathAtFault) {
					markEnded(endpoint.id);
				}

				break;
			}

			case 'misdirected': {
				responded.add(endpoint.id);
				markEnded(endpoint.id);
				break;
			}

			case 'rejected': {
				responded.add(endpoint.id);
				break;
			}
		}
	}

	/**
	Response timeouts of the next attempt. A repeatable request that timed out at one endpoint may just take long, so
	the next endpoint gets all the time that is left.
	*/
	function responseTimeoutsFor(expected: number): RelayAttempt['responseTimeouts'] {
		const remaining = as<Milliseconds>(endsAt - clock.now());
		switch (route.repetition) {
			case 'once': {
				return {first: remaining, next: remaining};
			}

			case 'repeatable': {
				const ms = runs > 0 ? remaining : as<Milliseconds>(Math.max(route.latencyGoal * answerTimeoutFactor, expected * expectedLatencyFactor));
				return {first: ms, next: ms};
			}

			case 'resumable': {
				const first = Math.max(route.latencyGoal * firstEventTimeoutFactor, expected * expectedLatencyFactor);
				return {first: as<Milliseconds>(first * (2 ** runs)), next: as<Milliseconds>(route.gapGoal * nextEventTimeoutFactor)};
			}
		}
	}

	return {
		request,
		route,
		pool: options.pool,
		rank: options.rank,
		workspace: options.workspace,
		caller,
		fingerprint: options.fingerprint,
		signal: options.signal,
		generation: options.generation,
		elapsed: () => as<Milliseconds>(clock.now() - arrivedAt),
		timeLeft: () => as<Milliseconds>(endsAt - clock.now()),
		recordResult,
		createAttempt: (endpoint, path, expected = as<Milliseconds>(0)) => ({
			request: turn ? {...request, body: turn.body} : request,
			endpoint,
			path,
			isStream: route.isStream,
			workspace: options.workspace,
			timeLeft: as<Milliseconds>(Math.max(1, endsAt - clock.now())),
			urgency: Math.min(leastUrgent, Math.floor(options.rank * urgencyPerRank)),
			resumeAfter: lastEvent,
			maximumIdle: maximumIdleFor(endpoint.id),
			responseTimeouts: responseTimeoutsFor(expected),
			onNotice(notice) {
				options.onNotice(endpoint, notice);
			},
			onHead(head) {
				if (!hasSentHead) {
					hasSentHead = true;
					isUnframed = head.isUnframed === true;
					caller.open(head);
				}
			},
			onEvent(event) {
				relayEvent(event, endpoint.version);
			},
			signal: options.signal,
		}),
		attempts: () => attempts,
		progress: () => ({
			repetition: route.repetition, endpointsUsed: usedEndpoints.size, maxEndpoints: route.maxEndpoints, runs, hasSentHead, isUnframed,
		}),
		hasReachedEndpoint: () => hasReachedEndpoint,
		mayHaveRun: () => runs > 0,
		mayUse: endpoint => usedEndpoints.has(endpoint.id) || usedEndpoints.size < route.maxEndpoints,
		hasUsedAll: () => usedEndpoints.size >= route.maxEndpoints,
		usedEndpoints: () => [...usedEndpoints.values()],
		recordEnd: markEnded,
		pinnedEndpoint: () => pinned,
		pinTo(endpoint) {
			pinned = endpoint;
		},
		unpin() {
			pinned = undefined;
		},
		excluded: () => excluded,
		exclude(endpoint) {
			excluded.add(endpoint);
		},
		clearExcluded() {
			excluded = new Set();
		},
		hasSentHead: () => hasSentHead,
		eventsRelayed: () => events,
		startTurn(started) {
			turn = started;
		},
		turn: () => turn,
		version: () => version,
	};
}
