/**
Log lines of a relaying instance: one for each decision that touches a request or changes what the
instance believes. docs/OPERATIONS.md shows how to follow a request through them.
*/
import {type RelayInstanceEvent} from '../machines/relay-instance.js';
import {type RelayEvent} from '../machines/relay-event.js';
import {type SharedTablesEvent} from '../zones/shared-tables.js';
import {type RelayResult} from '../contracts/relay-attempt.js';
import {type RelayRequest} from '../contracts/relay-request.js';
import {type Log, logMember, logPause} from './log.js';

/** Lines a second about requests that were served as expected; failures are always written. */
const ordinaryLinesPerSecond = 50;

function requestOf(request: RelayRequest) {
	return {request: request.attempt, program: request.program?.id};
}

function logRelay(log: Log, event: RelayEvent): void {
	switch (event.kind) {
		case 'attempted': {
			const {result, endpoint, load, expected, generation, took} = event.attempt;
			log.info({
				event: 'attempt', ...requestOf(event.request), endpoint, result: result.kind, load, expectedMs: expected, generation, tookMs: Math.round(took),
				...(result.kind === 'answered' && {status: result.head.status}),
				...(result.kind === 'rejected' && {status: result.status}),
				...('reason' in result && {reason: result.reason}),
			}, 'attempt ended');
			return;
		}

		case 'served': {
			log.info({
				event: 'served', ...requestOf(event.request), attempts: event.attempts, elapsedMs: Math.round(event.elapsed),
			}, 'answer delivered');
			return;
		}

		case 'refused': {
			log.warn({
				event: 'refused', ...requestOf(event.request), target: event.request.target, refusal: event.refusal.kind, attempts: event.attempts, elapsedMs: Math.round(event.elapsed),
			}, 'request refused');
			return;
		}

		case 'cancelled': {
			log.info({
				event: 'cancelled', ...requestOf(event.request), attempts: event.attempts, elapsedMs: Math.round(event.elapsed),
			}, 'caller went away');
			return;
		}

		case 'crash-suspected': {
			log.warn({
				event: 'crash-suspected', ...requestOf(event.request), endpoint: event.endpoint, fingerprint: event.fingerprint,
			}, 'request may have crashed an endpoint');
		}
	}
}

function logTables(log: Log, event: SharedTablesEvent): void {
	switch (event.kind) {
		case 'configuration': {
			log.info({
				event: 'configuration', generation: event.generation, previous: event.previous, source: event.source,
			}, 'configuration in force');
			return;
		}

		case 'configuration-refused': {
			log.warn({event: 'configuration-refused', reason: event.failure.message}, 'configuration cannot be read');
			return;
		}

		case 'endpoint': {
			log.info({
				event: 'endpoint', endpoint: event.id, change: event.change, revision: event.revision, source: event.source,
			}, 'endpoint changed');
			return;
		}

		case 'removal-doubted': {
			log.warn({event: 'removal-doubted', endpoint: event.id, revision: event.revision}, 'endpoint kept although the store no longer lists it');
			return;
		}

		case 'watching': {
			log.info({
				event: 'watching', isWatching: event.isWatching, isWatcher: event.isWatcher, silenceMs: Math.round(event.sinceSync),
			}, event.isWatching ? 'watching the store' : 'told by others');
			return;
		}

		case 'watch-failed': {
			log.warn({event: 'watch-failed', objects: event.objects, reason: event.failure.message}, 'no answer to a watch');
			return;
		}

		case 'unreadable': {
			log.warn({event: 'unreadable', endpoint: event.id, revision: event.revision}, 'entry names no endpoint');
			return;
		}

		case 'store': {
			log.warn({
				event: 'store', change: event.change, reason: event.reason,
			}, `store ${event.change}`);
			return;
		}

		case 'snapshot-failed': {
			log.warn({event: 'snapshot-failed', peer: event.failure.peer, reason: event.failure.message}, 'no snapshot from a peer');
		}
	}
}

function isWhole(result: RelayResult): boolean {
	return result.kind === 'answered' || result.kind === 'finished';
}

function isOrdinary(event: RelayInstanceEvent): boolean {
	if (event.kind !== 'relay') {
		return false;
	}

	const {relay} = event;
	return relay.kind === 'served' || (relay.kind === 'attempted' && isWhole(relay.attempt.result));
}

function logOne(log: Log, event: RelayInstanceEvent): void {
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
			log.info({event: `budget-${kind}`, ...rest}, 'budget');
			return;
		}

		case 'warm-up': {
			const {kind, ...rest} = event.warmUp;
			log.info({event: kind, ...rest}, 'warm-up');
			return;
		}

		case 'member': {
			logMember(log, event.member);
			return;
		}

		case 'paused': {
			logPause(log, event.gap);
		}
	}
}

/** Creates a writer that bounds the lines about ordinary requests and says how many it left out. */
export function createRelayLog(log: Log): (event: RelayInstanceEvent) => void {
	let second = 0;
	let lines = 0;
	let omitted = 0;
	return event => {
		const now = Math.floor(performance.now() / 1000);
		if (now !== second) {
			if (omitted > 0) {
				log.info({event: 'omitted', lines: omitted}, 'lines about ordinary requests left out');
			}

			second = now;
			lines = 0;
			omitted = 0;
		}

		if (isOrdinary(event) && ++lines > ordinaryLinesPerSecond) {
			omitted++;
			return;
		}

		logOne(log, event);
	};
}
