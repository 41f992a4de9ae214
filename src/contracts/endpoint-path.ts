/**
Paths from an instance to an endpoint: directly, or through a tunnel at another instance, the gateway, which passes the bytes of
the connection on and does not read them.
*/
import {type Address} from './id.js';

export type EndpointPath
	= | {readonly kind: 'direct'}
		| {readonly kind: 'tunnel'; readonly gateway: Address};

export const directPath: EndpointPath = {kind: 'direct'};

/** For whom, and to where, an instance opens tunnels. */
export type TunnelPolicy = {
	/** Whether a host is that of another instance. */
	readonly isPeer: (host: string) => boolean;
	/** Whether an address is that of an endpoint. */
	readonly isEndpoint: (address: Address) => boolean;
	/** Whether this instance itself reaches no endpoint, checked after a connection has failed. */
	readonly isCutOff: () => Promise<boolean>;
};
