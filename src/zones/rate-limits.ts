/**
Rate limits of endpoints on one instance: records what endpoints state and what peers report, grants permits as a
coordinator, and acquires permits for the instance's own requests.
*/
import {type Clock} from '../contracts/clock.js';
import {type EndpointId, type InstanceId} from '../contracts/id.js';
import {type RateLimit, type RateLimitStatement} from '../contracts/rate-limit.js';
import {type RatePermits} from '../machines/rate-permits.js';
import {type RelayFleet} from '../machines/relay-fleet.js';
import {type Member} from './membership.js';
import {createPermitCoordinator} from './permit-coordinator.js';
import {type RelayMessage, type RelayPeers, type RelayReply} from './relay-peers.js';
import {createRequestPermits} from './request-permits.js';

export type RateLimitEvent
	/** A peer reported another rate limit of an endpoint. */
	= | {readonly kind: 'rate-limit-reported'; readonly endpoint: EndpointId; readonly limit: RateLimit}
	/** An instance did not answer a request for a permit. */
		| {readonly kind: 'permit-unanswered'; readonly endpoint: EndpointId; readonly coordinator: InstanceId};

export type RateLimitsOptions = {
	readonly self: () => Member;
	readonly members: () => readonly Member[];
	readonly peers: Pick<RelayPeers, 'request'>;
	readonly fleet: RelayFleet;
	readonly clock: Clock;
	readonly onEvent: (event: RateLimitEvent) => void;
};

export type RateLimits = {
	readonly permits: RatePermits;
	/** Answers an instance that asks for a permit. */
	readonly answer: (message: Extract<RelayMessage, {kind: 'permit'}>) => RelayReply;
	/** Records a rate limit that a peer knows. */
	readonly record: (endpoint: EndpointId, statement: RateLimitStatement) => void;
};

/** Creates the rate limits of an instance. */
export function createRateLimits(options: RateLimitsOptions): RateLimits {
	const {fleet} = options;

	function record(endpoint: EndpointId, statement: RateLimitStatement): void {
		if (fleet.endpoint(endpoint)?.recordRateLimit(statement)) {
			options.onEvent({kind: 'rate-limit-reported', endpoint, limit: statement.limit});
		}
	}

	const coordinator = createPermitCoordinator({
		self: options.self,
		members: options.members,
		rateLimitOf: endpoint => fleet.endpoint(endpoint)?.rateLimit(),
		recordRateLimit: record,
		clock: options.clock,
	});
	return {
		permits: createRequestPermits({
			...options, coordinator, recordRateLimit: record, onUnanswered(endpoint, unanswered) {
				options.onEvent({kind: 'permit-unanswered', endpoint, coordinator: unanswered});
			},
		}),
		answer: message => ({kind: 'permit', outcome: coordinator.decide(message.permit, message.isCoordinatorUnreachable)}),
		record,
	};
}
