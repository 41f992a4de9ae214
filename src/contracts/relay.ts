/**
Relayed work: routes, pools and limits for requests whose bodies and answers the system passes on
without reading them. Routes are found by host and path prefix; pools get their endpoints from a list
that back ends keep themselves.
*/
import {
	type Address, type ConfigurationGeneration, type DataCentreId, type EndpointId, type Milliseconds, type PoolName,
	type RouteName, type Tokens,
} from './id.js';

/**
What may be sent again after it may have run:
- `repeatable`: the whole request, to as many endpoints as its route allows.
- `resumable`: a stream, from behind its last whole event.
- `once`: nothing (at-most-once delivery).
*/
export type Repetition = 'repeatable' | 'resumable' | 'once';

/** A weighted share of a route's requests. */
export type RouteShare = {
	readonly pool: PoolName;
	readonly weight: number;
};

export type RelayRoute = {
	readonly name: RouteName;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly prefix: string;
	/** At least one; the weights need not add up to anything. */
	readonly shares: readonly RouteShare[];
	readonly isStream: boolean;
	readonly repetition: Repetition;
	/** Longest time that a caller is kept waiting. */
	readonly timeout: Milliseconds;
	/** Time to the answer, or to the first event of a stream, within which it is on time. */
	readonly latencyGoal: Milliseconds;
	/** Longest pause between two events of a stream that is still on time. */
	readonly gapGoal: Milliseconds;
	/** Endpoints that may run one request, at most. */
	readonly maxEndpoints: number;
	/** Importance; zero is the highest. */
	readonly rank: number;
	/** Time for which a stopped program may come back. */
	readonly retention: Milliseconds;
};

export type RelayPool = {
	readonly name: PoolName;
	/** Tokens that one event of a stream stands for. */
	readonly tokensPerEvent: Tokens;
};

/** Bounds on what callers may send. */
export type CallerLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headerTimeout: Milliseconds;
	readonly idleTimeout: Milliseconds;
};

export type RelayConfiguration = {
	readonly generation: ConfigurationGeneration;
	readonly routes: readonly RelayRoute[];
	readonly pools: readonly RelayPool[];
	readonly limits: CallerLimits;
};

/** An endpoint as the list of back ends shows it. */
export type ListedEndpoint = {
	readonly id: EndpointId;
	readonly pool: PoolName;
	readonly address: Address;
	readonly dataCentre: DataCentreId;
	/** Requests that it runs at the same time. */
	readonly slots: number;
	readonly isLeaving: boolean;
};
