/**
Metrics of a relaying instance in the Prometheus text format. docs/OPERATIONS.md explains each.
*/
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {type WorkspaceName} from '../contracts/workspace.js';
import {type RelayInstance} from '../machines/relay-instance.js';
import {type RelayInstanceEvent} from '../machines/relay-instance-event.js';
import {type RelayEvent} from '../machines/relay-event.js';
import {createTurnMetrics} from './turn-metrics.js';

/** Maximum number of workspaces that are counted by name; the others are counted together. */
const maximumWorkspaceLabels = 200;

const bucketsSeconds = [0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10];

export type RelayMetrics = {
	readonly count: (event: RelayInstanceEvent) => void;
	readonly registry: Registry;
	/** Returns all metrics in the text format. */
	readonly text: () => Promise<string>;
};

function detailOf(event: RelayInstanceEvent): string {
	switch (event.kind) {
		case 'relay': {
			return event.relay.kind;
		}

		case 'tables': {
			return event.tables.kind;
		}

		case 'budget': {
			return event.budget.kind;
		}

		case 'warm-up': {
			return event.warmUp.kind;
		}

		case 'versions': {
			return event.versions.kind;
		}

		case 'turns': {
			return event.turns.kind;
		}

		case 'path': {
			return event.path.kind;
		}

		case 'member': {
			return event.member.status;
		}

		case 'client': {
			return `${event.listener}-${event.problem.kind}`;
		}

		case 'allotment-held':
		case 'allotment-received':
		case 'allotment-yielded':
		case 'allotment-not-renewed':
		case 'allotment-unanswered':
		case 'allotment-slack':
		case 'leaving-reported':
		case 'rate-limit-reported':
		case 'permit-unanswered':
		case 'contact-searched':
		case 'paused': {
			return '';
		}
	}
}

/** Creates the metrics of one process; gauges are read on each scrape. */
export function createRelayMetrics(instance: () => Pick<RelayInstance, 'gauges'>): RelayMetrics {
	const registry = new Registry();
	const registers = [registry];
	const events = new Counter({
		name: 'hickoryfork_events_total', help: 'Decisions by kind and detail', labelNames: ['kind', 'detail'], registers,
	});
	const requests = new Histogram({
		name: 'hickoryfork_request_seconds', help: 'Time from a request to the end of its answer, by how it ended', labelNames: ['ending'], buckets: bucketsSeconds, registers,
	});
	const attempts = new Histogram({
		name: 'hickoryfork_attempt_seconds', help: 'Time of an attempt at an endpoint, by its result', labelNames: ['result'], buckets: bucketsSeconds, registers,
	});
	const workspaceRequests = new Counter({
		name: 'hickoryfork_workspace_requests_total', help: 'Requests by workspace and by whether its allotment let them go to an endpoint', labelNames: ['workspace', 'outcome'], registers,
	});
	const workspaceLabels = new Set<string>();
	const gauge = new Gauge({
		name: 'hickoryfork_state', help: 'Current counts', labelNames: ['of'], registers,
		collect() {
			for (const [name, value] of Object.entries(instance().gauges())) {
				gauge.set({of: name}, value);
			}
		},
	});

	const countTurns = createTurnMetrics(registry);
	function workspaceLabel(workspace: WorkspaceName): string {
		if (workspaceLabels.size < maximumWorkspaceLabels) {
			workspaceLabels.add(workspace);
		}

		return workspaceLabels.has(workspace) ? workspace : 'other';
	}

	function observe(event: RelayEvent): void {
		switch (event.kind) {
			case 'attempted': {
				attempts.observe({result: event.attempt.result.kind}, event.attempt.took / 1000);
				return;
			}

			case 'served':
			case 'cancelled': {
				requests.observe({ending: event.kind}, event.elapsed / 1000);
				return;
			}

			case 'refused': {
				requests.observe({ending: event.refusal.kind}, event.elapsed / 1000);
				break;
			}

			case 'permitted': {
				workspaceRequests.inc({workspace: workspaceLabel(event.workspace), outcome: event.isPermitted ? 'granted' : 'refused'});
				break;
			}

			case 'leaving':
			case 'rate-limit':
			case 'rate-limit-unreadable':
			case 'no-permit':
			case 'crash-suspected': {
				break;
			}
		}
	}

	return {
		count(event) {
			events.inc({kind: event.kind, detail: detailOf(event)});
			if (event.kind === 'relay') {
				observe(event.relay);
			} else if (event.kind === 'turns') {
				countTurns(event.turns);
			}
		},
		registry,
		text: async () => registry.metrics(),
	};
}
