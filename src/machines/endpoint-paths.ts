/**
What the relay needs to know of the paths to endpoints.
*/
import {type EndpointPath} from '../contracts/endpoint-path.js';
import {type ListedEndpoint} from '../contracts/relay.js';

/** Follows an attempt until it has ended. */
export type TrackedAttempt = {
	/** Records that the endpoint has sent something. */
	readonly recordHeard: () => void;
	readonly end: () => void;
};

export type EndpointPaths = {
	/** Path for the next attempt at the endpoint; undefined if no instance is known that reaches endpoints, this one included. */
	readonly pathTo: (endpoint: ListedEndpoint) => Promise<EndpointPath | undefined>;
	/** Tracks an attempt. `onLost` is called if the instance finds that its path has stopped responding. */
	readonly track: (endpoint: ListedEndpoint, path: EndpointPath, onLost: () => void) => TrackedAttempt;
	/**
	Whether the path is at fault, and not the endpoint, after a connection could not be opened over it. `isGatewayBlamed` tells that
	a gateway has not tried to connect to the endpoint.
	*/
	readonly isAtFault: (path: EndpointPath, isGatewayBlamed: boolean) => Promise<boolean>;
	/** Whether this instance itself reaches no endpoint. */
	readonly isCutOff: () => boolean;
};
