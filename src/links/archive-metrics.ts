/**
Metrics of an archive in the Prometheus text format. docs/OPERATIONS.md explains each.
*/
import {Counter, Gauge, Registry} from 'prom-client';
import {type Archive, type ArchiveEvent} from '../machines/archive.js';

export type ArchiveMetrics = {
	readonly count: (event: ArchiveEvent) => void;
	/** Returns all metrics in the text format. */
	readonly text: () => Promise<string>;
};

function detailOf(event: ArchiveEvent): string {
	switch (event.kind) {
		case 'store': {
			return event.store.kind;
		}

		case 'drain': {
			return event.drain.kind;
		}

		case 'repair': {
			return event.repair.kind;
		}

		case 'succession': {
			return event.succession.kind;
		}

		case 'registration': {
			return event.registration.state;
		}

		case 'unreadable-archive':
		case 'request-given-up': {
			return '';
		}
	}
}

/** Creates the metrics of one process; gauges are read on each scrape. */
export function createArchiveMetrics(archive: () => Pick<Archive, 'gauges'>): ArchiveMetrics {
	const registry = new Registry();
	const registers = [registry];
	const events = new Counter({
		name: 'hickoryfork_events_total', help: 'Events by kind and detail', labelNames: ['kind', 'detail'], registers,
	});
	const gauge = new Gauge({
		name: 'hickoryfork_archive', help: 'Current counts and sizes', labelNames: ['of'], registers,
		collect() {
			for (const [name, value] of Object.entries(archive().gauges())) {
				gauge.set({of: name}, value);
			}
		},
	});
	return {
		count(event) {
			events.inc({kind: event.kind, detail: detailOf(event)});
		},
		text: async () => registry.metrics(),
	};
}
