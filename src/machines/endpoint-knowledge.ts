/**
What an instance shares with the others about endpoints: their rate limits, and the load reports, which also say that an
endpoint leaves or fails.
*/
import {type Clock} from '../contracts/clock.js';
import {type Member} from '../zones/membership.js';
import {createRateLimits, type RateLimits} from '../zones/rate-limits.js';
import {type RelayPeers} from '../zones/relay-peers.js';
import {createLoadReports, type LoadReports} from './load-reports.js';
import {type RelayFleet} from './relay-fleet.js';
import {type RelayInstanceEvent} from './relay-instance-event.js';

export type EndpointKnowledge = {readonly rateLimits: RateLimits; readonly loads: LoadReports};

export type EndpointKnowledgeOptions = {
	readonly self: () => Member;
	readonly members: () => readonly Member[];
	/** Members but this one that are not dead. */
	readonly others: () => readonly Member[];
	readonly peers: Pick<RelayPeers, 'request' | 'post'>;
	readonly fleet: RelayFleet;
	readonly clock: Clock;
	readonly onEvent: (event: RelayInstanceEvent) => void;
};

/** Creates what an instance shares about endpoints. */
export function createEndpointKnowledge(options: EndpointKnowledgeOptions): EndpointKnowledge {
	const {fleet, clock, onEvent} = options;
	const rateLimits = createRateLimits(options);
	const loads = createLoadReports({
		...options,
		recordRateLimit: rateLimits.record,
		recordLeaving(endpoint, bornAt) {
			if (fleet.recordLeaving(endpoint, bornAt, clock.now())) {
				onEvent({kind: 'leaving-reported', endpoint});
			}
		},
	});
	return {rateLimits, loads};
}
