/**
Commands of hickoryforkctl. Each resolves to the text to print, or to a failure.
*/
import {err, ok, type Result} from 'neverthrow';
import {request} from 'undici';
import {checkTables} from '../contracts/configuration.js';
import {describeError, type Failure, failure} from '../contracts/failure.js';
import {
	as, type Address, type DataCentreId, type ObjectName, type ObjectVersion,
} from '../contracts/id.js';
import {type Platform} from '../contracts/platform.js';
import {parsePools, parseRoutes} from '../contracts/tables.js';
import {
	acceptedObject, poolsObject, refusedObject, routesObject,
} from '../zones/configuration-watch.js';
import {formatTable, readTableFile} from './tables-file.js';

export type Table = 'routes' | 'pools';

const objects: Readonly<Record<Table, ObjectName>> = {routes: routesObject, pools: poolsObject};
const timeoutMs = 5000;

function conflictFailure(message: string): Failure {
	return failure('conflict', message, {step: 'configure', peer: 'platform'});
}

function checkTablePair(routes: unknown, pools: unknown): Result<void, Failure> {
	return parseRoutes(routes).andThen(parsedRoutes => parsePools(pools).andThen(parsedPools => checkTables(parsedRoutes, parsedPools)));
}

/** Validates two table files together, without access to a platform. */
export function check(routesFile: string, poolsFile: string): Result<string, Failure> {
	return readTableFile(routesFile).andThen(routes => readTableFile(poolsFile).andThen(pools => checkTablePair(routes.value, pools.value)))
		.map(() => 'valid');
}

/** Formats a table as a file that `apply` accepts. */
export async function get(platform: Platform, table: Table): Promise<Result<string, Failure>> {
	const object = await platform.read(objects[table]);
	return object.map(({value, version}) => formatTable(value ?? {[table]: []}, version));
}

/** Writes an edited table, provided that nobody else has changed it since and that it is consistent with the other table. */
export async function apply(platform: Platform, table: Table, file: string): Promise<Result<string, Failure>> {
	const [edited, routes, pools] = [readTableFile(file), await platform.read(routesObject), await platform.read(poolsObject)];
	if (edited.isErr() || routes.isErr() || pools.isErr()) {
		return err(edited.isErr() ? edited.error : (routes.isErr() ? routes.error : pools._unsafeUnwrapErr()));
	}

	const {value, version} = edited.value;
	const current = table === 'routes' ? routes.value : pools.value;
	const expected = version ?? (current.version === 0 ? current.version : undefined);
	if (expected === undefined) {
		return err(conflictFailure(`${file} does not say which version it is based on; start from "hickoryforkctl get ${table}"`));
	}

	const checked = checkTablePair(table === 'routes' ? value : routes.value.value, table === 'pools' ? value : pools.value.value);
	return checked.isErr() ? err(checked.error) : write(platform, table, expected, value);
}

async function write(platform: Platform, table: Table, expected: ObjectVersion, value: unknown): Promise<Result<string, Failure>> {
	const update = await platform.update(objects[table], expected, value);
	switch (update.kind) {
		case 'written': {
			return ok(`${table} written as version ${update.version}`);
		}

		case 'conflict': {
			return err(conflictFailure(`Another operator changed ${table} since version ${expected}; get it again and repeat the edit`));
		}

		case 'unavailable': {
			return err(update.failure);
		}

		case 'doubtful': {
			return err({...update.failure, message: `${update.failure.message}; it is unknown whether ${table} was written; check with "hickoryforkctl get"`, execution: 'unknown'});
		}
	}
}

/** Formats the accepted generation, the last configuration that was refused and the report of each data centre. */
export async function status(platform: Platform): Promise<Result<string, Failure>> {
	const [accepted, refused, listing] = [await platform.read(acceptedObject), await platform.read(refusedObject), await platform.instances()];
	if (accepted.isErr() || refused.isErr() || listing.isErr()) {
		return err(accepted.isErr() ? accepted.error : (refused.isErr() ? refused.error : listing._unsafeUnwrapErr()));
	}

	const dataCentres = new Set<DataCentreId>(listing.value.map(entry => entry.dataCentre));
	const reports: Record<string, unknown> = {};
	for (const dataCentre of [...dataCentres].toSorted((left, right) => left.localeCompare(right))) {
		const report = await platform.read(as<ObjectName>(`status/data-centre/${dataCentre}`));
		reports[dataCentre] = report.isOk() ? report.value.value : undefined;
	}

	const generation = typeof accepted.value.value === 'object' && accepted.value.value !== null && 'generation' in accepted.value.value
		? accepted.value.value.generation
		: 0;
	return ok(JSON.stringify({generation, refused: refused.value.value ?? 'nothing', dataCentres: reports}, null, '\t'));
}

/** Sends a request to the operator address of an instance and formats the response. */
export async function queryInstance(address: Address, method: 'GET' | 'POST', path: string): Promise<Result<string, Failure>> {
	try {
		const response = await request(`http://${address}${path}`, {method, headersTimeout: timeoutMs, bodyTimeout: timeoutMs});
		const body: unknown = await response.body.json();
		return ok(JSON.stringify(body, null, '\t'));
	} catch (error) {
		return err(failure('peer-unreachable', `${address}${path}: ${describeError(error)}`, {step: 'forward', peer: address}));
	}
}
