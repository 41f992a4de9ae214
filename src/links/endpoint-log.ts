/**
Log lines of what an instance believes of endpoints beside its requests: the path to them, and what other instances said.
*/
import {type RateLimit} from '../contracts/rate-limit.js';
import {type RelayInstanceEvent} from '../machines/relay-instance-event.js';
import {type EndpointPathsEvent} from '../zones/endpoint-paths/endpoint-paths.js';
import {type Log} from './log.js';

/** Describes a rate limit in words. */
export function describeLimit(limit: RateLimit): string {
	return limit.kind === 'limited' ? `${limit.rate} requests per second` : 'none';
}

/** Logs what this instance concludes about its path to endpoints. */
export function logPath(log: Log, event: EndpointPathsEvent): void {
	switch (event.kind) {
		case 'cut-off': {
			log.warn({event: 'cut-off', sampled: event.sampled, gateways: event.gateways}, `no connection to any of ${event.sampled} endpoints; requests go through ${event.gateways} gateways`);
			return;
		}

		case 'restored': {
			log.warn({event: 'restored', sampled: event.sampled}, `connections to all of ${event.sampled} endpoints; requests go to them directly again`);
		}
	}
}

/** Logs what other instances said, or did not say, about an endpoint. */
export function logPeerReport(log: Log, event: Extract<RelayInstanceEvent, {kind: 'leaving-reported' | 'rate-limit-reported' | 'permit-unanswered'}>): void {
	switch (event.kind) {
		case 'leaving-reported': {
			log.info({event: 'leaving', endpoint: event.endpoint, source: 'peer'}, `a peer reported that ${event.endpoint} leaves`);
			return;
		}

		case 'rate-limit-reported': {
			const {endpoint, limit} = event;
			log.info({
				event: 'rate-limit', endpoint, ...(limit.kind === 'limited' && {limit: limit.rate}), source: 'peer',
			}, `rate limit of ${endpoint} is now ${describeLimit(limit)}, as reported by a peer`);
			return;
		}

		case 'permit-unanswered': {
			log.warn({
				event: 'permit-unanswered', endpoint: event.endpoint, coordinator: event.coordinator,
			}, `${event.coordinator} did not answer a request for a permit for ${event.endpoint}`);
		}
	}
}
