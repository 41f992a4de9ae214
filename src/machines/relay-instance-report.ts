/**
What a relaying instance tells operators about its state: counts for metrics, and a dump. Keys of workspaces are in neither.
*/
import {type Clock} from '../contracts/clock.js';
import {type InstanceId} from '../contracts/id.js';
import {type ObjectStore} from '../contracts/object-store.js';
import {type TokenLedger} from '../contracts/token-ledger.js';
import {type Allotments} from '../zones/allotments/allotments.js';
import {type Conversations} from '../zones/conversations/conversations.js';
import {type SharedEndpointPaths} from '../zones/endpoint-paths/endpoint-paths.js';
import {type Membership} from '../zones/membership.js';
import {type SharedTables} from '../zones/shared-tables.js';
import {type Overload} from './overload.js';
import {type RelayFleet} from './relay-fleet.js';
import {type Relay} from './relay.js';

export type RelayInstanceReportOptions = {
	readonly id: InstanceId;
	readonly isLeaving: () => boolean;
	readonly isWarm: () => boolean;
	readonly tables: Pick<SharedTables, 'digest' | 'age' | 'waits'>;
	readonly paths: Pick<SharedEndpointPaths, 'isCutOff' | 'gateways'>;
	readonly relay: Pick<Relay, 'active'>;
	readonly overload: Pick<Overload, 'admittedShare'>;
	readonly fleet: Pick<RelayFleet, 'endpoints'>;
	readonly membership: Pick<Membership, 'members'>;
	readonly ledger: Pick<TokenLedger, 'accounts' | 'programs'>;
	readonly allotments: Pick<Allotments, 'coordinated'>;
	readonly conversations: Pick<Conversations, 'gauges'>;
	readonly store: Pick<ObjectStore, 'calls'>;
	readonly clock: Clock;
};

export type RelayInstanceReport = {
	readonly dump: () => unknown;
	/** Current counts for metrics. */
	readonly gauges: () => Readonly<Record<string, number>>;
};

/** Creates the report of an instance. */
export function createRelayInstanceReport(options: RelayInstanceReportOptions): RelayInstanceReport {
	const {
		paths, tables, relay, overload, fleet, membership, ledger, allotments, conversations, store, clock,
	} = options;
	return {
		gauges: () => ({
			activeRequests: relay.active(),
			admittedPercent: Math.round(overload.admittedShare() * 100),
			members: membership.members().filter(member => member.status === 'alive').length,
			endpoints: fleet.endpoints().length,
			limitedEndpoints: fleet.endpoints().filter(endpoint => endpoint.rateLimit().limit.kind === 'limited').length,
			coordinatedWorkspaces: allotments.coordinated().length,
			programs: ledger.programs().length,
			storeCalls: store.calls(),
			generation: tables.digest().generation,
			tablesAgeMs: Math.round(tables.age()),
			tablesFetchMs: Math.round(tables.waits().fetch),
			storeWatchMs: Math.round(tables.waits().watch),
			cutOffFromEndpoints: paths.isCutOff() ? 1 : 0,
			gateways: paths.gateways(),
			...conversations.gauges(),
		}),
		dump: () => ({
			id: options.id,
			isLeaving: options.isLeaving(),
			isWarm: options.isWarm(),
			digest: tables.digest(),
			active: relay.active(),
			storeCalls: store.calls(),
			members: membership.members(),
			coordinatedWorkspaces: allotments.coordinated(),
			programs: ledger.accounts(),
			turns: conversations.gauges(),
			endpoints: fleet.endpoints().map(endpoint => ({
				...endpoint.listed(), inFlight: endpoint.inFlight(), load: endpoint.load(clock.now()), pace: endpoint.recentLatency(clock.now()), rateLimit: endpoint.rateLimit().limit,
			})),
		}),
	};
}
