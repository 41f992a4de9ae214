/**
The endpoints for relayed requests, as they are known to this instance.
*/
import {type Random} from '../contracts/clock.js';
import {
	as, type EndpointId, type Milliseconds, type PoolName, type SoftwareVersion,
} from '../contracts/id.js';
import {type ListedEndpoint} from '../contracts/relay.js';
import {type PromptPart} from '../contracts/relay-request.js';
import {type DirectoryEntry} from '../zones/endpoint-directory.js';
import {type PromptLocation} from './prompt-locations.js';
import {type Monitoring} from './endpoint-availability.js';
import {createRelayEndpoint, type LoadSource, type RelayEndpoint} from './relay-endpoint.js';

/** Time for which it is remembered that an endpoint leaves, in ms; it ends within seconds. */
const leavingMemoryMs = 60_000;

export type RelayFleet = {
	readonly apply: (entry: DirectoryEntry) => void;
	/** The endpoint of which a change of the list, not yet applied, shows that it or its incarnation has ended without leaving. */
	readonly endedBy: (entry: DirectoryEntry) => EndpointId | undefined;
	/** The endpoints of the pool, or of one software version in it, that are not leaving. */
	readonly serving: (pool: PoolName, version?: SoftwareVersion) => readonly RelayEndpoint[];
	/**
	Records that the incarnation of an endpoint that started at `bornAt` said that it leaves; returns whether that is new. It
	is remembered while the list drops the endpoint for a moment.
	*/
	readonly recordLeaving: (id: EndpointId, bornAt: Milliseconds | undefined, now: Milliseconds) => boolean;
	/** Forgets the failures of endpoints, which were those of the path to them. */
	readonly forgetFailures: () => void;
	readonly endpoint: (id: EndpointId) => RelayEndpoint | undefined;
	readonly endpoints: () => readonly RelayEndpoint[];
	/** Records which endpoints have computed the beginning of a prompt, as reported by another instance. */
	readonly recordPromptLocations: (prompt: readonly PromptPart[], places: readonly PromptLocation[]) => void;
	/** Whether the endpoint is still listed and not leaving. */
	readonly isServing: (id: EndpointId) => boolean;
	/** Records a peer's report of its requests at an endpoint, and of the latency that it observes there (`pace`), in ms. */
	readonly recordPeerLoad: (source: LoadSource, load: {readonly id: EndpointId; readonly inFlight: number; readonly pace: number | undefined}, now: Milliseconds) => void;
};

/** Creates an empty fleet. */
export function createRelayFleet(random: Random, monitoring: Monitoring = 'connections'): RelayFleet {
	const byId = new Map<EndpointId, RelayEndpoint>();
	/** Incarnations that said that they leave. */
	const left = new Map<EndpointId, {readonly bornAt: Milliseconds | undefined; readonly until: Milliseconds}>();

	function add(listed: ListedEndpoint): void {
		const endpoint = createRelayEndpoint(listed, monitoring, random);
		const earlier = left.get(listed.id);
		if (earlier && earlier.bornAt === listed.bornAt) {
			endpoint.recordLeaving();
		}

		byId.set(listed.id, endpoint);
	}

	const serving = (pool: PoolName, version?: SoftwareVersion) => [...byId.values()].filter(endpoint => {
		const listed = endpoint.listed();
		return listed.pool === pool && !endpoint.isLeaving() && (version === undefined || listed.version === version);
	});

	return {
		apply(entry) {
			switch (entry.kind) {
				case 'listed': {
					const {endpoint} = entry;
					const existing = byId.get(endpoint.id);
					if (!existing) {
						add(endpoint);
						return;
					}

					const {address, bornAt} = existing.listed();
					if (address !== endpoint.address || bornAt !== endpoint.bornAt) {
						existing.reset();
					}

					existing.update(endpoint);
					return;
				}

				case 'removed': {
					byId.delete(entry.id);
				}
			}
		},
		endedBy(entry) {
			const id = entry.kind === 'listed' ? entry.endpoint.id : entry.id;
			const known = byId.get(id);
			if (!known || known.isLeaving()) {
				return undefined;
			}

			return entry.kind === 'removed' || entry.endpoint.bornAt !== known.listed().bornAt ? id : undefined;
		},
		serving,
		recordLeaving(id, bornAt, now) {
			const endpoint = byId.get(id);
			for (const [other, {until}] of left) {
				if (until < now) {
					left.delete(other);
				}
			}

			if (endpoint?.listed().bornAt !== bornAt || !endpoint?.recordLeaving()) {
				return false;
			}

			left.set(id, {bornAt, until: as<Milliseconds>(now + leavingMemoryMs)});
			return true;
		},
		forgetFailures() {
			for (const {availability} of byId.values()) {
				availability.reset();
			}
		},
		endpoint: id => byId.get(id),
		endpoints: () => [...byId.values()],
		recordPromptLocations(prompt, places) {
			for (const {part, endpoint} of places) {
				const end = prompt.findIndex(({id}) => id === part);
				byId.get(endpoint)?.markCached(prompt.slice(0, end + 1));
			}
		},
		isServing: id => byId.has(id) && !byId.get(id)?.isLeaving(),
		recordPeerLoad(source, load, now) {
			byId.get(load.id)?.recordPeerLoad(source, load, now);
		},
	};
}
