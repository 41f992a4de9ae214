/**
Routing table: selects the route of a request by its host and the longest matching path prefix, and the
pool by the weights of the route's shares.
*/
import {as, type Milliseconds, type PoolName} from './id.js';
import {type RelayConfiguration, type RelayPool, type RelayRoute} from './relay.js';
import {type KeyDigest, type Workspace, type WorkspaceName} from './workspace.js';

export type RoutingTable = {
	readonly configuration: RelayConfiguration;
	readonly routeOf: (host: string, path: string) => RelayRoute | undefined;
	readonly pool: (name: PoolName) => RelayPool | undefined;
	readonly workspaceOf: (key: KeyDigest) => Workspace | undefined;
	readonly workspace: (name: WorkspaceName) => Workspace | undefined;
	/** Rank of a workspace's requests on a route: the priority of the workspace, then that of the route. */
	readonly rankOf: (route: RelayRoute, workspace: Workspace | undefined) => number;
	/** Pools whose streams may be resumed. */
	readonly resumablePools: () => readonly PoolName[];
	/** Longest retention of the routes that keep turns; undefined if no route does. */
	readonly turnRetention: () => Milliseconds | undefined;
};

/** Creates the routing table of a configuration. */
export function createRoutingTable(configuration: RelayConfiguration): RoutingTable {
	const byHost = new Map<string, RelayRoute[]>();
	for (const route of configuration.routes) {
		const routes = byHost.get(route.host) ?? [];
		routes.push(route);
		byHost.set(route.host, routes);
	}

	for (const routes of byHost.values()) {
		routes.sort((left, right) => right.prefix.length - left.prefix.length);
	}

	const pools = new Map(configuration.pools.map(pool => [pool.name, pool]));
	const resumable = new Set(configuration.routes.filter(route => route.repetition === 'resumable').flatMap(route => route.shares.map(share => share.pool)));
	const retentions = configuration.routes.filter(route => route.keepsTurns).map(route => route.retention);
	const turnRetention = retentions.length > 0 ? as<Milliseconds>(Math.max(...retentions)) : undefined;
	const workspaces = new Map(configuration.workspaces?.map(workspace => [workspace.name, workspace]));
	const workspacesByKey = new Map(configuration.workspaces?.flatMap(workspace => workspace.keys.map(key => [key, workspace] as const)));
	const rankCount = 1 + Math.max(0, ...new Set(configuration.routes.map(route => route.rank)));
	return {
		configuration,
		routeOf: (host, path) => byHost.get(host)?.find(route => path.startsWith(route.prefix)),
		pool: name => pools.get(name),
		workspaceOf: key => workspacesByKey.get(key),
		workspace: name => workspaces.get(name),
		rankOf: (route, workspace) => workspace?.priority === undefined ? route.rank : workspace.priority + (route.rank / rankCount),
		resumablePools: () => [...resumable],
		turnRetention: () => turnRetention,
	};
}

/** Chooses the pool of one of the route's shares, by weight; `fraction` is uniform in [0, 1). */
export function choosePool(route: RelayRoute, fraction: number): PoolName | undefined {
	const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
	let remaining = fraction * total;
	for (const share of route.shares) {
		remaining -= share.weight;
		if (remaining < 0) {
			return share.pool;
		}
	}

	return route.shares.at(-1)?.pool;
}
