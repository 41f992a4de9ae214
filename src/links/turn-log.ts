/**
Log lines about kept turns: from the id of a turn (`request`, `previous`) to the archives that have it, or to the reason why it
was refused. docs/OPERATIONS.md shows how to trace a turn through them.
*/
import {type TurnEvent} from '../zones/conversations/turn-event.js';
import {type Log} from './log.js';

/** Whether an event occurs for each turn in normal operation. */
export function isRoutineTurnEvent(event: TurnEvent): boolean {
	return (event.kind === 'kept' && event.late === 0) || event.kind === 'read';
}

/** Writes the line of an event. */
export function logTurns(log: Log, event: TurnEvent): void {
	switch (event.kind) {
		case 'kept': {
			const {
				attempt, program, copies, late, missing, took,
			} = event;
			log.info({
				event: 'turn-kept', request: attempt, program, copies, late, missing, tookMs: Math.round(took),
			}, `turn ${attempt} kept at ${copies.join(', ')} after ${Math.round(took)} ms`);
			return;
		}

		case 'not-kept': {
			const {attempt, program, copies, missing, took} = event;
			log.warn({
				event: 'turn-not-kept', request: attempt, program, copies, missing, tookMs: Math.round(took),
			}, `turn ${attempt} not kept on enough disks within ${Math.round(took)} ms, so its response is broken off`);
			return;
		}

		case 'part-kept': {
			const {attempt, firstAttempt, lastEvent, copies, missing} = event;
			log.info({
				event: 'turn-part-kept', request: attempt, firstAttempt, lastEvent, copies, missing,
			}, `output of ${firstAttempt} up to event ${lastEvent} kept at ${copies.length} archives, since its stream broke off`);
			return;
		}

		case 'read': {
			const {attempt, previous, sources, bytes, took} = event;
			log.info({
				event: 'turn-read', request: attempt, previous, sources, bytes, tookMs: Math.round(took),
			}, `chain of ${previous} found after ${Math.round(took)} ms`);
			return;
		}

		case 'part-read': {
			const {attempt, firstAttempt, isFound, took} = event;
			log.info({
				event: 'turn-part-read', request: attempt, firstAttempt, isFound, tookMs: Math.round(took),
			}, `earlier output of ${firstAttempt} ${isFound ? 'found' : 'not found'} after ${Math.round(took)} ms`);
			return;
		}

		case 'unknown': {
			const {attempt, previous, proof, archives} = event;
			log.warn({
				event: 'turn-unknown', request: attempt, previous, proof, archives,
			}, `turn ${previous} certainly does not exist for this caller: ${proof}`);
			return;
		}

		case 'unavailable': {
			const {attempt, previous, reason, detail} = event;
			log.warn({
				event: 'turn-unavailable', request: attempt, previous, reason, detail,
			}, `turn cannot be opened now: ${reason}; ${detail}`);
			return;
		}

		case 'too-long': {
			const {attempt, previous, turns, bytes} = event;
			log.warn({
				event: 'turn-too-long', request: attempt, previous, turns, bytes,
			}, `conversation of more than ${turns - 1} turns or ${bytes} bytes is not assembled`);
			return;
		}

		case 'archives': {
			const {source, archives} = event;
			log.info({event: 'archives', source, archives}, `${archives.length} archives known from the ${source}`);
			return;
		}

		case 'archives-unavailable': {
			log.warn({event: 'archives-unavailable', reason: event.reason}, 'the store did not tell which archives exist');
			return;
		}

		case 'archive-unreadable': {
			log.warn({event: 'archive-unreadable', archive: event.archive}, `entry of archive ${event.archive} is invalid`);
			return;
		}

		case 'contact': {
			const {isCutOff, storeSilence} = event;
			log.warn({
				event: 'contact', isCutOff, storeSilenceMs: Math.round(storeSilence),
			}, isCutOff ? 'cut off from the other data centres; not ready, because turns cannot be kept' : 'the other data centres or the store answer again');
			return;
		}

		case 'archive': {
			const {archive, use, isAnswering} = event;
			log.warn({
				event: 'archive', archive, use, isAnswering,
			}, isAnswering ? `archive ${archive} answers again` : `archive ${archive} did not answer in time; others are preferred for a while`);
		}
	}
}
