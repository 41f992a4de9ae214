/**
Load reports: each instance sends its requests in flight per endpoint to the others of its data centre, because
they use the same endpoints and have no other way to see each other's requests. Reports also carry what
endpoints have said: their rate limits, and that they leave. One instance of each data centre
sends the total to the other data centres.
*/
import {type Clock} from '../contracts/clock.js';
import {as, type EndpointId, type Milliseconds} from '../contracts/id.js';
import {type RateLimitStatement} from '../contracts/rate-limit.js';
import {type Member} from '../zones/membership.js';
import {isOwner} from '../zones/ownership.js';
import {type EndpointLoad, type RelayMessage, type RelayPeers} from '../zones/relay-peers.js';
import {type RelayEndpoint} from './relay-endpoint.js';
import {type RelayFleet} from './relay-fleet.js';

/** Interval between two reports; most requests last as long or longer. */
const reportIntervalMs = 500;

/** Maximum number of peers that one report is sent to, so that its cost does not grow with the data centre. */
const maximumPeers = 8;

/** Time for which the end of a rate limit is reported, so that every peer receives it. */
const endedLimitReportMs = 3000;

/** Maximum number of endpoints in one report, which has to fit into a datagram. */
const maximumEndpoints = 24;

/** Share of failed responses below which it is not reported. */
const minimumReportedShare = 0.05;

export type LoadReports = {
	readonly receive: (message: Extract<RelayMessage, {kind: 'loads'}>) => void;
	/** Tells all instances at once that an endpoint breaks off responses. */
	readonly announceFailing: (endpoint: RelayEndpoint) => void;
	readonly run: (signal: AbortSignal) => Promise<void>;
};

export type LoadReportsOptions = {
	readonly self: () => Member;
	readonly others: () => readonly Member[];
	readonly peers: Pick<RelayPeers, 'post'>;
	readonly fleet: RelayFleet;
	readonly recordLeaving: (endpoint: EndpointId, bornAt: Milliseconds | undefined) => void;
	readonly recordRateLimit: (endpoint: EndpointId, statement: RateLimitStatement) => void;
	readonly clock: Clock;
};

function hasNotice(load: EndpointLoad): boolean {
	return load.leaving !== undefined || load.rateLimit !== undefined;
}

/** Creates the load reports of an instance. */
export function createLoadReports(options: LoadReportsOptions): LoadReports {
	const {fleet, clock} = options;
	let turn = 0;
	let wasBusy = false;

	/** The endpoint's rate limit if it has one, or had one until recently. */
	function reportedLimit(endpoint: RelayEndpoint, now: Milliseconds): EndpointLoad['rateLimit'] {
		const {limit, at} = endpoint.rateLimit();
		const age = as<Milliseconds>(Math.round(now - at));
		const endedAt = endpoint.rateLimitEndedAt();
		const isEnded = limit.kind === 'none' && endedAt !== undefined && now - endedAt < endedLimitReportMs;
		return limit.kind === 'limited' || isEnded ? {limit, age} : undefined;
	}

	/** The share of failed responses, if it is worth a report. */
	function reportedShare(endpoint: RelayEndpoint, now: Milliseconds): number | undefined {
		const share = endpoint.availability.failureShare(now);
		return share > minimumReportedShare ? Number(share.toFixed(2)) : undefined;
	}

	function composeLoads(loadOf: (endpoint: RelayEndpoint) => number): readonly EndpointLoad[] {
		const now = clock.now();
		return fleet.endpoints()
			.map(endpoint => ({
				id: endpoint.listed().id,
				inFlight: loadOf(endpoint),
				pace: endpoint.recentLatency(now),
				rateLimit: reportedLimit(endpoint, now),
				failureShare: reportedShare(endpoint, now),
				leaving: endpoint.hasSaidLeaving() ? {bornAt: endpoint.listed().bornAt} : undefined,
			}))
			.filter(load => load.inFlight > 0 || load.pace !== undefined || hasNotice(load))
			.toSorted((left, right) => Number(hasNotice(right)) - Number(hasNotice(left)) || right.inFlight - left.inFlight)
			.slice(0, maximumEndpoints)
			.map(load => ({...load, pace: load.pace === undefined ? undefined : Math.round(load.pace)}));
	}

	function recordAvailability({id, isFailing, failureShare}: EndpointLoad, now: Milliseconds): void {
		const availability = fleet.endpoint(id)?.availability;
		if (isFailing) {
			availability?.recordPeerFailure(now);
		}

		if (failureShare !== undefined) {
			availability?.recordPeerShare(failureShare, now);
		}
	}

	function sendToDataCentre(): void {
		const loads = composeLoads(endpoint => endpoint.inFlight());
		if (loads.length > 0 || wasBusy) {
			for (const member of recipients()) {
				options.peers.post(member.address, {kind: 'loads', from: {kind: 'instance', name: options.self().id}, loads});
			}
		}

		wasBusy = loads.length > 0;
	}

	/** Sends the total of this data centre to the others, if this instance is responsible for it. */
	function sendToOtherDataCentres(): void {
		const self = options.self();
		if (!isOwner(self, 'loads', [self, ...options.others()])) {
			return;
		}

		const now = clock.now();
		const loads = composeLoads(endpoint => endpoint.dataCentreLoad(now)).filter(load => load.inFlight > 0 || hasNotice(load));
		for (const member of options.others()) {
			if (loads.length > 0 && member.dataCentre !== self.dataCentre) {
				options.peers.post(member.address, {kind: 'loads', from: {kind: 'data-centre', name: self.dataCentre}, loads});
			}
		}
	}

	function recipients(): readonly Member[] {
		const self = options.self();
		const local = options.others().filter(member => member.dataCentre === self.dataCentre);
		if (local.length <= maximumPeers) {
			return local;
		}

		turn += maximumPeers;
		return Array.from({length: maximumPeers}, (_, index) => local[(turn + index) % local.length]).filter(member => member !== undefined);
	}

	return {
		announceFailing(endpoint) {
			const load = {
				id: endpoint.listed().id, inFlight: endpoint.inFlight(), pace: undefined, isFailing: true,
			};
			for (const member of options.others()) {
				options.peers.post(member.address, {kind: 'loads', from: {kind: 'instance', name: options.self().id}, loads: [load]});
			}
		},
		receive(message) {
			for (const load of message.loads) {
				const now = clock.now();
				fleet.recordPeerLoad(message.from, load, now);
				recordAvailability(load, now);
				if (load.leaving) {
					options.recordLeaving(load.id, load.leaving.bornAt);
				}

				if (load.rateLimit) {
					options.recordRateLimit(load.id, {limit: load.rateLimit.limit, at: as<Milliseconds>(now - load.rateLimit.age)});
				}
			}
		},
		async run(signal) {
			while (!signal.aborted) {
				await clock.sleep(as<Milliseconds>(reportIntervalMs), signal);
				sendToDataCentre();
				sendToOtherDataCentres();
			}
		},
	};
}
