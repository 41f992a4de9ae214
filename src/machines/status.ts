/**
Status for operators: the state of the instances and endpoints of a data centre, written to the platform by one
instance and only when it has changed.
*/
import {type Clock} from '../contracts/clock.js';
import {
	as, type ConfigurationGeneration, type DataCentreId, type InstanceId, type Milliseconds, type ObjectName,
} from '../contracts/id.js';
import {type Platform} from '../contracts/platform.js';
import {type Member} from '../zones/membership.js';
import {type Fleet} from './fleet.js';

const statusIntervalMs = 5000;

export type Status = {
	/** Writes the status while this instance is responsible for it, until the signal aborts. */
	readonly run: (signal: AbortSignal) => Promise<void>;
	readonly endpoints: () => ReadonlyArray<{readonly id: string; readonly health: unknown; readonly load: number; readonly paceMs: number}>;
};

export type StatusOptions = {
	readonly id: InstanceId;
	readonly dataCentre: DataCentreId;
	readonly platform: Platform;
	readonly clock: Clock;
	readonly fleet: Fleet;
	readonly members: () => readonly Member[];
	readonly generation: () => ConfigurationGeneration;
	/** Configuration generation that each instance last reported. */
	readonly generations: () => ReadonlyMap<InstanceId, ConfigurationGeneration>;
	readonly isResponsible: () => boolean;
};

/** Creates the status writer for an instance's data centre. */
export function createStatus(options: StatusOptions): Status {
	const {clock, platform, fleet} = options;

	function endpointStates() {
		return fleet.backEnds().map(backEnd => ({
			id: backEnd.endpoint.id,
			health: backEnd.health(),
			load: backEnd.load(),
			paceMs: Math.round(backEnd.pace().call),
		}));
	}

	async function run(signal: AbortSignal): Promise<void> {
		let written = '';
		while (!signal.aborted) {
			await clock.sleep(as<Milliseconds>(statusIntervalMs), signal);
			if (!options.isResponsible()) {
				continue;
			}

			const status = composeStatus();
			if (JSON.stringify(status) !== written && await putStatus(status)) {
				written = JSON.stringify(status);
			}
		}
	}

	function composeStatus() {
		const generations = options.generations();
		const local = options.members().filter(member => member.dataCentre === options.dataCentre);
		return {
			by: options.id,
			generation: options.generation(),
			instances: local.map(member => ({
				id: member.id,
				status: member.status,
				generation: member.id === options.id ? options.generation() : generations.get(member.id) ?? 0,
			})),
			outOfUse: endpointStates().filter(state => state.health.kind !== 'healthy').map(state => ({id: state.id, reason: state.health.kind})),
		};
	}

	async function putStatus(status: unknown): Promise<boolean> {
		const name = as<ObjectName>(`status/data-centre/${options.dataCentre}`);
		const current = await platform.read(name);
		if (current.isErr()) {
			return false;
		}

		const update = await platform.update(name, current.value.version, status);
		return update.kind === 'written';
	}

	return {run, endpoints: endpointStates};
}
