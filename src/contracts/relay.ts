/**
Relayed requests: routes, pools and limits for requests whose bodies and answers are forwarded without being
parsed. Routes are matched by host and path prefix; the endpoints of a pool come from a list that the back
ends maintain themselves.
*/
import {
	type Address, type ConfigurationGeneration, type DataCentreId, type EndpointId, type Milliseconds, type PoolName,
	type RouteName, type SoftwareVersion, type Tokens,
} from './id.js';
import {type Workspace} from './workspace.js';

/**
What may be sent again once the request may have run:
- `repeatable`: the complete request, to as many endpoints as its route allows.
- `resumable`: a stream, continued after its last complete event.
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
	/** At least one; the weights need not add up to a particular total. */
	readonly shares: readonly RouteShare[];
	readonly isStream: boolean;
	readonly repetition: Repetition;
	/** Maximum time for which a caller waits for the complete answer. */
	readonly timeout: Milliseconds;
	/** Target for the time to the answer, or to the first event of a stream. */
	readonly latencyGoal: Milliseconds;
	/** Target for the maximum time between two events of a stream. */
	readonly gapGoal: Milliseconds;
	/** Maximum number of endpoints that may run one request. */
	readonly maxEndpoints: number;
	/** Priority of the route; zero is the highest. */
	readonly rank: number;
	/** Time for which the account of an inactive program is kept, because the program may resume. */
	readonly retention: Milliseconds;
	/** Whether the turns of the route are stored for the retention, so that a later turn sends only its new input. */
	readonly keepsTurns: boolean;
	/** Whether callers need no key where there are workspaces. */
	readonly isPublic: boolean;
};

export type RelayPool = {
	readonly name: PoolName;
	/** Number of tokens that one event of a stream represents. */
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
	/** Undefined if the deployment has no workspaces; callers then need no keys. */
	readonly workspaces?: readonly Workspace[] | undefined;
};

/** An endpoint as registered in the list that back ends maintain. */
export type ListedEndpoint = {
	readonly id: EndpointId;
	readonly pool: PoolName;
	readonly address: Address;
	readonly dataCentre: DataCentreId;
	readonly version: SoftwareVersion;
	/** Number of requests that it runs concurrently. */
	readonly slots: number;
	readonly isLeaving: boolean;
	/** Wall-clock time at which this incarnation of the endpoint started; undefined if it does not say. */
	readonly bornAt?: Milliseconds | undefined;
};
