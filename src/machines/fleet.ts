/**
The fleet: all back ends of the accepted configuration, as they are known to this instance. It allocates slots
on them, and drops back ends that the configuration no longer lists.
*/
import {err, ok, type Result} from 'neverthrow';
import {type Clock} from '../contracts/clock.js';
import {type Configuration, emptyConfiguration} from '../contracts/configuration.js';
import {describeError, type Failure, failure} from '../contracts/failure.js';
import {
	as, type DataCentreId, type EndpointId, type Milliseconds, type PoolName, type RouteName,
} from '../contracts/id.js';
import {median} from '../contracts/median.js';
import {type Pool} from '../contracts/pool.js';
import {type Route} from '../contracts/route.js';
import {
	type BackEnd, createBackEnd, noLatency, type CallLatency,
} from './back-end.js';
import {type PlacementQuery} from './placement.js';
import {type Scheduler} from './policy.js';
import {createRetryBudget, type RetryBudget} from './retry-budget.js';

/** A slot for one call on a back end; the holder must release it. */
export type BackEndSlot = {
	readonly backEnd: BackEnd;
	readonly release: () => void;
};

export type AcquireOptions = {
	/** Calls with a larger number go first. */
	readonly priority: number;
	/** Time left for the complete answer. */
	readonly timeLeft: Milliseconds;
	readonly signal: AbortSignal;
};

/** Typical latencies of calls in a pool, in ms. */
export type PoolLatency = {readonly pool: PoolName; readonly pace: CallLatency};

export type Fleet = {
	readonly apply: (configuration: Configuration) => void;
	readonly configuration: () => Configuration;
	readonly route: (name: RouteName) => Route | undefined;
	/** Waits for a slot in the pool. Fails with `no-endpoint`, `overloaded` or `cancelled`; nothing has run in these cases. */
	readonly acquire: (pool: PoolName, query: Omit<PlacementQuery, 'now' | 'dataCentre'>, options: AcquireOptions) => Promise<Result<BackEndSlot, Failure>>;
	/** Whether the pool has a healthy endpoint that is not excluded. */
	readonly hasAlternative: (pool: PoolName, excluded: ReadonlySet<EndpointId>) => boolean;
	readonly retryBudget: (pool: PoolName) => RetryBudget;
	readonly backEnd: (endpoint: EndpointId) => BackEnd | undefined;
	readonly backEnds: () => readonly BackEnd[];
	/** Median smoothed latencies of the pool that an endpoint belongs to; those that a peer reported where this instance has observed none. */
	readonly typicalLatency: (endpoint: EndpointId) => CallLatency;
	/** Typical latencies that this instance has observed itself, for up to `limit` pools at a time, in rotation. */
	readonly nextPoolLatencies: (limit: number) => readonly PoolLatency[];
	/** Records a peer's latencies for a pool, used where this instance has observed none. */
	readonly recordPeerLatency: (reported: PoolLatency) => void;
};

export type FleetOptions = {
	readonly dataCentre: DataCentreId;
	readonly clock: Clock;
	readonly scheduler: Scheduler;
};

type Group = {readonly pool: Pool; readonly backEnds: readonly BackEnd[]; readonly budget: RetryBudget};

const retryAfterMs = 1000;

function isSameEndpoint(backEnd: BackEnd, pool: Pool, index: number): boolean {
	const endpoint = pool.endpoints[index];
	return backEnd.endpoint.address === endpoint?.address && backEnd.endpoint.checksFencing === endpoint.checksFencing;
}

