/**
Log lines of an archive. None is written for a turn that was kept or read; failures of the disk and of clients are limited.
*/
import {type ArchiveEvent} from '../machines/archive.js';
import {type ArchiveDrainEvent} from '../machines/archive-drain.js';
import {type ArchiveRepairEvent} from '../machines/archive-repair/repair-event.js';
import {type SuccessionEvent} from '../machines/archive-repair/succession.js';
import {type TurnStoreEvent} from '../machines/turn-store/turn-store-event.js';
import {type Log} from './log.js';

/** Lines about single requests and records in a second. */
const repeatedLinesPerSecond = 10;

const reasonOfCompleteness = {
	expiry: 'all turns that may have been lost have expired',
	repair: 'all turns that may have been lost are held again',
	'first-registration': 'no turn was lost, as this machine is new',
} as const;

function logStore(log: Log, event: TurnStoreEvent): void {
	switch (event.kind) {
		case 'segment-recovered': {
			const {kind, ...rest} = event;
			const dropped = event.reason === undefined ? 'nothing dropped' : `${event.droppedBytes} bytes and ${event.droppedRecords} records dropped: ${event.reason}`;
			log[event.hasLoss ? 'warn' : 'info']({event: kind, ...rest}, `segment ${event.segment}: ${event.turns} turns, ${dropped}`);
			return;
		}

		case 'recovered': {
			const {kind, took, ...rest} = event;
			const judgement = event.isComplete ? 'none is lost' : 'some may be lost';
			log.info({event: kind, ...rest, tookMs: Math.round(took)}, `${event.turns} turns found in ${event.segments} segments after ${Math.round(took)} ms; ${judgement}`);
			return;
		}

		case 'complete': {
			log.info({event: 'complete', by: event.by}, reasonOfCompleteness[event.by]);
			return;
		}

		case 'segment-opened': {
			log.info({event: event.kind, segment: event.segment}, `segment ${event.segment} opened`);
			return;
		}

		case 'segment-dropped': {
			log.info({event: event.kind, segment: event.segment, turns: event.turns}, `segment ${event.segment} dropped: all of its turns have expired`);
			return;
		}

		case 'disk-hanging': {
			log.warn({event: event.kind, refused: event.refused}, 'the disk does not respond; turns are refused until it does');
			return;
		}

		case 'disk-responding': {
			log.info({event: event.kind, afterMs: Math.round(event.after)}, `the disk responded after ${Math.round(event.after)} ms`);
			return;
		}

		case 'disk-failed': {
			log.warn({
				event: event.kind, operation: event.operation, failure: event.failure.kind, reason: event.failure.reason,
			}, `the disk failed (${event.operation}): ${event.failure.reason}`);
			return;
		}

		case 'space-used-up': {
			log.warn({event: event.kind, bytes: event.bytes}, `turns are refused: they take ${event.bytes} bytes of the disk`);
			return;
		}

		case 'record-unreadable': {
			const {kind, ...rest} = event;
			log.warn({event: kind, ...rest}, `the record of turn ${event.turn} cannot be read: ${event.reason}`);
		}
	}
}

function logDrain(log: Log, event: ArchiveDrainEvent): void {
	switch (event.kind) {
		case 'started': {
			log.info({event: 'drain-started', turns: event.turns}, `${event.turns} turns are copied to other archives`);
			return;
		}

		case 'passed': {
			const {kind, ...rest} = event;
			log.info({event: `drain-${kind}`, ...rest}, `${event.copies} copies made at ${event.archives} archives, ${event.remaining} turns remain`);
			return;
		}

		case 'copy-failed': {
			const {kind, ...rest} = event;
			log.warn({event: kind, ...rest}, `${event.archive} did not take a copy: ${event.reason}`);
			return;
		}

		case 'archives-unavailable': {
			log.warn({event: event.kind, reason: event.reason}, `the list of archives could not be read: ${event.reason}`);
			return;
		}

		case 'finished': {
			log.info({event: 'drain-finished', copies: event.copies}, `all turns are held elsewhere; ${event.copies} copies were made`);
		}
	}
}

