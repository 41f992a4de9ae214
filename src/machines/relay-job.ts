/**
One relayed request while it is served: its time, the endpoints that it has been to, and how much of a
stream the caller has.
*/
import {type Clock} from '../contracts/clock.js';
import {
	as, type ConfigurationGeneration, type EndpointId, type Milliseconds,
} from '../contracts/id.js';
import {type ListedEndpoint, type RelayRoute} from '../contracts/relay.js';
import {type RelayAttempt, type RelayProgress, type RelayResult} from '../contracts/relay-attempt.js';
import {type Caller, type RelayRequest, type StreamEvent} from '../contracts/relay-request.js';

/** Silence before the first event of a stream that ends an attempt, in latency goals. */
const firstEventGoals = 5;

/** Silence between events that ends an attempt, in gap goals. */
const nextEventGoals = 2;

/** Silence before a repeatable answer that ends the first attempt, in latency goals. */
const answerGoals = 1.5;

/** The same in expected times: an endpoint that is known to be busy is not silent yet. */
const expectedTimes = 3;

/** Idle time of a kept connection above which its other end may be closing it just now. */
const longestIdleMs = 8000;

/** The same for a request that may not be sent twice, should the other end not keep the time that it states. */
const longestIdleOnceMs = 3000;

/** Urgency of the most important requests; each rank below adds as much. */
const urgencyPerRank = 2;
const leastUrgent = 9;

export type RelayJobOptions = {
	readonly request: RelayRequest;
	readonly route: RelayRoute;
	readonly caller: Caller;
	readonly fingerprint: string;
	readonly clock: Clock;
	readonly signal: AbortSignal;
	/** Configuration that the request is handled by. */
	readonly generation: ConfigurationGeneration;
	readonly onCrash: (endpoint: EndpointId) => void;
};

export type RelayJob = Omit<RelayJobOptions, 'clock' | 'onCrash'> & {
	readonly elapsed: () => Milliseconds;
	readonly timeLeft: () => Milliseconds;
	/** Takes from the result of an attempt what it says about the request. */
	readonly recordResult: (endpoint: EndpointId, result: RelayResult) => void;
	/** `expected` is the time in which an answer is expected to begin. */
	readonly createAttempt: (endpoint: ListedEndpoint, expected?: Milliseconds) => RelayAttempt;
	readonly attempts: () => number;
	readonly progress: () => RelayProgress;
	/** Whether an endpoint may have run the request. */
	readonly mayHaveRun: () => boolean;
	/** The only endpoint that may be used, if there is such a bound. */
	readonly pinnedEndpoint: () => EndpointId | undefined;
	readonly pinTo: (endpoint: EndpointId) => void;
	readonly excluded: () => ReadonlySet<EndpointId>;
	readonly exclude: (endpoint: EndpointId) => void;
	readonly clearExcluded: () => void;
	/** Whether the caller has the head of a stream. */
	readonly hasSentHead: () => boolean;
	readonly eventsRelayed: () => number;
};

/** Creates the state of a request that has just arrived. */
export function createRelayJob(options: RelayJobOptions): RelayJob {
	const {request, route, clock, caller} = options;
	const startedAt = clock.now();
	const endsAt = startedAt + Math.min(route.timeout, request.timeLeft ?? route.timeout);
	const usedEndpoints = new Set<EndpointId>();
	let excluded = new Set<EndpointId>();
	let bound: EndpointId | undefined;
	let attempts = 0;
	let runs = 0;
	let resetBy: EndpointId | undefined;
	let isOpen = false;
	let events = 0;
	let {lastEvent} = request;

	function relayEvent(event: StreamEvent): void {
		if (lastEvent !== undefined && event.id <= lastEvent) {
			return;
		}

		lastEvent = event.id;
		events++;
		caller.event(event.bytes);
	}

	function markRun(endpoint: EndpointId): void {
		usedEndpoints.add(endpoint);
		runs++;
	}

	/** The endpoint has ended or cannot be reached: it no longer counts, and nothing binds to it. */
	function markEnded(endpoint: EndpointId): void {
		usedEndpoints.delete(endpoint);
		bound = bound === endpoint ? undefined : bound;
		if (resetBy === endpoint) {
			options.onCrash(endpoint);
		}
	}

	function conclude(endpoint: EndpointId, result: RelayResult): void {
		attempts++;
		switch (result.kind) {
			case 'answered':
			case 'finished':
			case 'silent':
			case 'expired':
			case 'cancelled': {
				markRun(endpoint);
				return;
			}

			case 'broken': {
				markRun(endpoint);
				resetBy = endpoint;
				return;
			}

			case 'unreachable':
			case 'misdirected': {
				markEnded(endpoint);
				break;
			}

			case 'rejected': {
				break;
			}
		}
	}

	/**
	How long an endpoint may be silent. A repeatable request that was silent at one endpoint may just take long, so
	the next one has all the time that is left.
	*/
	function patience(expected: number): RelayAttempt['responseTimeouts'] {
		const left = as<Milliseconds>(endsAt - clock.now());
		switch (route.repetition) {
			case 'once': {
				return {first: left, next: left};
			}

			case 'repeatable': {
				const ms = runs > 0 ? left : as<Milliseconds>(Math.max(route.latencyGoal * answerGoals, expected * expectedTimes));
				return {first: ms, next: ms};
			}

			case 'resumable': {
				const first = Math.max(route.latencyGoal * firstEventGoals, expected * expectedTimes);
				return {first: as<Milliseconds>(first * (2 ** runs)), next: as<Milliseconds>(route.gapGoal * nextEventGoals)};
			}
		}
	}

	return {
		request,
		route,
		caller,
		fingerprint: options.fingerprint,
		signal: options.signal,
		generation: options.generation,
		elapsed: () => as<Milliseconds>(clock.now() - startedAt),
		timeLeft: () => as<Milliseconds>(endsAt - clock.now()),
		recordResult: conclude,
		createAttempt: (endpoint, expected = as<Milliseconds>(0)) => ({
			request,
			endpoint,
			isStream: route.isStream,
			timeLeft: as<Milliseconds>(Math.max(1, endsAt - clock.now())),
			urgency: Math.min(leastUrgent, route.rank * urgencyPerRank),
			resumeAfter: lastEvent,
			maximumIdle: as<Milliseconds>(route.repetition === 'once' ? longestIdleOnceMs : longestIdleMs),
			responseTimeouts: patience(expected),
			onHead(head) {
				if (!isOpen) {
					isOpen = true;
					caller.open(head);
				}
			},
			onEvent: relayEvent,
			signal: options.signal,
		}),
		attempts: () => attempts,
		progress: () => ({
			repetition: route.repetition, endpointsUsed: usedEndpoints.size, maxEndpoints: route.maxEndpoints, runs,
		}),
		mayHaveRun: () => runs > 0,
		pinnedEndpoint: () => bound,
		pinTo(endpoint) {
			bound = endpoint;
		},
		excluded: () => excluded,
		exclude(endpoint) {
			excluded.add(endpoint);
		},
		clearExcluded() {
			excluded = new Set();
		},
		hasSentHead: () => isOpen,
		eventsRelayed: () => events,
	};
}
