/**
Metrics in the Prometheus text format. docs/OPERATIONS.md explains each.
*/
import {
	collectDefaultMetrics, Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {type ClientEvent} from '../machines/client-problem.js';
import {type InstanceEvent} from '../machines/instance-event.js';
import {type Gauges} from '../machines/instance-report.js';
import {type ServedRequest} from './caller.js';

const bucketsSeconds = [0.001, 0.005, 0.01, 0.05, 0.1, 0.5, 1, 5, 10, 60];

export type Metrics = {
	readonly count: (event: InstanceEvent | ClientEvent) => void;
	readonly observe: (request: ServedRequest) => void;
	/** Returns all metrics in the text format. */
	readonly text: () => Promise<string>;
};

/** Creates the metrics of one process; gauges are read on each scrape. */
export function createMetrics(readGauges: () => Gauges, readClientGauges: () => Readonly<Record<string, number>>): Metrics {
	const registry = new Registry();
	const registers = [registry];
	collectDefaultMetrics({register: registry, prefix: 'hickoryfork_'});
	const events = new Counter({
		name: 'hickoryfork_events_total', help: 'Events by kind and detail', labelNames: ['kind', 'detail'], registers,
	});
	const requests = new Histogram({
		name: 'hickoryfork_request_seconds', help: 'Time from a request to the end of its answer', labelNames: ['status'], buckets: bucketsSeconds, registers,
	});
	const names: ReadonlyArray<keyof Gauges> = ['members', 'shards', 'programs', 'running', 'heldBytes', 'generation'];
	for (const name of names) {
		const gauge: Gauge = new Gauge({
			name: `hickoryfork_${name.replaceAll(/[A-Z]/gv, letter => `_${letter.toLowerCase()}`)}`,
			help: `Current ${name}`,
			registers,
			collect() {
				gauge.set(readGauges()[name]);
			},
		});
	}

	const clients: Gauge = new Gauge({
		name: 'hickoryfork_callers',
		help: 'What callers hold together',
		labelNames: ['of'],
		registers,
		collect() {
			for (const [of, value] of Object.entries(readClientGauges())) {
				clients.set({of}, value);
			}
		},
	});

	function detailOf(event: InstanceEvent | ClientEvent): string {
		switch (event.kind) {
			case 'execution': {
				return event.execution.kind;
			}

			case 'member': {
				return event.member.status;
			}

			case 'shard': {
				return event.change;
			}

			case 'endpoint': {
				return event.state;
			}

			case 'client': {
				return `${event.listener}-${event.problem.kind}`;
			}

			case 'paused':
			case 'configuration':
			case 'configuration-refused': {
				return '';
			}
		}
	}

	return {
		count(event) {
			events.inc({kind: event.kind, detail: detailOf(event)});
		},
		observe(request) {
			requests.observe({status: request.status}, request.durationMs / 1000);
		},
		text: async () => registry.metrics(),
	};
}
