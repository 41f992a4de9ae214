/**
Finds programs that have ended, by asking the owners of their home shards.
*/
import {
	as, homeOf, type InstanceId, type Milliseconds, type ProgramId,
} from '../contracts/id.js';
import {type DataCentre} from './data-centre.js';
import {shardKey} from './ownership.js';
import {type Peers, type ShardRequest} from './peers.js';

/** Timeout of a request to the owner of a home shard. */
const requestTimeoutMs = 1000;

export type EndedPrograms = {
	/** Selects the programs that their home reports as ended. Those whose home does not reply are left out. */
	readonly among: (programs: readonly ProgramId[]) => Promise<readonly ProgramId[]>;
};

export type EndedProgramsOptions = {
	readonly id: InstanceId;
	readonly dataCentre: () => Pick<DataCentre, 'owner' | 'answer'>;
	readonly peers: Pick<Peers, 'shard'>;
};

function groupByHome(programs: readonly ProgramId[]): Map<string, ProgramId[]> {
	const groups = new Map<string, ProgramId[]>();
	for (const program of programs) {
		const key = shardKey(homeOf(program));
		groups.set(key, [...(groups.get(key) ?? []), program]);
	}

	return groups;
}

/** Creates the search for ended programs of an instance. */
export function createEndedPrograms({id, dataCentre, peers}: EndedProgramsOptions): EndedPrograms {
	async function endedOf(programs: readonly ProgramId[]): Promise<readonly ProgramId[]> {
		const [first] = programs;
		const owner = first === undefined ? undefined : dataCentre().owner(homeOf(first));
		if (first === undefined || !owner) {
			return [];
		}

		const request: ShardRequest = {kind: 'living', home: homeOf(first), programs};
		const reply = owner.id === id ? await dataCentre().answer(request) : await peers.shard(owner, request, as<Milliseconds>(requestTimeoutMs));
		return reply.kind === 'living' ? programs.filter(program => !reply.programs.includes(program)) : [];
	}

	return {
		async among(programs) {
			const groups = groupByHome(programs);
			const results = await Promise.all([...groups.values()].map(async group => endedOf(group)));
			return results.flat();
		},
	};
}
