/**
The routes and pools tables as operators write them, in TOML or JSON, and their conversion into routes and pools.
*/
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {type Failure, failure} from './failure.js';
import {
	as, type Address, type DataCentreId, type EndpointId, type Milliseconds, type PoolName, type RouteName, type Tokens,
} from './id.js';
import {type Pool} from './pool.js';
import {type Route} from './route.js';

const maximumTimeoutMs = 3_600_000;
const maximumCompletionTokens = 100_000;
const maximumConcurrency = 4096;

const name = z.string().regex(/^[a-z\d][a-z\d_\-]{0,62}$/v, 'must be lower-case letters, digits, "-" or "_", at most 63');
const timeout = z.number().int().positive().max(maximumTimeoutMs);

const routeEntry = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('model'), name, pool: name, timeoutMs: timeout, maximumTokens: z.number().int().positive().max(maximumCompletionTokens),
	}),
	z.strictObject({
		kind: z.literal('service'), name, pool: name, timeoutMs: timeout, repeatable: z.boolean(),
	}),
]);

const endpointEntry = z.strictObject({
	id: name,
	dataCentre: name,
	address: z.string().regex(/^(?:\d{1,3}\.){3}\d{1,3}:\d{1,5}$/v, 'must be an IPv4 address and port'),
	checksFencing: z.boolean().default(false),
});

const poolEntry = z.strictObject({
	name,
	kind: z.enum(['engine', 'service']),
	concurrency: z.number().int().positive().max(maximumConcurrency),
	endpoints: z.array(endpointEntry),
});

const routesTable = z.strictObject({routes: z.array(routeEntry)});
const poolsTable = z.strictObject({pools: z.array(poolEntry)});

/** An entry of the routes table as written by operators. */
export type RouteEntry = z.input<typeof routeEntry>;

/** An entry of the pools table as written by operators. */
export type PoolEntry = z.input<typeof poolEntry>;

function validationFailure(table: string, error: z.ZodError): Failure {
	const reasons = error.issues.map(issue => `${issue.path.join('.') || table}: ${issue.message}`);
	return failure('configuration-refused', `Table "${table}" is not valid: ${reasons.join('; ')}`, {step: 'configure', peer: 'operator'});
}

function toRoute(entry: z.output<typeof routeEntry>): Route {
	const common = {name: as<RouteName>(entry.name), pool: as<PoolName>(entry.pool), timeout: as<Milliseconds>(entry.timeoutMs)};
	switch (entry.kind) {
		case 'model': {
			return {kind: 'model', ...common, limit: as<Tokens>(entry.maximumTokens)};
		}

		case 'service': {
			return {kind: 'service', ...common, repeatable: entry.repeatable};
		}
	}
}

function toPool(entry: z.output<typeof poolEntry>): Pool {
	return {
		name: as<PoolName>(entry.name),
		kind: entry.kind,
		concurrency: entry.concurrency,
		endpoints: entry.endpoints.map(endpoint => ({
			id: as<EndpointId>(endpoint.id),
			dataCentre: as<DataCentreId>(endpoint.dataCentre),
			address: as<Address>(endpoint.address),
			checksFencing: endpoint.checksFencing,
		})),
	};
}

/** Parses the routes table; an absent table has no routes. Fails with `configuration-refused`. */
export function parseRoutes(value: unknown): Result<Route[], Failure> {
	const parsed = routesTable.safeParse(value ?? {routes: []});
	return parsed.success ? ok(parsed.data.routes.map(entry => toRoute(entry))) : err(validationFailure('routes', parsed.error));
}

/** Parses the pools table; an absent table has no pools. Fails with `configuration-refused`. */
export function parsePools(value: unknown): Result<Pool[], Failure> {
	const parsed = poolsTable.safeParse(value ?? {pools: []});
	return parsed.success ? ok(parsed.data.pools.map(entry => toPool(entry))) : err(validationFailure('pools', parsed.error));
}
