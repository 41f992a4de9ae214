/**
Log lines of a relaying instance: one for each attempt at an endpoint, each outcome of a request, and each
event of the tables, the token budgets, the warm-up and the membership. docs/OPERATIONS.md shows how to
trace a request through them.
*/
import {type EndpointPathsEvent} from '../zones/endpoint-paths/endpoint-paths.js';
import {type RelayInstanceEvent} from '../machines/relay-instance-event.js';
import {type RelayEvent} from '../machines/relay-event.js';
import {type SharedTablesEvent} from '../zones/shared-tables.js';
import {type RateLimit} from '../contracts/rate-limit.js';
import {type TablesFetch} from '../zones/table-peers.js';
import {type VersionHistoryEvent} from '../zones/version-history.js';
import {type RelayResult} from '../contracts/relay-attempt.js';
import {type RelayRequest} from '../contracts/relay-request.js';
import {logAllotment} from './allotment-log.js';
import {type ClientLog, createClientLog} from './client-log.js';
import {type Log, logMember, logPause} from './log.js';
import {isRoutineTurnEvent, logTurns} from './turn-log.js';

/** Limit on the lines about successful requests and attempts, denied permits and grants from the slack; failures are always logged. */
const routineLinesPerSecond = 50;

function requestFields(request: RelayRequest) {
	return {request: request.attempt, program: request.program?.id};
}

function describeLimit(limit: RateLimit): string {
	return limit.kind === 'limited' ? `${limit.rate} requests per second` : 'none';
}

function logRelay(log: Log, event: RelayEvent): void {
	switch (event.kind) {
		case 'attempted': {
			const {
				result, endpoint, path, version, resumeAfter, load, expected, rateLimit, generation, took,
			} = event.attempt;
			log.info({
				event: 'attempt', ...requestFields(event.request), endpoint, version, result: result.kind, load, expectedMs: expected, generation, tookMs: Math.round(took),
				...(resumeAfter !== undefined && {resumeAfter, firstAttempt: event.request.firstAttempt}),
				...(rateLimit.kind === 'limited' && {limit: rateLimit.rate}),
				...(path.kind === 'tunnel' && {gateway: path.gateway}),
				...(result.kind === 'answered' && {status: result.head.status}),
				...(result.kind === 'rejected' && {status: result.status}),
				...('reason' in result && {reason: result.reason}),
			}, `attempt at ${endpoint} ended after ${Math.round(took)} ms: ${result.kind}`);
			return;
		}

		case 'served': {
			log.info({
				event: 'served', ...requestFields(event.request), attempts: event.attempts, elapsedMs: Math.round(event.elapsed),
			}, `response delivered to the caller after ${Math.round(event.elapsed)} ms`);
			return;
		}

		case 'refused': {
			log.warn({
				event: 'refused', ...requestFields(event.request), workspace: event.workspace, target: event.request.target, firstAttempt: event.request.firstAttempt,
				refusal: event.refusal.kind, attempts: event.attempts, elapsedMs: Math.round(event.elapsed),
				...('retryAfter' in event.refusal && {retryAfterMs: Math.round(event.refusal.retryAfter)}),
			}, `request refused after ${Math.round(event.elapsed)} ms: ${event.refusal.kind}`);
			return;
		}

		case 'cancelled': {
			log.info({
				event: 'cancelled', ...requestFields(event.request), attempts: event.attempts, elapsedMs: Math.round(event.elapsed),
			}, `caller disconnected after ${Math.round(event.elapsed)} ms, before the response was complete`);
			return;
		}

		case 'permitted': {
			// A refusal has a line of its own, and so has every other ending of a request.
			return;
		}

		case 'leaving': {
			log.info({event: 'leaving', ...requestFields(event.request), endpoint: event.endpoint}, `${event.endpoint} said in a response that it leaves`);
			return;
		}

		case 'rate-limit': {
			const {endpoint, limit} = event;
			log.info({
				event: 'rate-limit', ...requestFields(event.request), endpoint, ...(limit.kind === 'limited' && {limit: limit.rate}),
			}, `rate limit of ${endpoint} is now ${describeLimit(limit)}`);
			return;
		}

		case 'rate-limit-unreadable': {
			log.warn({
				event: 'rate-limit-unreadable', ...requestFields(event.request), endpoint: event.endpoint, text: event.text,
			}, `rate limit of ${event.endpoint} cannot be read; the previous one stays in force`);
			return;
		}

		case 'no-permit': {
			log.info({
				event: 'no-permit', ...requestFields(event.request), endpoint: event.endpoint, waitMs: Math.round(event.wait),
			}, `no permit left for ${event.endpoint} for ${Math.round(event.wait)} ms`);
			return;
		}

		case 'crash-suspected': {
			log.warn({
				event: 'crash-suspected', request: event.attempt, ...event.crash,
			}, `request ${event.crash.fingerprint} may have crashed ${event.crash.endpoint}`);
		}
	}
}

