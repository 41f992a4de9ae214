/**
Quarantine of requests that crash the endpoints they run on. A request is known by the fingerprint
of its content, so that it is recognised when its caller sends it again under another key.
*/
import {type EndpointId, type Milliseconds} from '../contracts/id.js';

/** Endpoints that a request must have crashed before it is refused. */
export const crashesBeforeQuarantine = 2;

const quarantineMs = 600_000;

export type Crash = {readonly fingerprint: string; readonly endpoint: EndpointId};

export type Quarantine = {
	/** Records a crash, seen here or reported by a peer. Returns whether it was news. */
	readonly record: (crash: Crash, now: Milliseconds) => boolean;
	/** A request that was answered is not what crashed the endpoints. */
	readonly clear: (fingerprint: string) => void;
	readonly isBlocked: (fingerprint: string, now: Milliseconds) => boolean;
	readonly crashes: () => readonly Crash[];
};

/** Creates an empty quarantine. Entries lapse ten minutes after the last crash. */
export function createQuarantine(): Quarantine {
	const suspects = new Map<string, {readonly endpoints: Set<EndpointId>; last: Milliseconds}>();

	function expire(now: Milliseconds): void {
		for (const [fingerprint, suspect] of suspects) {
			if (now - suspect.last > quarantineMs) {
				suspects.delete(fingerprint);
			}
		}
	}

	return {
		record(crash, now) {
			expire(now);
			const suspect = suspects.get(crash.fingerprint) ?? {endpoints: new Set<EndpointId>(), last: now};
			suspects.set(crash.fingerprint, suspect);
			const isNews = !suspect.endpoints.has(crash.endpoint);
			suspect.endpoints.add(crash.endpoint);
			suspect.last = isNews ? now : suspect.last;
			return isNews;
		},
		clear(fingerprint) {
			suspects.delete(fingerprint);
		},
		isBlocked(fingerprint, now) {
			expire(now);
			return (suspects.get(fingerprint)?.endpoints.size ?? 0) >= crashesBeforeQuarantine;
		},
		crashes: () => [...suspects].flatMap(([fingerprint, suspect]) => [...suspect.endpoints].map(endpoint => ({fingerprint, endpoint}))),
	};
}
