/**
State of an entry instance for operators: counts for metrics, and a dump on request.
*/
import {type ConfigurationGeneration} from '../contracts/id.js';
import {type DataCentre} from '../zones/data-centre.js';
import {type Membership} from '../zones/membership.js';
import {type EngineMemory} from './engine-memory.js';
import {type Quarantine} from './quarantine.js';
import {type Status} from './status.js';

export type Gauges = {
	readonly members: number;
	readonly shards: number;
	readonly programs: number;
	readonly running: number;
	readonly heldBytes: number;
	readonly generation: number;
};

export type InstanceReport = {
	readonly gauges: () => Gauges;
	/** Complete state of the instance for operators. */
	readonly dump: () => Record<string, unknown>;
};

export type InstanceReportOptions = {
	readonly membership: Membership;
	readonly dataCentre: DataCentre;
	readonly status: Status;
	readonly quarantine: Quarantine;
	readonly memory: EngineMemory;
	readonly generation: () => ConfigurationGeneration;
};

/** Creates the report of an instance. */
export function createInstanceReport(options: InstanceReportOptions): InstanceReport {
	const {
		membership, dataCentre, status, quarantine, memory,
	} = options;

	function gauges(): Gauges {
		const shards = dataCentre.owned();
		return {
			members: membership.members().length,
			shards: shards.length,
			programs: shards.reduce((sum, shard) => sum + shard.programs(), 0),
			running: shards.reduce((sum, shard) => sum + shard.running(), 0),
			heldBytes: dataCentre.heldBytes(),
			generation: options.generation(),
		};
	}

	function dump(): Record<string, unknown> {
		return {
			self: membership.self(),
			members: membership.members(),
			gauges: gauges(),
			shards: dataCentre.owned().map(shard => ({
				home: shard.home,
				ledger: shard.journal.state(),
				programs: shard.programs(),
				running: shard.running(),
			})),
			endpoints: status.endpoints(),
			quarantine: quarantine.crashes(),
			released: memory.released(),
		};
	}

	return {gauges, dump};
}
