/**
Quarantine of requests that crash the endpoints they run on. A request is identified by the fingerprint of its
content, so that it is recognised when its caller sends it again under another key.
*/
import {type EndpointId, type Milliseconds} from '../contracts/id.js';

/** Number of endpoints, or of their incarnations, that a request must have crashed before it is refused. */
export const crashesBeforeQuarantine = 2;

const quarantineMs = 600_000;

export type Crash = {
	readonly fingerprint: string;
	readonly endpoint: EndpointId;
	/** Start of the endpoint's incarnation, if it is known: one that starts again under its id can be crashed again. */
	readonly bornAt?: Milliseconds | undefined;
};

/** Identifies a crash of one incarnation by one request. */
export function crashKey({fingerprint, endpoint, bornAt}: Crash): string {
	return `${fingerprint}|${endpoint}|${bornAt ?? ''}`;
}

export type Quarantine = {
	/** Records a crash that was observed by this instance or reported by a peer. Returns whether it was not yet recorded. */
	readonly record: (crash: Crash, now: Milliseconds) => boolean;
	/** Removes a request that was answered, and so is not what crashed the endpoints. */
	readonly clear: (fingerprint: string) => void;
	readonly isBlocked: (fingerprint: string, now: Milliseconds) => boolean;
	readonly crashes: () => readonly Crash[];
};

/** Creates an empty quarantine. Entries expire ten minutes after the last crash. */
export function createQuarantine(): Quarantine {
	const suspects = new Map<string, {readonly crashes: Map<string, Crash>; lastCrashAt: Milliseconds}>();

	function expire(now: Milliseconds): void {
		for (const [fingerprint, suspect] of suspects) {
			if (now - suspect.lastCrashAt > quarantineMs) {
				suspects.delete(fingerprint);
			}
		}
	}

	return {
		record(crash, now) {
			expire(now);
			const suspect = suspects.get(crash.fingerprint) ?? {crashes: new Map<string, Crash>(), lastCrashAt: now};
			suspects.set(crash.fingerprint, suspect);
			const isNew = !suspect.crashes.has(crashKey(crash));
			suspect.crashes.set(crashKey(crash), crash);
			suspect.lastCrashAt = isNew ? now : suspect.lastCrashAt;
			return isNew;
		},
		clear(fingerprint) {
			suspects.delete(fingerprint);
		},
		isBlocked(fingerprint, now) {
			expire(now);
			return (suspects.get(fingerprint)?.crashes.size ?? 0) >= crashesBeforeQuarantine;
		},
		crashes: () => [...suspects.values()].flatMap(suspect => [...suspect.crashes.values()]),
	};
}
