/**
Branded identifiers and units. A value is branded once, where it is created or validated, so that the
compiler rejects a program id in place of a call id, or bytes in place of tokens.
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
/** Version of the software that an endpoint runs. Versions are compared for equality only. */
export type SoftwareVersion = Brand<string, 'SoftwareVersion'>;
export type PromptPartId = Brand<string, 'PromptPartId'>;
/** Owner of a slot in a token ledger: one incarnation of an instance, or the record in the store. */
export type CounterId = Brand<string, 'CounterId'>;
export type Address = Brand<string, 'Address'>;

export type Incarnation = Brand<number, 'Incarnation'>;
/** One run of an instance's process, from its start to its end. */
export type ProcessId = Brand<string, 'ProcessId'>;
export type ShardNumber = Brand<number, 'ShardNumber'>;
export type FencingNumber = Brand<number, 'FencingNumber'>;
export type ConfigurationGeneration = Brand<number, 'ConfigurationGeneration'>;
/** Sequence number of a change that one incarnation of an instance made to its tables. */
export type ChangeNumber = Brand<number, 'ChangeNumber'>;
export type ObjectVersion = Brand<number, 'ObjectVersion'>;
export type Milliseconds = Brand<number, 'Milliseconds'>;
export type Tokens = Brand<number, 'Tokens'>;
export type Bytes = Brand<number, 'Bytes'>;

/** Brands a value that has been validated or freshly created. */
export function as<Branded extends string | number>(value: Branded extends string ? string : number): Branded {
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- The only place that applies a brand.
	return value as Branded;
}

/** Splits an address into host and port. */
export function splitAddress(address: Address): {readonly host: string; readonly port: number} {
	const [host = '', port = '0'] = address.split(':');
	return {host, port: Number(port)};
}

/** Number of shards over which the programs of one data centre are distributed. */
export const shardsPerDataCentre = 32;

/** The data centre and shard that a program belongs to; its id contains both. */
export type Home = {
	readonly dataCentre: DataCentreId;
	readonly shard: ShardNumber;
};

const programPattern = /^([a-z\d][a-z\d\-]{0,62})\.(\d{1,3})\.([a-z\d]{8,40})$/v;

/** Creates a program id that contains its home. `unique` is a random lower-case suffix of 8 to 40 characters. */
export function createProgramId(home: Home, unique: string): ProgramId {
	return as<ProgramId>(`${home.dataCentre}.${home.shard}.${unique}`);
}

/** Validates a program id received from a caller. Fails with `invalid-request`. */
export function parseProgramId(text: string): Result<ProgramId, Failure> {
	const match = programPattern.exec(text);
	if (match && Number(match[2]) < shardsPerDataCentre) {
		return ok(as<ProgramId>(text));
	}

	return err(failure('invalid-request', 'The program id is malformed', {step: 'validate', peer: 'caller'}));
}

/** Extracts the home from a program id. */
export function homeOf(program: ProgramId): Home {
	const [dataCentre = '', shard = ''] = program.split('.');
	return {dataCentre: as<DataCentreId>(dataCentre), shard: as<ShardNumber>(Number(shard))};
}
