/**
Load reports: each instance tells the others of its data centre what it has in flight at endpoints, because
they use the same ones and see each other's requests only this way. One instance of each data centre tells
the other data centres the sum.
*/
import {type Clock} from '../contracts/clock.js';
import {as, type Milliseconds} from '../contracts/id.js';
import {type Member} from '../zones/membership.js';
import {isOwner} from '../zones/ownership.js';
import {type EndpointLoad, type RelayMessage, type RelayPeers} from '../zones/relay-peers.js';
import {type RelayEndpoint} from './relay-endpoint.js';
import {type RelayFleet} from './relay-fleet.js';

/** Time between two reports; most requests last as long or longer. */
const reportMs = 500;

/** Peers that one report goes to, so that its cost does not grow with the data centre. */
const mostPeers = 8;

/** Endpoints in one report, which has to fit into a datagram. */
const mostEndpoints = 24;

export type LoadReports = {
	readonly receive: (message: Extract<RelayMessage, {kind: 'loads'}>) => void;
	readonly run: (signal: AbortSignal) => Promise<void>;
};

export type LoadReportsOptions = {
	readonly self: () => Member;
	readonly others: () => readonly Member[];
	readonly peers: Pick<RelayPeers, 'post'>;
	readonly fleet: RelayFleet;
	readonly clock: Clock;
};

/** Creates the reports of an instance. */
export function createLoadReports(options: LoadReportsOptions): LoadReports {
	const {fleet, clock} = options;
	let turn = 0;
	let wasBusy = false;

	function compose(loadOf: (endpoint: RelayEndpoint) => number): readonly EndpointLoad[] {
		const now = clock.now();
		return fleet.endpoints()
			.map(endpoint => ({id: endpoint.listed().id, inFlight: loadOf(endpoint), pace: endpoint.recentLatency(now)}))
			.filter(load => load.inFlight > 0 || load.pace !== undefined)
			.toSorted((left, right) => right.inFlight - left.inFlight)
			.slice(0, mostEndpoints)
			.map(load => ({...load, pace: load.pace === undefined ? undefined : Math.round(load.pace)}));
	}

	function tellDataCentre(): void {
		const loads = compose(endpoint => endpoint.inFlight());
		if (loads.length > 0 || wasBusy) {
			for (const member of targets()) {
				options.peers.post(member.address, {kind: 'loads', from: {kind: 'instance', name: options.self().id}, loads});
			}
		}

		wasBusy = loads.length > 0;
	}

	/** Tells the other data centres what this one has in flight, if it falls to this instance. */
	function tellOthers(): void {
		const self = options.self();
		if (!isOwner(self, 'loads', [self, ...options.others()])) {
			return;
		}

		const now = clock.now();
		const loads = compose(endpoint => endpoint.dataCentreLoad(now)).filter(load => load.inFlight > 0);
		for (const member of options.others()) {
			if (loads.length > 0 && member.dataCentre !== self.dataCentre) {
				options.peers.post(member.address, {kind: 'loads', from: {kind: 'data-centre', name: self.dataCentre}, loads});
			}
		}
	}

	function targets(): readonly Member[] {
		const self = options.self();
		const local = options.others().filter(member => member.dataCentre === self.dataCentre);
		if (local.length <= mostPeers) {
			return local;
		}

		turn += mostPeers;
		return Array.from({length: mostPeers}, (_, index) => local[(turn + index) % local.length]).filter(member => member !== undefined);
	}

	return {
		receive(message) {
			for (const load of message.loads) {
				fleet.recordPeerLoad(message.from, load, clock.now());
			}
		},
		async run(signal) {
			while (!signal.aborted) {
				await clock.sleep(as<Milliseconds>(reportMs), signal);
				tellDataCentre();
				tellOthers();
			}
		},
	};
}
