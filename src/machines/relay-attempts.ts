/**
Attempts of relayed requests at endpoints: sends a request to the chosen endpoint, and records what its result and its
response tell about the endpoint.
*/
import {type Clock} from '../contracts/clock.js';
import {type EndpointPath} from '../contracts/endpoint-path.js';
import {as, type EndpointId, type Milliseconds} from '../contracts/id.js';
import {type EndpointNotice} from '../contracts/endpoint-notice.js';
import {type RelayAttempt, type RelayLink, type RelayResult} from '../contracts/relay-attempt.js';
import {type ListedEndpoint} from '../contracts/relay.js';
import {type RelayRequest} from '../contracts/relay-request.js';
import {type Choice} from './endpoint-choice.js';
import {createCrashSuspects} from './crash-suspects.js';
import {type EndpointPaths} from './endpoint-paths.js';
import {type Quarantine} from './quarantine.js';
import {type RelayEndpoint} from './relay-endpoint.js';
import {type RelayEvent} from './relay-event.js';
import {type RelayFleet} from './relay-fleet.js';
import {type RelayJob, type RelayJobOptions} from './relay-job.js';
import {unloadedLatency} from './relay-placement.js';

/** Lowest status with which an endpoint reports an error of its own. */
const serverError = 500;

export type RelayAttemptsOptions = {
	readonly fleet: RelayFleet;
	readonly link: RelayLink;
	readonly paths: EndpointPaths;
	readonly quarantine: Quarantine;
	readonly clock: Clock;
	/** Called when an endpoint repeatedly breaks off responses. */
	readonly onFailing: (endpoint: RelayEndpoint) => void;
	readonly onEvent: (event: RelayEvent) => void;
};

export type RelayAttempts = {
	/** Sends the request to an endpoint. */
	readonly run: (job: RelayJob, choice: Extract<Choice, {kind: 'endpoint'}>, path: EndpointPath) => Promise<RelayResult>;
	/** What the job of a request calls when its attempts reveal something about an endpoint. */
	readonly observer: (request: RelayRequest) => Pick<RelayJobOptions, 'onNotice'>;
	/** Records that an endpoint, or its incarnation, has ended; requests that it had when it broke off may have crashed it. */
	readonly recordEnd: (endpoint: EndpointId) => void;
	/** Records that a request was answered as a whole, so that its content is not what crashes endpoints. */
	readonly recordAnswered: (fingerprint: string) => void;
};

