/**
Structured log in JSON lines. docs/OPERATIONS.md lists every event.
*/
import process from 'node:process';
import bunyan from 'bunyan';
import {type Milliseconds} from '../contracts/id.js';
import {type InstanceEvent} from '../machines/instance-event.js';
import {type Member} from '../zones/membership.js';

export type Log = bunyan;

/** Creates the log of one process, written to standard output. */
export function createLog(program: string, instance: string, level: bunyan.LogLevelString): Log {
	return bunyan.createLogger({
		name: program, instance, level, stream: process.stdout,
	});
}

/** Logs a change in the membership status of another instance. */
export function logMember(log: Log, member: Member): void {
	log.info({
		event: 'member', member: member.id, status: member.status, incarnation: member.incarnation,
	}, `member ${member.id} is ${member.status}`);
}

/** Logs that this process did not run for a while. */
export function logPause(log: Log, gap: Milliseconds): void {
	log.warn({event: 'paused', gapMs: Math.round(gap)}, `process was paused for ${Math.round(gap)} ms`);
}

/** Logs an event of an instance. */
export function logEvent(log: Log, event: InstanceEvent): void {
	switch (event.kind) {
		case 'execution': {
			log.debug({event: 'execution', ...event.execution}, `call ${event.execution.kind}`);
			return;
		}

		case 'member': {
			logMember(log, event.member);
			return;
		}

		case 'paused': {
			logPause(log, event.gap);
			return;
		}

		case 'shard': {
			log.info({
				event: 'shard', change: event.change, shard: event.home.shard, programs: event.programs,
			}, `shard ${event.home.shard} ${event.change}`);
			return;
		}

		case 'configuration': {
			log.info({event: 'configuration', generation: event.configuration.generation}, `configuration ${event.configuration.generation} applied`);
			return;
		}

		case 'configuration-refused': {
			log.warn({event: 'configuration-refused', reason: event.failure.message}, 'configuration refused');
			return;
		}

		case 'endpoint': {
			log.info({event: 'endpoint', endpoint: event.endpoint, state: event.state}, `endpoint ${event.endpoint} is ${event.state}`);
		}
	}
}
