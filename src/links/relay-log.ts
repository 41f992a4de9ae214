/**
Log lines of a relaying instance: hands each event to the module that has its lines, and limits those about routine
decisions. docs/OPERATIONS.md shows how to trace a request through them.
*/
import {type RelayInstanceEvent} from '../machines/relay-instance-event.js';
import {type VersionHistoryEvent} from '../zones/version-history.js';
import {type RelayResult} from '../contracts/relay-attempt.js';
import {logAllotment} from './allotment-log.js';
import {logBudget} from './budget-log.js';
import {type ClientLog, createClientLog} from './client-log.js';
import {logPath, logPeerReport} from './endpoint-log.js';
import {type Log, logMember, logPause} from './log.js';
import {logRelay} from './request-log.js';
import {logContactSearch, logTables} from './tables-log.js';
import {isRoutineTurnEvent, logTurns} from './turn-log.js';

/** Limit on the lines about successful requests and attempts, denied permits and grants from the slack; failures are always logged. */
const routineLinesPerSecond = 50;

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
			logBudget(log, event.budget);
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

		case 'contact-searched': {
			logContactSearch(log, event.search);
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
