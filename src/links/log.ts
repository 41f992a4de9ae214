/**
Log as JSON lines. docs/OPERATIONS.md lists every event.
*/
import process from 'node:process';
import bunyan from 'bunyan';
import {type InstanceEvent} from '../machines/instance.js';

export type Log = bunyan;

/** Creates the log of one process, written to standard output. */
export function createLog(program: string, instance: string, level: bunyan.LogLevelString): Log {
	return bunyan.createLogger({
		name: program, instance, level, stream: process.stdout,
	});
}

/** Writes an event of an instance. */
export function logEvent(log: Log, event: InstanceEvent): void {
	switch (event.kind) {
		case 'execution': {
			log.debug({event: 'execution', ...event.execution}, 'call');
			return;
		}

		case 'member': {
			log.info({
				event: 'member', member: event.member.id, status: event.member.status, incarnation: event.member.incarnation,
			}, 'member changed');
			return;
		}

		case 'paused': {
			log.warn({event: 'paused', gapMs: Math.round(event.gap)}, 'process was paused');
			return;
		}

		case 'shard': {
			log.info({
				event: 'shard', change: event.change, shard: event.home.shard, programs: event.programs,
			}, 'shard changed');
			return;
		}

		case 'configuration': {
			log.info({event: 'configuration', generation: event.configuration.generation}, 'configuration in force');
			return;
		}

		case 'configuration-refused': {
			log.warn({event: 'configuration-refused', reason: event.failure.message}, 'tables refused');
			return;
		}

		case 'endpoint': {
			log.info({event: 'endpoint', endpoint: event.endpoint, state: event.state}, 'endpoint changed');
		}
	}
}
