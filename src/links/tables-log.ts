/**
Log lines of the tables that instances share: configurations, entries of endpoints, and how they were learned.
*/
import {type EndedSearch} from '../zones/contact-search.js';
import {type TablesFetch} from '../zones/table-peers.js';
import {type SharedTablesEvent} from '../zones/shared-tables.js';
import {type Log} from './log.js';

function fetchFields({
	peer, reason, waited, took,
}: TablesFetch) {
	return {
		peer, purpose: reason, waitedMs: Math.round(waited), tookMs: Math.round(took),
	};
}

/** Logs a search for newer tables at other instances. */
export function logContactSearch(log: Log, {asked, unanswered, took}: EndedSearch): void {
	log.info({
		event: 'contact-searched', asked, unanswered, tookMs: Math.round(took),
	}, `asked other instances for newer tables for ${Math.round(took)} ms`);
}

/** Logs an event of the shared tables. */
export function logTables(log: Log, event: SharedTablesEvent): void {
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
			log.warn({
				event: 'watch-failed', objects: event.objects, reason: event.failure.message, tookMs: Math.round(event.took),
			}, `list or watch of "${event.objects}" in the store failed`);
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
