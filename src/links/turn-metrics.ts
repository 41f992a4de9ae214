/**
Metrics of kept turns in the Prometheus text format. docs/OPERATIONS.md explains each.
*/
import {Counter, Histogram, type Registry} from 'prom-client';
import {type TurnEvent} from '../zones/conversations/turn-event.js';

const bucketsSeconds = [0.002, 0.005, 0.01, 0.02, 0.06, 0.12, 0.25, 0.5, 1];

/** Creates the metrics in a registry. Returns the function that counts an event. */
export function createTurnMetrics(registry: Registry): (event: TurnEvent) => void {
	const registers = [registry];
	const copies = new Counter({
		name: 'hickoryfork_turn_copies_total', help: 'Copies of turns: stored, late (another archive was asked beside) or missing when a turn was not kept', labelNames: ['result'], registers,
	});
	const chainTurns = new Counter({
		name: 'hickoryfork_turn_reads_total', help: 'Turns of chains, by where they were read from', labelNames: ['source'], registers,
	});
	const refusals = new Counter({
		name: 'hickoryfork_turn_refusals_total', help: 'Turns refused as unknown, by the proof, and as unavailable, by the reason', labelNames: ['refusal', 'detail'], registers,
	});
	const durations = new Histogram({
		name: 'hickoryfork_turn_seconds', help: 'Time to keep a turn and to read a chain', labelNames: ['step'], buckets: bucketsSeconds, registers,
	});

	return event => {
		switch (event.kind) {
			case 'kept': {
				copies.inc({result: 'stored'}, event.copies.length);
				copies.inc({result: 'late'}, event.late);
				durations.observe({step: 'keep'}, event.took / 1000);
				return;
			}

			case 'not-kept': {
				copies.inc({result: 'stored'}, event.copies.length);
				copies.inc({result: 'missing'}, event.missing.length);
				durations.observe({step: 'not-kept'}, event.took / 1000);
				return;
			}

			case 'read': {
				for (const [source, turns] of Object.entries(event.sources)) {
					chainTurns.inc({source}, turns);
				}

				durations.observe({step: 'read'}, event.took / 1000);
				return;
			}

			case 'unknown': {
				refusals.inc({refusal: 'unknown', detail: event.proof});
				return;
			}

			case 'unavailable': {
				refusals.inc({refusal: 'unavailable', detail: event.reason});
				return;
			}

			case 'too-long': {
				refusals.inc({refusal: 'too-long', detail: ''});
				break;
			}

			// These are in the counter of all events only.
			case 'part-kept':
			case 'part-read':
			case 'contact':
			case 'archives':
			case 'archives-unavailable':
			case 'archive-unreadable':
			case 'archive': {
				break;
			}
		}
	};
}
