/**
The routes and pools tables that operators edit, their validation as a pair, and the order of accepted generations.
*/
import {err, ok, type Result} from 'neverthrow';
import {type Failure, failure} from './failure.js';
import {
	as, type ConfigurationGeneration, type EndpointId, type ObjectVersion, type PoolName, type RouteName,
} from './id.js';
import {type Pool} from './pool.js';
import {type Route} from './route.js';

/** A pair of tables that has been accepted. Generations increase by one and are never reverted. */
export type Configuration = {
	readonly generation: ConfigurationGeneration;
	readonly routes: readonly Route[];
	readonly pools: readonly Pool[];
	/** Versions of the edited tables from which this generation was created. */
	readonly sources: SourceVersions;
};

export type SourceVersions = {readonly routes: ObjectVersion; readonly pools: ObjectVersion};

/** Configuration of an instance that has not received any yet. */
export const emptyConfiguration: Configuration = {
	generation: as<ConfigurationGeneration>(0),
	routes: [],
	pools: [],
	sources: {routes: as<ObjectVersion>(0), pools: as<ObjectVersion>(0)},
};

function firstDuplicate<Value>(values: readonly Value[]): Value | undefined {
	const seen = new Set<Value>();
	for (const value of values) {
		if (seen.has(value)) {
			return value;
		}

		seen.add(value);
	}

	return undefined;
}

function refuse(message: string): Result<never, Failure> {
	return err(failure('configuration-refused', message, {step: 'configure', peer: 'operator'}));
}

function checkRoute(route: Route, pools: ReadonlyMap<PoolName, Pool>): Result<void, Failure> {
	const pool = pools.get(route.pool);
	if (!pool) {
		return refuse(`Route "${route.name}" names pool "${route.pool}", which does not exist`);
	}

	const expectedKind = route.kind === 'model' ? 'engine' : 'service';
	if (pool.kind !== expectedKind) {
		return refuse(`Route "${route.name}" is a ${route.kind} route, but pool "${route.pool}" holds ${pool.kind} endpoints`);
	}

	return ok();
}

/** Validates a pair of tables. Fails with `configuration-refused`, naming the entry and the reason. */
export function checkTables(routes: readonly Route[], pools: readonly Pool[]): Result<void, Failure> {
	const route = firstDuplicate<RouteName>(routes.map(route => route.name));
	if (route) {
		return refuse(`Route "${route}" is defined twice`);
	}

	const pool = firstDuplicate<PoolName>(pools.map(pool => pool.name));
	if (pool) {
		return refuse(`Pool "${pool}" is defined twice`);
	}

	const endpoint = firstDuplicate<EndpointId>(pools.flatMap(pool => pool.endpoints.map(endpoint => endpoint.id)));
	if (endpoint) {
		return refuse(`Endpoint "${endpoint}" is listed twice`);
	}

	const byName = new Map(pools.map(pool => [pool.name, pool]));
	for (const route of routes) {
		const checked = checkRoute(route, byName);
		if (checked.isErr()) {
			return checked;
		}
	}

	return ok();
}

/** Decision about a pair of tables that has been read. */
export type Acceptance
	= | {readonly kind: 'unchanged'}
		| {readonly kind: 'accept'; readonly configuration: Configuration}
		| {readonly kind: 'refuse'; readonly sources: SourceVersions; readonly failure: Failure};

/** Decides whether a pair of tables replaces the accepted configuration. */
export function acceptTables(
	accepted: Configuration,
	tables: {readonly routes: readonly Route[]; readonly pools: readonly Pool[]; readonly sources: SourceVersions},
): Acceptance {
	const {sources} = tables;
	if (sources.routes === accepted.sources.routes && sources.pools === accepted.sources.pools) {
		return {kind: 'unchanged'};
	}

	if (sources.routes < accepted.sources.routes || sources.pools < accepted.sources.pools) {
		return {kind: 'unchanged'};
	}

	const checked = checkTables(tables.routes, tables.pools);
	if (checked.isErr()) {
		return {kind: 'refuse', sources, failure: checked.error};
	}

	const generation = as<ConfigurationGeneration>(accepted.generation + 1);
	return {
		kind: 'accept', configuration: {
			generation, routes: tables.routes, pools: tables.pools, sources,
		},
	};
}

/** The newer of two configurations; an instance never returns to an older one. */
export function newerConfiguration(current: Configuration, candidate: Configuration): Configuration {
	return candidate.generation > current.generation ? candidate : current;
}
