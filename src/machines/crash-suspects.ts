/**
Requests that may have crashed the endpoint that had them. A connection that breaks does not tell whether its endpoint
crashed, and a request that may run once has no second attempt that would find out. So the request stays suspected for a
while, until anything shows that the incarnation of the endpoint has ended: another request that cannot reach it, or the
list. An answer of the endpoint clears it.

An endpoint that crashes breaks all requests that it had. Those whose content has been answered lately are not what
crashed it.
*/
import {type AttemptId, type EndpointId, type Milliseconds} from '../contracts/id.js';
import {type ListedEndpoint} from '../contracts/relay.js';
import {type Crash} from './quarantine.js';

/** Time within which the end of an endpoint counts as the cause of an earlier broken connection; the list drops an endpoint that crashed within seconds. */
const suspicionMs = 10_000;

/** Time for which it is remembered that a content was answered, and the maximum number of contents. */
const answeredMs = 60_000;
const maximumAnswered = 2048;

/** Maximum number of requests suspected at one endpoint. */
const maximumSuspects = 64;

export type CrashSuspects = {
	/** Records that the connection to an endpoint broke while it had a request. */
	readonly recordBroken: (endpoint: ListedEndpoint, request: {readonly attempt: AttemptId; readonly fingerprint: string}, now: Milliseconds) => void;
	/** Records that an endpoint answered a request that was sent at a time. */
	readonly recordAnswer: (endpoint: EndpointId, sentAt: Milliseconds) => void;
	/** Records that a request was answered as a whole. */
	readonly recordAnswered: (fingerprint: string, now: Milliseconds) => void;
	/** Returns the requests that may have crashed an endpoint which has ended. */
	readonly takeFor: (endpoint: EndpointId, now: Milliseconds) => readonly Suspect[];
};

export type Suspect = {readonly attempt: AttemptId; readonly crash: Crash; readonly at: Milliseconds};

/** Creates an empty set. */
export function createCrashSuspects(): CrashSuspects {
	const byEndpoint = new Map<EndpointId, readonly Suspect[]>();
	const answeredAt = new Map<string, Milliseconds>();

	function wasAnswered(fingerprint: string, now: Milliseconds): boolean {
		const at = answeredAt.get(fingerprint);
		return at !== undefined && now - at < answeredMs;
	}

	/** Drops what is too old to be blamed. */
	function expire(now: Milliseconds): void {
		for (const [endpoint, suspects] of byEndpoint) {
			if (suspects.every(({at}) => now - at > suspicionMs)) {
				byEndpoint.delete(endpoint);
			}
		}
	}

	return {
		recordBroken({id, bornAt}, {attempt, fingerprint}, now) {
			expire(now);
			if (!wasAnswered(fingerprint, now)) {
				const suspect = {attempt, crash: {fingerprint, endpoint: id, bornAt}, at: now};
				byEndpoint.set(id, [...(byEndpoint.get(id) ?? []), suspect].slice(-maximumSuspects));
			}
		},
		recordAnswer(endpoint, sentAt) {
			const remaining = byEndpoint.get(endpoint)?.filter(({at}) => at >= sentAt) ?? [];
			if (remaining.length > 0) {
				byEndpoint.set(endpoint, remaining);
			} else {
				byEndpoint.delete(endpoint);
			}
		},
		recordAnswered(fingerprint, now) {
			answeredAt.delete(fingerprint);
			answeredAt.set(fingerprint, now);
			const [oldest] = answeredAt.keys();
			if (answeredAt.size > maximumAnswered && oldest !== undefined) {
				answeredAt.delete(oldest);
			}
		},
		takeFor(endpoint, now) {
			const suspects = byEndpoint.get(endpoint) ?? [];
			byEndpoint.delete(endpoint);
			return suspects.filter(({crash, at}) => now - at <= suspicionMs && !wasAnswered(crash.fingerprint, now));
		},
	};
}
