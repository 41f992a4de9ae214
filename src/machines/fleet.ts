/**
The fleet: every back end that the accepted configuration names, as this instance knows it. It gives
out places on them and forgets those that the configuration no longer lists.
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

/** A place on a back end; the holder must release it. */
export type BackEndSlot = {
	readonly backEnd: BackEnd;
	readonly release: () => void;
};

export type AcquireOptions = {
	/** Larger goes first. */
	readonly priority: number;
	/** Longest time that the caller is willing to wait for the whole answer. */
	readonly timeLeft: Milliseconds;
	readonly signal: AbortSignal;
};

/** Usual times of calls in a pool, in ms. */
export type PoolLatency = {readonly pool: PoolName; readonly pace: CallLatency};

export type Fleet = {
	readonly apply: (configuration: Configuration) => void;
	readonly configuration: () => Configuration;
	readonly route: (name: RouteName) => Route | undefined;
	/** Waits for a place in the pool. Fails with `no-endpoint`, `overloaded` or `cancelled`; nothing ran then. */
	readonly acquire: (pool: PoolName, query: Omit<PlacementQuery, 'now' | 'dataCentre'>, options: AcquireOptions) => Promise<Result<BackEndSlot, Failure>>;
	/** Whether a healthy endpoint of the pool is left besides those excluded. */
	readonly hasAlternative: (pool: PoolName, excluded: ReadonlySet<EndpointId>) => boolean;
	readonly retryBudget: (pool: PoolName) => RetryBudget;
	readonly backEnd: (endpoint: EndpointId) => BackEnd | undefined;
	readonly backEnds: () => readonly BackEnd[];
	/** Medians of the smoothed times in the pool that an endpoint belongs to. */
	readonly typicalLatency: (endpoint: EndpointId) => CallLatency;
	/** Usual times that this instance has observed itself, for some pools at a time in turn. */
	readonly nextPoolLatencies: (limit: number) => readonly PoolLatency[];
	/** Takes a peer's times over for a pool that this instance has not observed. */
	readonly recordPeerLatency: (learned: PoolLatency) => void;
};

export type FleetOptions = {
	readonly dataCentre: DataCentreId;
	readonly clock: Clock;
	readonly scheduler: Scheduler;
};

type Group = {readonly pool: Pool; readonly backEnds: readonly BackEnd[]; readonly budget: RetryBudget};

const retryAfterMs = 1000;

function isSame(backEnd: BackEnd, pool: Pool, index: number): boolean {
	const endpoint = pool.endpoints[index];
	return backEnd.endpoint.address === endpoint?.address && backEnd.endpoint.checksFencing === endpoint.checksFencing;
}

/** Creates a fleet without back ends. */
export function createFleet(options: FleetOptions): Fleet {
	const {clock, dataCentre} = options;
	let configuration = emptyConfiguration;
	let routes = new Map<RouteName, Route>();
	let groups = new Map<PoolName, Group>();
	const learnedPaces = new Map<PoolName, CallLatency>();
	let paceTurn = 0;
	let byEndpoint = new Map<EndpointId, {readonly backEnd: BackEnd; readonly group: Group}>();

	function createGroup(pool: Pool): Group {
		const backEnds = pool.endpoints.map((endpoint, index) => {
			const known = byEndpoint.get(endpoint.id)?.backEnd;
			if (known && isSame(known, pool, index)) {
				known.queue.concurrency = pool.concurrency;
				return known;
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

	/** Medians over the endpoints that were observed from here. */
	function observedPace(group: Group): CallLatency {
		const paces = group.backEnds.map(backEnd => backEnd.pace());
		const typical = (value: (pace: CallLatency) => number) => median(paces.map(pace => value(pace)).filter(time => time > 0)) ?? 0;
		return {call: typical(pace => pace.call), firstToken: typical(pace => pace.firstToken), token: typical(pace => pace.token)};
	}

	function refuse(code: 'no-endpoint' | 'overloaded' | 'cancelled', message: string, pool: PoolName): Result<never, Failure> {
		return err(failure(code, message, {step: 'place', peer: pool, retryAfter: as<Milliseconds>(retryAfterMs)}));
	}

	/** Waits in the queue of one back end. Undefined means that the back end fell out while waiting. */
	async function wait(backEnd: BackEnd, acquisition: AcquireOptions): Promise<BackEndSlot | undefined> {
		const signal = AbortSignal.any([acquisition.signal, backEnd.requeueSignal()]);
		const waiting = new AbortController();
		const giveUp = () => {
			waiting.abort(signal.reason);
		};

		signal.addEventListener('abort', giveUp, {once: true});
		return new Promise(resolve => {
			const occupy = async () => new Promise<void>(release => {
				signal.removeEventListener('abort', giveUp);
				resolve({backEnd, release});
			});
			backEnd.queue.add(occupy, {priority: acquisition.priority, signal: waiting.signal}).catch(() => {
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
			const observed = group ? observedPace(group) : noLatency;
			const learned = (group && learnedPaces.get(group.pool.name)) ?? noLatency;
			return {
				call: observed.call || learned.call,
				firstToken: observed.firstToken || learned.firstToken,
				token: observed.token || learned.token,
			};
		},
		nextPoolLatencies(limit) {
			const known = [...groups.values()]
				.map(group => ({pool: group.pool.name, pace: observedPace(group)}))
				.filter(entry => entry.pace.call > 0);
			paceTurn++;
			return known.filter((_, index) => (index + paceTurn) % Math.ceil(known.length / limit) === 0);
		},
		recordPeerLatency(learned) {
			learnedPaces.set(learned.pool, learned.pace);
		},
	};
}