function fetchFields({
	peer, reason, waited, took,
}: TablesFetch) {
	return {
		peer, purpose: reason, waitedMs: Math.round(waited), tookMs: Math.round(took),
	};
}

function logTables(log: Log, event: SharedTablesEvent): void {
	switch (event.kind) {
		case 'configuration': {
			log.info({
				event: 'configuration', generation: event.generation, previous: event.previous, source: event.source,
				...(event.sinceAnnounced !== undefined && {sinceAnnouncedMs: Math.round(event.sinceAnnounced)}),
			}, `configuration ${event.generation} applied`);
			return;
		}

		case 'configuration-announced': {
			log.info({
				event: 'configuration-announced', generation: event.generation, current: event.current, peer: event.peer,
			}, `${event.peer} has configuration ${event.generation}, which is newer than ${event.current}`);
			return;
		}

		case 'configuration-refused': {
			log.warn({event: 'configuration-refused', reason: event.failure.message}, 'configuration is invalid and was refused');
			return;
		}

		case 'endpoint': {
			log.info({
				event: 'endpoint', endpoint: event.id, change: event.change, revision: event.revision, source: event.source,
			}, `entry of endpoint ${event.id} changed: ${event.change}`);
			return;
		}

		case 'removal-doubted': {
			log.warn({event: 'removal-doubted', endpoint: event.id, revision: event.revision}, `endpoint ${event.id} kept although the store no longer lists it`);
			return;
		}

		case 'watching': {
			log.info({
				event: 'watching', isWatching: event.isWatching, isWatcher: event.isWatcher, silenceMs: Math.round(event.sinceSync),
			}, event.isWatching ? 'watching the store' : 'receiving table changes from other instances');
			return;
		}

		case 'watch-failed': {
			log.warn({event: 'watch-failed', objects: event.objects, reason: event.failure.message}, `list or watch of "${event.objects}" in the store failed`);
			return;
		}

		case 'unreadable': {
			log.warn({event: 'unreadable', endpoint: event.id, revision: event.revision}, `entry of endpoint ${event.id} is invalid; treated as removed`);
			return;
		}

		case 'store': {
			log.warn({
				event: 'store', change: event.change, reason: event.reason,
			}, `connection to the object store is ${event.change}`);
			return;
		}

		case 'snapshot-fetched': {
			log.info({event: 'snapshot', ...fetchFields(event.fetch)}, `snapshot fetched from ${event.fetch.peer}`);
			return;
		}

		case 'snapshot-failed': {
			log.warn({event: 'snapshot-failed', ...fetchFields(event.fetch), reason: event.failure.message}, `fetching a snapshot from ${event.fetch.peer} failed`);
		}
	}
}

function logPath(log: Log, event: EndpointPathsEvent): void {
	switch (event.kind) {
		case 'cut-off': {
			log.warn({event: 'cut-off', sampled: event.sampled, gateways: event.gateways}, `no connection to any of ${event.sampled} endpoints; requests go through ${event.gateways} gateways`);
			return;
		}

		case 'restored': {
			log.warn({event: 'restored', sampled: event.sampled}, `connections to all of ${event.sampled} endpoints; requests go to them directly again`);
		}
	}
}

