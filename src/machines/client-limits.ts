/**
Limits for the clients of a process, from the memory and the descriptors of its machine. Without these the limits are so high that
only memory is bounded.
*/
import {type ClientLimits, type MachineResources} from '../contracts/client-limits.js';
import {as, type Bytes, type Milliseconds} from '../contracts/id.js';

/** Memory of a process with its libraries, before it serves anyone. */
const processBytes = 83_000_000;

/** Part of the remaining memory for requests. The rest is for responses, connections, and what is not collected yet. */
const requestShare = 1 / 8;

/** Memory for requests on a machine of unknown size, and at the most; more than a process has in use at once. */
const maximumRequestBytes = 64 * 1024 * 1024;

/** Descriptors of listeners, the store, files, and the libraries. */
const ownDescriptors = 32;

/** Parts of the other descriptors: for connections of callers, for those of requests to endpoints, and for peers. The rest is for idle connections to endpoints. */
const callerShare = 0.5;
const requestDescriptorShare = 0.3;
const peerShare = 0.1;

/** Part of the connections that may have an incomplete head, which takes up to 48 KB. */
const headShare = 0.5;

/** Node.js accepts 511 connections at once, so callers that connect together meet no smaller limit; but a part is left to others. */
const leastHeads = 512;
const largestHeadShare = 0.75;

/** Callers that send requests ahead of the responses send a few. */
const pipelinedRequests = 64;

/** A response without a length ends with its connection, so no request behind it may be running. */
const servedPerConnection = 1;

/** Peers wait for each response. */
const pipelinedPeerRequests = 4;

/** Longer than the routes' timeouts, which callers do not exceed in sending. */
const bodyTimeMs = 60_000;

/** Limits that the settings may replace; those that are undefined follow from the machine. */
export type ClientLimitSettings = {readonly [Name in Exclude<keyof ClientLimits, 'servedPerConnection'>]: ClientLimits[Name] | undefined};

function shareOf(descriptors: number | undefined, share: number): number {
	return descriptors === undefined ? Infinity : Math.max(1, Math.floor((descriptors - ownDescriptors) * share));
}

function requestBytesOf(memory: Bytes | undefined): Bytes {
	return as<Bytes>(memory === undefined ? maximumRequestBytes : Math.min(maximumRequestBytes, Math.max(0, (memory - processBytes) * requestShare)));
}

function headsOf(connections: number): number {
	return Math.max(1, Math.floor(Math.max(connections * headShare, Math.min(leastHeads, connections * largestHeadShare))));
}

/** Limits of the listener for callers. */
export function callerLimits(machine: MachineResources, settings?: ClientLimitSettings): ClientLimits {
	const connections = settings?.connections ?? shareOf(machine.descriptors, callerShare);
	return {
		connections,
		incompleteHeads: settings?.incompleteHeads ?? headsOf(connections),
		requests: settings?.requests ?? shareOf(machine.descriptors, requestDescriptorShare),
		pipelinedRequests: settings?.pipelinedRequests ?? pipelinedRequests,
		servedPerConnection,
		requestBytes: settings?.requestBytes ?? requestBytesOf(machine.memory),
		bodyTime: settings?.bodyTime ?? as<Milliseconds>(bodyTimeMs),
	};
}

/** Limits of the listener for peers, whose requests have no bodies and are answered one after the other. */
export function peerLimits(machine: MachineResources, maximumConnections?: number): ClientLimits {
	const connections = maximumConnections ?? shareOf(machine.descriptors, peerShare);
	return {
		...callerLimits(machine), connections, incompleteHeads: headsOf(connections), requests: Infinity, pipelinedRequests: pipelinedPeerRequests,
	};
}