function logRepair(log: Log, event: ArchiveRepairEvent): void {
	switch (event.kind) {
		case 'impossible': {
			log.warn({event: 'repair-impossible'}, 'turns may be lost, and no other archive has to have copies of them');
			return;
		}

		case 'started': {
			log.info({event: 'repair-started'}, 'turns may be lost; they are compared with those of the other archives');
			return;
		}

		case 'passed': {
			const {kind, doubts, ...rest} = event;
			const doubt = doubts.length === 0 ? 'none in doubt' : `in doubt: ${doubts.map(({archive, reason}) => `${archive} (${reason})`).join(', ')}`;
			log.info({event: 'repair-passed', doubts, ...rest}, `${event.copied} turns copied, ${event.remaining} remain; ${doubt}`);
			return;
		}

		case 'archives-unavailable': {
			log.warn({event: `repair-${event.kind}`, reason: event.reason}, `the list of archives could not be read: ${event.reason}`);
			return;
		}

		case 'finished': {
			const {kind, took, ...rest} = event;
			log.info({event: 'repair-finished', tookMs: Math.round(took), ...rest}, `no turn is missing ${Math.round(took)} ms after the start; ${event.copied} were copied`);
		}
	}
}

function logSuccession(log: Log, event: SuccessionEvent): void {
	switch (event.kind) {
		case 'watching': {
			log.info({event: 'succession-watching', archives: event.archives}, `this archive is new; it watches whether one of ${event.archives} others is gone`);
			return;
		}

		case 'silent': {
			log.warn({event: 'succession-silent', archive: event.archive}, `${event.archive} does not answer`);
			return;
		}

		case 'compared': {
			const {kind, ...rest} = event;
			log.info({event: 'succession-compared', ...rest}, `${event.copied} turns copied to this archive, ${event.spread} copies sent to others, ${event.remaining} turns remain; in doubt: ${event.doubts.join(', ')}`);
			return;
		}

		case 'copy-failed': {
			log.warn({event: 'succession-copy-failed', archive: event.archive, reason: event.reason}, `${event.archive} did not take a copy: ${event.reason}`);
			return;
		}

		case 'presumed-gone': {
			const {kind, ...rest} = event;
			log.warn({event: 'succession-presumed-gone', ...rest}, `${event.archive} ${event.isWritten ? 'is' : 'could not be'} registered as presumed gone`);
		}
	}
}

/** Store events that may occur once for each record while the disk fails. */
const repeatedStoreEvents: ReadonlySet<TurnStoreEvent['kind']> = new Set(['record-unreadable', 'disk-failed', 'segment-opened']);

/** Whether an event may occur once for each request or record. */
function isRepeated(event: ArchiveEvent): boolean {
	return event.kind === 'request-given-up' || (event.kind === 'store' && repeatedStoreEvents.has(event.store.kind));
}

function writeEvent(log: Log, event: ArchiveEvent): void {
	switch (event.kind) {
		case 'store': {
			logStore(log, event.store);
			return;
		}

		case 'drain': {
			logDrain(log, event.drain);
			return;
		}

		case 'repair': {
			logRepair(log, event.repair);
			return;
		}

		case 'succession': {
			logSuccession(log, event.succession);
			return;
		}

		case 'registration': {
			log.info({event: 'registration', ...event.registration}, `registration as ${event.registration.state}: ${event.registration.result}`);
			return;
		}

		case 'unreadable-archive': {
			log.warn({event: event.kind, archive: event.name}, `the registration of ${event.name} cannot be decoded`);
			return;
		}

		case 'request-given-up': {
			log.warn({event: event.kind, reason: event.reason}, event.reason);
		}
	}
}

/** Creates a writer that limits the lines about single requests and records, and logs how many it omitted. */
export function createArchiveLog(log: Log): (event: ArchiveEvent) => void {
	let second = 0;
	let lines = 0;
	let omitted = 0;
	return event => {
		const now = Math.floor(performance.now() / 1000);
		if (now !== second) {
			if (omitted > 0) {
				log.info({event: 'omitted', lines: omitted}, `${omitted} lines about requests and records omitted`);
			}

			second = now;
			lines = 0;
			omitted = 0;
		}

		if (isRepeated(event) && ++lines > repeatedLinesPerSecond) {
			omitted++;
			return;
		}

		writeEvent(log, event);
	};
}
