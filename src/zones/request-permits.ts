/**
Permits of an instance for requests to endpoints with a rate limit: asks the endpoint's coordinator, then its deputy, and
remembers until when an endpoint has none left, so that requests meanwhile go elsewhere without asking again.
*/
import {type Clock} from '../contracts/clock.js';
import {
	as, type EndpointId, type InstanceId, type Milliseconds,
} from '../contracts/id.js';
import {noRateLimit, type RateLimitStatement} from '../contracts/rate-limit.js';
import {type ListedEndpoint} from '../contracts/relay.js';
import {type Permit, type RatePermits} from '../machines/rate-permits.js';
import {type Member} from './membership.js';
import {
	type PermitCoordinator, type PermitDecision, type PermitOutcome, type PermitRequest, rankCoordinators,
} from './permit-coordinator.js';
import {type RelayPeers} from './relay-peers.js';
import {createUnresponsivePeers} from './unresponsive-peers.js';

/** Timeout of a request for a permit; a coordinator replies within milliseconds unless it is short of processor time. */
const askTimeoutMs = 80;

/** Number of instances that are asked: the coordinator and its deputy. */
const maximumAsked = 2;

/** Lower bound of the time for which an endpoint counts as exhausted after a denial. */
const minimumWaitMs = 10;

export type RequestPermitsOptions = {
	readonly self: () => Member;
	readonly members: () => readonly Member[];
	readonly peers: Pick<RelayPeers, 'request'>;
	readonly coordinator: PermitCoordinator;
	readonly recordRateLimit: (endpoint: EndpointId, statement: RateLimitStatement) => void;
	readonly clock: Clock;
	readonly onUnanswered: (endpoint: EndpointId, coordinator: InstanceId) => void;
};

/** Creates the permits of an instance. */
export function createRequestPermits(options: RequestPermitsOptions): RatePermits {
	const {clock} = options;
	const unresponsive = createUnresponsivePeers<InstanceId>(clock);
	/** For each endpoint and each rank that was denied a permit, the time at which it may ask again. */
	const exhausted = new Map<EndpointId, Map<number, Milliseconds>>();

	async function ask(member: Member, request: PermitRequest, isCoordinatorUnreachable: boolean): Promise<PermitOutcome | undefined> {
		if (member.id === options.self().id) {
			return options.coordinator.decide(request, isCoordinatorUnreachable);
		}

		const reply = await options.peers.request(member.address, {kind: 'permit', permit: request, isCoordinatorUnreachable}, {
			timeout: as<Milliseconds>(askTimeoutMs), attempts: 1,
		});
		if (reply?.kind === 'permit') {
			return reply.outcome;
		}

		unresponsive.add(member.id);
		options.onUnanswered(request.endpoint, member.id);
		return undefined;
	}

	async function decide(request: PermitRequest): Promise<PermitDecision> {
		const ranked = rankCoordinators(request.endpoint, request.dataCentre, options.members());
		for (const [index, member] of ranked.slice(0, maximumAsked).entries()) {
			const outcome = unresponsive.has(member.id) ? undefined : await ask(member, request, index > 0);
			if (outcome && outcome.kind !== 'elsewhere') {
				return outcome;
			}
		}

		return options.coordinator.decideAlone(request);
	}

	function recordDenial(endpoint: EndpointId, rank: number, wait: Milliseconds): void {
		const byRank = exhausted.get(endpoint) ?? new Map<number, Milliseconds>();
		byRank.set(rank, as<Milliseconds>(clock.now() + Math.max(minimumWaitMs, wait)));
		exhausted.set(endpoint, byRank);
	}

	return {
		wait(endpoint, rank) {
			const now = clock.now();
			let wait = 0;
			for (const [deniedRank, until] of exhausted.get(endpoint) ?? []) {
				if (deniedRank <= rank) {
					wait = Math.max(wait, until - now);
				}
			}

			return as<Milliseconds>(wait);
		},
		async acquire({id, dataCentre}: ListedEndpoint, {limit, at}: RateLimitStatement, rank: number): Promise<Permit> {
			if (limit.kind === 'none') {
				return {kind: 'granted'};
			}

			const outcome = await decide({
				endpoint: id, dataCentre, rank, rate: limit.rate, age: as<Milliseconds>(clock.now() - at),
			});
			switch (outcome.kind) {
				case 'granted': {
					return outcome;
				}

				case 'unlimited': {
					options.recordRateLimit(id, {limit: noRateLimit, at: as<Milliseconds>(clock.now() - outcome.age)});
					return {kind: 'granted'};
				}

				case 'denied': {
					recordDenial(id, rank, outcome.wait);
					return outcome;
				}
			}
		},
	};
}
