/**
Limits on what all clients of one listener hold together. The limits of a single request are those of the configuration.
*/
import {type Bytes, type Milliseconds} from './id.js';

/** What the machine of a process allows it; undefined where the settings do not say. */
export type MachineResources = {
	readonly memory: Bytes | undefined;
	readonly descriptors: number | undefined;
};

export type ClientLimits = {
	/** Open connections. */
	readonly connections: number;
	/** Connections on which the head of the first request is incomplete. */
	readonly incompleteHeads: number;
	/** Requests that have begun and have not ended. */
	readonly requests: number;
	/** Requests that have begun and have not ended on one connection. */
	readonly pipelinedRequests: number;
	/** Requests of one connection that are served at a time; further ones wait. */
	readonly servedPerConnection: number;
	/** Memory of all requests, from their head until they have ended. */
	readonly requestBytes: Bytes;
	/** Longest time for the body of a request, whatever the request says. */
	readonly bodyTime: Milliseconds;
};
