/**
What clients did that a listener refuses or gives up, for logs and metrics.
*/
import {type Bytes, type Milliseconds} from '../contracts/id.js';
import {type GivenUp} from './held-requests.js';
import {type ConnectionPhase} from './open-connections.js';

/** Listener that the client is connected to. */
export type ListenerName = 'callers' | 'peers';

export type ClientProblem
	/** The request is not valid. */
	= | {readonly kind: 'malformed'; readonly reason: string}
	/** The client left before its request was complete. */
		| {readonly kind: 'aborted'; readonly reason: string}
	/** The body is longer than a request's may be; `announced` is its length if the head says it. */
		| {readonly kind: 'too-large'; readonly limit: number; readonly announced: number | undefined}
	/** A request was given up, because all together hold too much memory. */
		| {readonly kind: 'memory'; readonly bytes: number; readonly limit: Bytes; readonly isBodyComplete: boolean}
	/** A request was given up, because there are too many. */
		| {readonly kind: 'requests'; readonly limit: number}
		| {readonly kind: 'body-time'; readonly limit: Milliseconds; readonly received: number}
	/** A connection was closed, because there are too many. */
		| {readonly kind: 'connections'; readonly limit: number; readonly phase: ConnectionPhase}
	/** A connection was closed, because too many have an incomplete head. */
		| {readonly kind: 'incomplete-heads'; readonly limit: number}
	/** A connection was closed, because it has too many requests at once. */
		| {readonly kind: 'pipelined'; readonly limit: number};

export type ClientEvent = {readonly kind: 'client'; readonly listener: ListenerName; readonly problem: ClientProblem};

/** The problem of a request that was given up for others. */
export function problemOf({kind, bytes, isBodyComplete}: GivenUp, limits: {readonly requests: number; readonly bytes: Bytes}): ClientProblem {
	switch (kind) {
		case 'memory': {
			return {
				kind, bytes, limit: limits.bytes, isBodyComplete,
			};
		}

		case 'requests': {
			return {kind, limit: limits.requests};
		}
	}
}
