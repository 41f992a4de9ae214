/**
Paths of a relaying instance to its endpoints, and the tunnels that it opens for others.
*/
import {type Clock, type Random} from '../contracts/clock.js';
import {directPath, type TunnelPolicy} from '../contracts/endpoint-path.js';
import {type DataCentreId, splitAddress} from '../contracts/id.js';
import {type RelayLink} from '../contracts/relay-attempt.js';
import {type RelayDigest} from '../contracts/relay-digest.js';
import {createEndpointPaths, type EndpointPathsEvent, type SharedEndpointPaths} from '../zones/endpoint-paths/endpoint-paths.js';
import {type Member} from '../zones/membership.js';
import {type RelayFleet} from './relay-fleet.js';

export type RelayPathsOptions = {
	readonly dataCentre: DataCentreId;
	/** The other members that are not dead. */
	readonly others: () => readonly Member[];
	readonly ask: (member: Member) => Promise<RelayDigest | undefined>;
	readonly fleet: RelayFleet;
	readonly link: Pick<RelayLink, 'canConnect'>;
	readonly clock: Clock;
	readonly random: Random;
	readonly onEvent: (event: EndpointPathsEvent) => void;
};

export type RelayPaths = {readonly paths: SharedEndpointPaths; readonly tunnels: TunnelPolicy};

/** Creates the paths of an instance that is taken to reach endpoints. */
export function createRelayPaths(options: RelayPathsOptions): RelayPaths {
	const {fleet, others} = options;
	const paths = createEndpointPaths({
		...options,
		endpoints: () => fleet.endpoints().filter(endpoint => !endpoint.isLeaving()).map(endpoint => endpoint.listed()),
		onEvent(event) {
			if (event.kind === 'cut-off') {
				fleet.forgetFailures();
			}

			options.onEvent(event);
		},
	});
	return {
		paths,
		tunnels: {
			isPeer: host => others().some(member => splitAddress(member.address).host === host),
			isEndpoint: target => fleet.endpoints().some(endpoint => endpoint.listed().address === target),
			isCutOff: async () => paths.isAtFault(directPath, false),
		},
	};
}
