/**
Branded identifiers and units. A value enters a brand once, where it is created or validated,
and keeps it; the compiler then refuses to confuse a program with a call or a token with a byte.
*/
import {err, ok, type Result} from 'neverthrow';
import {type Failure, failure} from './failure.js';

declare const brand: unique symbol;

/** A base type marked with a name that exists only for the compiler. */
export type Brand<Base, Name extends string> = Base & {readonly [brand]: Name};

export type ProgramId = Brand<string, 'ProgramId'>;
export type CallId = Brand<string, 'CallId'>;
export type AttemptId = Brand<string, 'AttemptId'>;
export type InstanceId = Brand<string, 'InstanceId'>;
export type EndpointId = Brand<string, 'EndpointId'>;
export type DataCentreId = Brand<string, 'DataCentreId'>;
export type CustomerId = Brand<string, 'CustomerId'>;
export type RouteName = Brand<string, 'RouteName'>;
export type PoolName = Brand<string, 'PoolName'>;
export type IdempotencyKey = Brand<string, 'IdempotencyKey'>;
export type ObjectName = Brand<string, 'ObjectName'>;
export type Nonce = Brand<string, 'Nonce'>;
export type PromptPartId = Brand<string, 'PromptPartId'>;
/** One life of an instance that counts tokens, or the store's record. */
export type CounterId = Brand<string, 'CounterId'>;
export type Address = Brand<string, 'Address'>;

export type Incarnation = Brand<number, 'Incarnation'>;
export type ShardNumber = Brand<number, 'ShardNumber'>;
export type FencingNumber = Brand<number, 'FencingNumber'>;
export type ConfigurationGeneration = Brand<number, 'ConfigurationGeneration'>;
/** Number of a change that one instance made to its tables, in one life of it. */
export type ChangeNumber = Brand<number, 'ChangeNumber'>;
export type ObjectVersion = Brand<number, 'ObjectVersion'>;
export type Milliseconds = Brand<number, 'Milliseconds'>;
export type Tokens = Brand<number, 'Tokens'>;
export type Bytes = Brand<number, 'Bytes'>;

/** Brands a value that has been validated or freshly created. */
export function as<Branded extends string | number>(value: Branded extends string ? string : number): Branded {
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- The one place where a brand is put on.
	return value as Branded;
}

/** Host and port that an address names. */
export function splitAddress(address: Address): {readonly host: string; readonly port: number} {
	const [host = '', port = '0'] = address.split(':');
	return {host, port: Number(port)};
}

/** Number of shards that the programs of one data centre are spread over. */
export const shardsPerDataCentre = 32;

/** Where a program lives: the data centre and shard that its id names. */
export type Home = {
	readonly dataCentre: DataCentreId;
	readonly shard: ShardNumber;
};

const programPattern = /^([a-z\d][a-z\d\-]{0,62})\.(\d{1,3})\.([a-z\d]{8,40})$/v;

/** Builds a program id that names its home. `unique` is a lower-case random suffix of 8 to 40 characters. */
export function createProgramId(home: Home, unique: string): ProgramId {
	return as<ProgramId>(`${home.dataCentre}.${home.shard}.${unique}`);
}

/** Validates a program id from outside. Fails with `invalid-request`. */
export function parseProgramId(text: string): Result<ProgramId, Failure> {
	const match = programPattern.exec(text);
	if (match && Number(match[2]) < shardsPerDataCentre) {
		return ok(as<ProgramId>(text));
	}

	return err(failure('invalid-request', 'The program id is malformed', {step: 'validate', peer: 'caller'}));
}

/** Reads the home out of a program id. */
export function homeOf(program: ProgramId): Home {
	const [dataCentre = '', shard = ''] = program.split('.');
	return {dataCentre: as<DataCentreId>(dataCentre), shard: as<ShardNumber>(Number(shard))};
}
