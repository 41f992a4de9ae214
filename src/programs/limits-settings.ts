/**
Section `[limits]` of the settings: what the machine allows the process, and limits on clients that replace those derived from it.
*/
import {z} from 'zod';
import {type ClientLimits, type MachineResources} from '../contracts/client-limits.js';
import {as, type Bytes, type Milliseconds} from '../contracts/id.js';
import {callerLimits, type ClientLimitSettings, peerLimits} from '../machines/client-limits.js';

const megabyte = 1_000_000;
const maximumMegabytes = 1_000_000;

const count = z.number().int().positive().max(1_000_000);
const megabytes = z.number().positive().max(maximumMegabytes);

/** The section; every key is optional. */
export const limitsField = z.strictObject({
	memoryMb: megabytes.optional(),
	descriptors: count.optional(),
	connections: count.optional(),
	incompleteHeads: count.optional(),
	requests: count.optional(),
	pipelinedRequests: count.optional(),
	requestMb: megabytes.optional(),
	bodyTimeMs: z.number().int().positive().max(3_600_000).optional(),
	peerConnections: count.optional(),
}).prefault({});

/** Limits of the process's listeners. */
export type ListenerLimits = {readonly callers: ClientLimits; readonly peers: ClientLimits};

const bytesOf = (megabytes: number | undefined) => megabytes === undefined ? undefined : as<Bytes>(megabytes * megabyte);

/** Limits that follow from the settings. */
export function toListenerLimits(parsed: z.output<typeof limitsField>): ListenerLimits {
	const machine: MachineResources = {memory: bytesOf(parsed.memoryMb), descriptors: parsed.descriptors};
	const {connections, incompleteHeads, requests, pipelinedRequests, bodyTimeMs} = parsed;
	const settings: ClientLimitSettings = {
		connections, incompleteHeads, requests, pipelinedRequests, requestBytes: bytesOf(parsed.requestMb), bodyTime: bodyTimeMs === undefined ? undefined : as<Milliseconds>(bodyTimeMs),
	};
	return {callers: callerLimits(machine, settings), peers: peerLimits(machine, parsed.peerConnections)};
}
