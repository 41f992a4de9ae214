/**
State of a relaying instance as its operators see it: counts for metrics, and a dump. Keys of workspaces are in neither.
*/
import {type Clock} from '../contracts/clock.js';
import {type InstanceId} from '../contracts/id.js';
import {type ObjectStore} from '../contracts/object-store.js';
import {type TokenLedger} from '../contracts/token-ledger.js';
import {type Allotments} from '../zones/allotments/allotments.js';
import {type Membership} from '../zones/membership.js';
import {type SharedTables} from '../zones/shared-tables.js';
import {type WarmUp} from '../zones/warm-up.js';
import {type Relay} from './relay.js';
import {type RelayFleet} from './relay-fleet.js';

export type InstanceStateOptions = {
	readonly id: InstanceId;
	readonly membership: Pick<Membership, 'self' | 'members'>;
	readonly fleet: RelayFleet;
	readonly relay: Pick<Relay, 'active'>;
	readonly tables: Pick<SharedTables, 'digest' | 'age'>;
	readonly warmUp: Pick<WarmUp, 'isWarm'>;
	readonly ledger: Pick<TokenLedger, 'programs' | 'accounts'>;
	readonly allotments: Pick<Allotments, 'coordinated'>;
	readonly store: Pick<ObjectStore, 'calls'>;
	readonly clock: Clock;
};

export type InstanceState = {
	readonly dump: () => unknown;
	/** Current counts for metrics. */
	readonly gauges: () => Readonly<Record<string, number>>;
};

/** Creates the view of an instance's state. */
export function createInstanceState(options: InstanceStateOptions): InstanceState {
	const {
		id, membership, fleet, relay, tables, warmUp, ledger, allotments, store, clock,
	} = options;
	return {
		gauges: () => ({
			activeRequests: relay.active(),
			members: membership.members().filter(member => member.status === 'alive').length,
			endpoints: fleet.endpoints().length,
			limitedEndpoints: fleet.endpoints().filter(endpoint => endpoint.rateLimit().limit.kind === 'limited').length,
			coordinatedWorkspaces: allotments.coordinated().length,
			programs: ledger.programs().length,
			storeCalls: store.calls(),
			generation: tables.digest().generation,
			tablesAgeMs: Math.round(tables.age()),
		}),
		dump: () => ({
			id,
			isLeaving: membership.self().status === 'leaving',
			isWarm: warmUp.isWarm(),
			digest: tables.digest(),
			active: relay.active(),
			storeCalls: store.calls(),
			members: membership.members(),
			programs: ledger.accounts(),
			coordinatedWorkspaces: allotments.coordinated(),
			endpoints: fleet.endpoints().map(endpoint => ({
				...endpoint.listed(), inFlight: endpoint.inFlight(), load: endpoint.load(clock.now()), pace: endpoint.recentLatency(clock.now()), rateLimit: endpoint.rateLimit().limit,
			})),
		}),
	};
}
