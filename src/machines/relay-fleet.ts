/**
The endpoints of relayed work, as this instance uses them.
*/
import {
	type EndpointId, type Milliseconds, type PoolName,
} from '../contracts/id.js';
import {type PromptPart} from '../contracts/relay-request.js';
import {type DirectoryEntry} from '../zones/endpoint-directory.js';
import {type PromptLocation} from './prompt-locations.js';
import {createRelayEndpoint, type LoadSource, type RelayEndpoint} from './relay-endpoint.js';
import {place, type Placement, type RelayQuery} from './relay-placement.js';

export type RelayFleet = {
	readonly apply: (entry: DirectoryEntry) => void;
	/** The endpoint of the pool with the least expected time, among those that are not leaving. */
	readonly choose: (pool: PoolName, query: RelayQuery) => Placement | undefined;
	readonly endpoint: (id: EndpointId) => RelayEndpoint | undefined;
	readonly endpoints: () => readonly RelayEndpoint[];
	/** Takes from another instance which endpoints have computed the beginning of a prompt. */
	readonly recordPromptLocations: (prompt: readonly PromptPart[], places: readonly PromptLocation[]) => void;
	/** Whether the endpoint is still listed and not leaving. */
	readonly isServing: (id: EndpointId) => boolean;
	/** Takes a peer's report of its requests at an endpoint, and of the pace that it sees, in ms. */
	readonly recordPeerLoad: (source: LoadSource, load: {readonly id: EndpointId; readonly inFlight: number; readonly pace: number | undefined}, now: Milliseconds) => void;
};

/** Creates an empty fleet. */
export function createRelayFleet(): RelayFleet {
	const known = new Map<EndpointId, RelayEndpoint>();

	return {
		apply(entry) {
			switch (entry.kind) {
				case 'listed': {
					const {endpoint} = entry;
					const existing = known.get(endpoint.id);
					if (!existing) {
						known.set(endpoint.id, createRelayEndpoint(endpoint));
						return;
					}

					if (existing.listed().address !== endpoint.address) {
						existing.reset();
					}

					existing.update(endpoint);
					return;
				}

				case 'removed': {
					known.delete(entry.id);
				}
			}
		},
		choose(pool, query) {
			const endpoints = [...known.values()].filter(endpoint => endpoint.listed().pool === pool && !endpoint.listed().isLeaving);
			return place(endpoints, query);
		},
		endpoint: id => known.get(id),
		endpoints: () => [...known.values()],
		recordPromptLocations(prompt, places) {
			for (const {part, endpoint} of places) {
				const end = prompt.findIndex(({id}) => id === part);
				known.get(endpoint)?.markCached(prompt.slice(0, end + 1));
			}
		},
		isServing: id => known.has(id) && !known.get(id)?.listed().isLeaving,
		recordPeerLoad(source, load, now) {
			known.get(load.id)?.recordPeerLoad(source, load, now);
		},
	};
}