/** Creates the attempts of an instance. */
export function createRelayAttempts(options: RelayAttemptsOptions): RelayAttempts {
	const {fleet, clock, quarantine} = options;
	const suspects = createCrashSuspects();

	function recordEnd(endpoint: EndpointId): void {
		for (const {attempt, crash} of suspects.takeFor(endpoint, clock.now())) {
			if (quarantine.record(crash, clock.now())) {
				options.onEvent({kind: 'crash-suspected', attempt, crash});
			}
		}
	}

	/** Records what the result of an attempt, sent at a time, tells about crashes of its endpoint. Silence tells nothing. */
	function recordSuspicion(job: RelayJob, endpoint: ListedEndpoint, result: RelayResult, sentAt: Milliseconds): void {
		switch (result.kind) {
			case 'broken': {
				suspects.recordBroken(endpoint, {attempt: job.request.attempt, fingerprint: job.fingerprint}, clock.now());
				break;
			}

			case 'unreachable': {
				if (!result.isPathAtFault) {
					recordEnd(endpoint.id);
				}

				break;
			}

			case 'misdirected': {
				recordEnd(endpoint.id);
				break;
			}

			case 'answered':
			case 'finished':
			case 'rejected': {
				suspects.recordAnswer(endpoint.id, sentAt);
				break;
			}

			case 'silent':
			case 'expired':
			case 'cancelled': {
				break;
			}
		}
	}

	/** Records what a response says about its endpoint. */
	function recordNotice(request: RelayRequest, {id, bornAt}: ListedEndpoint, notice: EndpointNotice): void {
		switch (notice.kind) {
			case 'leaving': {
				if (fleet.recordLeaving(id, bornAt, clock.now())) {
					options.onEvent({kind: 'leaving', request, endpoint: id});
				}

				return;
			}

			case 'rate-limit': {
				const {limit} = notice;
				if (fleet.endpoint(id)?.recordRateLimit({limit, at: clock.now()})) {
					options.onEvent({
						kind: 'rate-limit', request, endpoint: id, limit,
					});
				}

				return;
			}

			case 'load': {
				// The instances count the requests at endpoints themselves and report them to each other.
				return;
			}

			case 'rate-limit-unreadable': {
				options.onEvent({
					kind: 'rate-limit-unreadable', request, endpoint: id, text: notice.text,
				});
			}
		}
	}

	/** Updates the latency and availability of an endpoint with the result of an attempt. */
	function updateEndpoint(endpoint: RelayEndpoint, result: RelayResult, {unloadedMs, sentAt}: {readonly unloadedMs: number; readonly sentAt: Milliseconds}): void {
		const now = clock.now();
		switch (result.kind) {
			case 'answered':
			case 'finished': {
				endpoint.recordLatency(unloadedMs, now);
				endpoint.availability.recordResponse({isError: result.kind === 'answered' && result.head.status >= serverError, sentAt}, now);
				return;
			}

			case 'unreachable': {
				if (!result.isPathAtFault) {
					endpoint.availability.recordUnreachable(now);
				}

				return;
			}

			case 'misdirected': {
				endpoint.availability.recordUnreachable(now);
				return;
			}

			case 'broken': {
				if (endpoint.availability.recordBroken(now)) {
					options.onFailing(endpoint);
				}

				return;
			}

			case 'silent': {
				endpoint.recordLatency(unloadedMs, now);
				break;
			}

			case 'rejected':
			case 'expired':
			case 'cancelled': {
				break;
			}
		}
	}

	/** Sends an attempt, and finds out whether it is the path that did not work. */
	async function send(job: RelayJob, attempt: RelayAttempt): Promise<RelayResult> {
		const {endpoint, path} = attempt;
		const lost = new AbortController();
		const tracked = options.paths.track(endpoint, path, () => {
			lost.abort();
		});
		const result = await options.link.send({
			...attempt,
			// A request that must not run again waits for its response, which may arrive when the path works again.
			pathLost: job.route.repetition === 'once' ? undefined : lost.signal,
			onNotice(notice) {
				tracked.recordHeard();
				attempt.onNotice(notice);
			},
			onEvent(event) {
				tracked.recordHeard();
				attempt.onEvent(event);
			},
		});
		tracked.end();
		return result.kind === 'unreachable' ? {...result, isPathAtFault: await options.paths.isAtFault(path, result.isPathAtFault ?? false)} : result;
	}

	async function run(job: RelayJob, {endpoint, expected}: Extract<Choice, {kind: 'endpoint'}>, path: EndpointPath): Promise<RelayResult> {
		const listed = endpoint.listed();
		const startedAt = clock.now();
		const load = endpoint.load(startedAt);
		const {limit: rateLimit} = endpoint.rateLimit();
		const release = endpoint.trackRequest();
		endpoint.markCached(job.request.prompt);
		endpoint.availability.recordSent(startedAt);
		const linkAttempt = job.createAttempt(listed, path, expected);
		const result = await send(job, linkAttempt);
		const took = as<Milliseconds>(clock.now() - startedAt);
		release();
		job.recordResult(listed, result);
		recordSuspicion(job, listed, result, startedAt);
		updateEndpoint(endpoint, result, {unloadedMs: unloadedLatency(took, load), sentAt: startedAt});
		options.onEvent({
			kind: 'attempted', request: job.request, attempt: {
				endpoint: listed.id, path, version: listed.version, resumeAfter: linkAttempt.resumeAfter, result, load, expected, rateLimit, generation: job.generation, took,
			},
		});
		return result;
	}

	return {
		run,
		recordEnd,
		recordAnswered(fingerprint) {
			quarantine.clear(fingerprint);
			suspects.recordAnswered(fingerprint, clock.now());
		},
		observer: request => ({
			onNotice(endpoint, notice) {
				recordNotice(request, endpoint, notice);
			},
		}),
	};
}