/** Creates a fleet without back ends. */
export function createFleet(options: FleetOptions): Fleet {
	const {clock, dataCentre} = options;
	let configuration = emptyConfiguration;
	let routes = new Map<RouteName, Route>();
	let groups = new Map<PoolName, Group>();
	const peerLatencies = new Map<PoolName, CallLatency>();
	let rotation = 0;
	let byEndpoint = new Map<EndpointId, {readonly backEnd: BackEnd; readonly group: Group}>();

	function createGroup(pool: Pool): Group {
		const backEnds = pool.endpoints.map((endpoint, index) => {
			const existing = byEndpoint.get(endpoint.id)?.backEnd;
			if (existing && isSameEndpoint(existing, pool, index)) {
				existing.queue.concurrency = pool.concurrency;
				return existing;
			}

			return createBackEnd(endpoint, pool);
		});
		return {pool, backEnds, budget: groups.get(pool.name)?.budget ?? createRetryBudget()};
	}

	function apply(next: Configuration): void {
		configuration = next;
		routes = new Map(next.routes.map(route => [route.name, route]));
		groups = new Map(next.pools.map(pool => [pool.name, createGroup(pool)]));
		byEndpoint = new Map([...groups.values()].flatMap(group => group.backEnds.map(backEnd => [backEnd.endpoint.id, {backEnd, group}])));
	}

	/** Median latencies of the endpoints that this instance has observed. */
	function observedLatency(group: Group): CallLatency {
		const paces = group.backEnds.map(backEnd => backEnd.pace());
		const typical = (value: (pace: CallLatency) => number) => median(paces.map(pace => value(pace)).filter(time => time > 0)) ?? 0;
		return {call: typical(pace => pace.call), firstToken: typical(pace => pace.firstToken), token: typical(pace => pace.token)};
	}

	function refuse(code: 'no-endpoint' | 'overloaded' | 'cancelled', message: string, pool: PoolName): Result<never, Failure> {
		return err(failure(code, message, {step: 'place', peer: pool, retryAfter: as<Milliseconds>(retryAfterMs)}));
	}

	/** Waits in the queue of one back end. Returns undefined if the wait was aborted, for example because the back end became unhealthy. */
	async function wait(backEnd: BackEnd, acquisition: AcquireOptions): Promise<BackEndSlot | undefined> {
		const signal = AbortSignal.any([acquisition.signal, backEnd.requeueSignal()]);
		const waiting = new AbortController();
		const giveUp = () => {
			waiting.abort(signal.reason);
		};

		signal.addEventListener('abort', giveUp, {once: true});
		return new Promise(resolve => {
			const holdSlot = async () => new Promise<void>(release => {
				signal.removeEventListener('abort', giveUp);
				resolve({backEnd, release});
			});
			backEnd.queue.add(holdSlot, {priority: acquisition.priority, signal: waiting.signal}).catch(() => {
				resolve(undefined);
			});
		});
	}

	async function acquire(
		name: PoolName,
		partial: Omit<PlacementQuery, 'now' | 'dataCentre'>,
		acquisition: AcquireOptions,
	): Promise<Result<BackEndSlot, Failure>> {
		const group = groups.get(name);
		while (!acquisition.signal.aborted) {
			const query = {...partial, dataCentre, now: clock.now()};
			const choice = options.scheduler.choose(group?.backEnds ?? [], query, acquisition.timeLeft);
			if (choice.kind === 'none') {
				return refuse('no-endpoint', `No endpoint of pool "${name}" can take the call`, name);
			}

			if (choice.kind === 'too-late') {
				return refuse('overloaded', `Expected wait of ${Math.round(choice.cost)} ms exceeds the ${Math.round(acquisition.timeLeft)} ms left`, name);
			}

			const place = await wait(choice.backEnd, acquisition);
			if (place) {
				return ok(place);
			}
		}

		return refuse('cancelled', describeError(acquisition.signal.reason), name);
	}

	return {
		apply,
		configuration: () => configuration,
		route: name => routes.get(name),
		acquire,
		hasAlternative: (pool, excluded) => (groups.get(pool)?.backEnds ?? [])
			.some(backEnd => !excluded.has(backEnd.endpoint.id) && backEnd.health().kind === 'healthy'),
		retryBudget: pool => groups.get(pool)?.budget ?? createRetryBudget(),
		backEnd: endpoint => byEndpoint.get(endpoint)?.backEnd,
		backEnds: () => [...byEndpoint.values()].map(entry => entry.backEnd),
		typicalLatency(endpoint) {
			const group = byEndpoint.get(endpoint)?.group;
			const observed = group ? observedLatency(group) : noLatency;
			const reported = (group && peerLatencies.get(group.pool.name)) ?? noLatency;
			return {
				call: observed.call || reported.call,
				firstToken: observed.firstToken || reported.firstToken,
				token: observed.token || reported.token,
			};
		},
		nextPoolLatencies(limit) {
			const observed = [...groups.values()]
				.map(group => ({pool: group.pool.name, pace: observedLatency(group)}))
				.filter(entry => entry.pace.call > 0);
			rotation++;
			return observed.filter((_, index) => (index + rotation) % Math.ceil(observed.length / limit) === 0);
		},
		recordPeerLatency(reported) {
			peerLatencies.set(reported.pool, reported.pace);
		},
	};
}