function logVersions(log: Log, event: VersionHistoryEvent): void {
	switch (event.kind) {
		case 'versions-written': {
			const {kind, pool, versions} = event;
			log.info({event: kind, pool, versions}, `software versions of pool ${pool} in the store are now ${versions.join(', ')}`);
			return;
		}

		case 'versions-unavailable': {
			log.warn({event: event.kind, reason: event.failure.message}, 'the store did not answer about software versions');
		}
	}
}

function isComplete(result: RelayResult): boolean {
	return result.kind === 'answered' || result.kind === 'finished';
}

function isRoutine(event: RelayInstanceEvent): boolean {
	if (event.kind === 'turns') {
		return isRoutineTurnEvent(event.turns);
	}

	if (event.kind !== 'relay') {
		return event.kind === 'allotment-slack';
	}

	const {relay} = event;
	return relay.kind === 'served' || relay.kind === 'no-permit' || (relay.kind === 'attempted' && isComplete(relay.attempt.result));
}

/** Logs what other instances said, or did not say, about an endpoint. */
function logPeerReport(log: Log, event: Extract<RelayInstanceEvent, {kind: 'leaving-reported' | 'rate-limit-reported' | 'permit-unanswered'}>): void {
	switch (event.kind) {
		case 'leaving-reported': {
			log.info({event: 'leaving', endpoint: event.endpoint, source: 'peer'}, `a peer reported that ${event.endpoint} leaves`);
			return;
		}

		case 'rate-limit-reported': {
			const {endpoint, limit} = event;
			log.info({
				event: 'rate-limit', endpoint, ...(limit.kind === 'limited' && {limit: limit.rate}), source: 'peer',
			}, `rate limit of ${endpoint} is now ${describeLimit(limit)}, as reported by a peer`);
			return;
		}

		case 'permit-unanswered': {
			log.warn({
				event: 'permit-unanswered', endpoint: event.endpoint, coordinator: event.coordinator,
			}, `${event.coordinator} did not answer a request for a permit for ${event.endpoint}`);
		}
	}
}

function writeEvent(log: Log, logClient: ClientLog, event: RelayInstanceEvent): void {
	switch (event.kind) {
		case 'relay': {
			logRelay(log, event.relay);
			return;
		}

		case 'tables': {
			logTables(log, event.tables);
			return;
		}

		case 'budget': {
			const {kind, ...rest} = event.budget;
			log.info({event: `budget-${kind}`, ...rest}, `token budget event: ${kind}`);
			return;
		}

		case 'warm-up': {
			const {kind, ...rest} = event.warmUp;
			log.info({event: kind, ...rest}, `warm-up event: ${kind}`);
			return;
		}

		case 'versions': {
			logVersions(log, event.versions);
			return;
		}

		case 'turns': {
			logTurns(log, event.turns);
			return;
		}

		case 'path': {
			logPath(log, event.path);
			return;
		}

		case 'member': {
			logMember(log, event.member);
			return;
		}

		case 'leaving-reported':
		case 'rate-limit-reported':
		case 'permit-unanswered': {
			logPeerReport(log, event);
			return;
		}

		case 'allotment-held':
		case 'allotment-received':
		case 'allotment-yielded':
		case 'allotment-not-renewed':
		case 'allotment-unanswered':
		case 'allotment-slack': {
			logAllotment(log, event);
			return;
		}

		case 'client': {
			logClient(event);
			return;
		}

		case 'paused': {
			logPause(log, event.gap);
		}
	}
}

/** Creates a writer that limits the lines about routine decisions and logs how many it omitted. */
export function createRelayLog(log: Log): (event: RelayInstanceEvent) => void {
	const logClient = createClientLog(log);
	let second = 0;
	let lines = 0;
	let omitted = 0;
	return event => {
		const now = Math.floor(performance.now() / 1000);
		if (now !== second) {
			if (omitted > 0) {
				log.info({event: 'omitted', lines: omitted}, `${omitted} lines about routine decisions omitted`);
			}

			second = now;
			lines = 0;
			omitted = 0;
		}

		if (isRoutine(event) && ++lines > routineLinesPerSecond) {
			omitted++;
			return;
		}

		writeEvent(log, logClient, event);
	};
}
