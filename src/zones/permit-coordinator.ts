/**
Grants permits for requests to endpoints with a rate limit. Each endpoint has a coordinator, the instance that is first in
rendezvous order in the endpoint's data centre, so that a partition between data centres separates an instance
from the endpoint and its coordinator alike. Where the coordinator does not answer, its deputy grants half of the
rate, and an instance that reaches neither uses an equal share. So the rate is exceeded by no more than
half, or by the shares of instances that are cut off, whatever instances believe about each other.
*/
import {type Clock} from '../contracts/clock.js';
import {
	as, type DataCentreId, type EndpointId, type Milliseconds,
} from '../contracts/id.js';
import {type RateLimitStatement, type RequestsPerSecond} from '../contracts/rate-limit.js';
import {createRateLimiter, type RateLimiter} from '../machines/rate-limiter.js';
import {type Member} from './membership.js';
import {candidatesIn, rankOwners} from './ownership.js';

/** Permits that a coordinator accumulates while there are no requests: one for each level of urgency that it tells apart. */
const coordinatorCapacity = 3;

/** The same for a deputy and for an instance that uses its own share. */
const substituteCapacity = 1;

/** Fraction of the rate that a deputy grants. */
const deputyFraction = 0.5;

/** Time without requests after which a rate limiter is dropped; its bucket would be full long before. */
const limiterLifetimeMs = 60_000;

/** A request for a permit, with the rate limit as the instance knows it. */
export type PermitRequest = {
	readonly endpoint: EndpointId;
	readonly dataCentre: DataCentreId;
	/** Rank of the request; zero is the most urgent. */
	readonly rank: number;
	readonly rate: RequestsPerSecond;
	/** Time since the endpoint stated the rate. */
	readonly age: Milliseconds;
};

export type PermitDecision
	= | {readonly kind: 'granted'}
	/** No permit is left; one may be after `wait`. */
		| {readonly kind: 'denied'; readonly wait: Milliseconds}
	/** The endpoint has stated since that it has no limit, `age` ago. */
		| {readonly kind: 'unlimited'; readonly age: Milliseconds};

export type PermitOutcome
	= | PermitDecision
	/** Another instance is the coordinator. */
		| {readonly kind: 'elsewhere'};

export type PermitCoordinatorOptions = {
	readonly self: () => Member;
	readonly members: () => readonly Member[];
	/** The latest statement of an endpoint that this instance knows; undefined if it does not know the endpoint. */
	readonly rateLimitOf: (endpoint: EndpointId) => RateLimitStatement | undefined;
	readonly recordRateLimit: (endpoint: EndpointId, statement: RateLimitStatement) => void;
	readonly clock: Clock;
};

export type PermitCoordinator = {
	/** Decides as the coordinator or, if the coordinator does not answer the requesting instance, as its deputy. */
	readonly decide: (request: PermitRequest, isCoordinatorUnreachable: boolean) => PermitOutcome;
	/** Decides about this instance's own request when no other instance answers. */
	readonly decideAlone: (request: PermitRequest) => PermitDecision;
};

/** Instances in the order in which they coordinate the permits for an endpoint. */
export function rankCoordinators(endpoint: EndpointId, dataCentre: DataCentreId, members: readonly Member[]): readonly Member[] {
	const local = candidatesIn(dataCentre, members);
	const candidates = local.length > 0 ? local : [...new Set(members.map(member => member.dataCentre))].flatMap(other => candidatesIn(other, members));
	return rankOwners(`permits/${endpoint}`, candidates);
}

type Entry = {readonly limiter: RateLimiter; usedAt: Milliseconds};

/** Creates the coordinator's part of an instance. */
export function createPermitCoordinator(options: PermitCoordinatorOptions): PermitCoordinator {
	const {clock} = options;
	const limiters = new Map<EndpointId, Entry>();

	function limiterOf(endpoint: EndpointId, now: Milliseconds): RateLimiter {
		for (const [id, {usedAt}] of limiters) {
			if (now - usedAt > limiterLifetimeMs) {
				limiters.delete(id);
			}
		}

		const entry = limiters.get(endpoint) ?? {limiter: createRateLimiter(now), usedAt: now};
		entry.usedAt = now;
		limiters.set(endpoint, entry);
		return entry.limiter;
	}

	function take(request: PermitRequest, fraction: number, capacity: number): PermitDecision {
		const now = clock.now();
		const stated = {limit: {kind: 'limited', rate: request.rate}, at: as<Milliseconds>(now - request.age)} as const;
		options.recordRateLimit(request.endpoint, stated);
		const {limit, at} = options.rateLimitOf(request.endpoint) ?? stated;
		switch (limit.kind) {
			case 'none': {
				return {kind: 'unlimited', age: as<Milliseconds>(now - at)};
			}

			case 'limited': {
				const wait = limiterOf(request.endpoint, now).take({
					rate: as<RequestsPerSecond>(limit.rate * fraction), capacity, reserve: request.rank, now,
				});
				return wait > 0 ? {kind: 'denied', wait} : {kind: 'granted'};
			}
		}
	}

	return {
		decide(request, isCoordinatorUnreachable) {
			const [first] = rankCoordinators(request.endpoint, request.dataCentre, options.members());
			if (first?.id === options.self().id) {
				return take(request, 1, coordinatorCapacity);
			}

			return isCoordinatorUnreachable ? take(request, deputyFraction, substituteCapacity) : {kind: 'elsewhere'};
		},
		decideAlone: request => take(request, 1 / options.members().length, substituteCapacity),
	};
}
