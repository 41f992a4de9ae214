/**
Log lines about the allotments of workspaces.
*/
import {type AllotmentEvent} from '../zones/allotments/allotment-event.js';
import {type Log} from './log.js';

/** Logs an event of the allotments. */
export function logAllotment(log: Log, event: AllotmentEvent): void {
	const {kind, workspace} = event;
	switch (event.kind) {
		case 'allotment-held': {
			const {level, undisputed} = event;
			log.info({
				event: kind, workspace, level: Math.round(level), undisputedMs: Math.round(undisputed),
			}, `this instance grants the allotment of ${workspace}, with ${Math.round(level)} permits to begin with`);
			return;
		}

		case 'allotment-received': {
			log.info({
				event: kind, workspace, from: event.from, level: Math.round(event.level),
			}, `${event.from} handed over the allotment of ${workspace}`);
			return;
		}

		case 'allotment-yielded': {
			log.info({event: kind, workspace, to: event.to}, `handed the allotment of ${workspace} to ${event.to}`);
			return;
		}

		case 'allotment-not-renewed': {
			log.warn({event: kind, workspace, holder: event.holder}, `too few data centres renewed the lease on the allotment of ${workspace}`);
			return;
		}

		case 'allotment-unanswered': {
			log.warn({event: kind, workspace, instance: event.instance}, `${event.instance} did not answer about the allotment of ${workspace}`);
			return;
		}

		case 'allotment-slack': {
			log.warn({
				event: kind, workspace, asked: event.asked, granted: event.granted,
			}, `without a coordinator, ${event.granted} of ${event.asked} requests of ${workspace} were granted from the slack`);
		}
	}
}
