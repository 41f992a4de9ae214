/**
Settings of an entry instance: a TOML file, validated before anything starts.
*/
import {readFileSync} from 'node:fs';
import {err, ok, type Result} from 'neverthrow';
import {parse} from 'smol-toml';
import {z} from 'zod';
import {describeError, type Failure, failure} from '../contracts/failure.js';
import {
	as, type Address, type CustomerId, type DataCentreId, type InstanceId, type Milliseconds,
} from '../contracts/id.js';
import {type Policy} from '../machines/policy.js';

const defaultStopDeadlineMs = 30_000;

const name = z.string().regex(/^[a-z\d][a-z\d\-]{0,62}$/v, 'must be lower-case letters, digits or "-", at most 63');
const host = z.ipv4('must be an IP number');
const port = z.number().int().min(0).max(65_535);
const address = z.string().regex(/^(?:\d{1,3}\.){3}\d{1,3}:\d{1,5}$/v, 'must be an IP number and port');

const schema = z.strictObject({
	instance: z.strictObject({id: name, dataCentre: name}),
	callers: z.strictObject({host, port}),
	peers: z.strictObject({
		host, port, token: z.string().min(16, 'must have at least 16 characters'), seeds: z.array(address).default([]),
	}),
	operators: z.strictObject({host, port}),
	platform: z.strictObject({address}),
	customers: z.array(z.strictObject({name, keySha256: z.string().regex(/^[\da-f]{64}$/v, 'must be a SHA-256 digest in hexadecimal')})).min(1),
	scheduling: z.strictObject({
		policy: z.enum(['adaptive', 'naive']).default('adaptive'),
		commitWindowMs: z.number().int().min(0).max(10_000).default(0),
	}).prefault({}),
	log: z.strictObject({level: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info')}).prefault({}),
	stop: z.strictObject({deadlineMs: z.number().int().positive().max(600_000).default(defaultStopDeadlineMs)}).prefault({}),
});

type Parsed = z.output<typeof schema>;

export type Settings = {
	readonly id: InstanceId;
	readonly dataCentre: DataCentreId;
	readonly callers: Parsed['callers'];
	readonly peers: {readonly host: string; readonly port: number; readonly token: string; readonly seeds: readonly Address[]};
	readonly operators: Parsed['operators'];
	readonly platform: Address;
	readonly customers: ReadonlyMap<string, CustomerId>;
	readonly policy: Policy;
	readonly commitWindow: Milliseconds;
	readonly logLevel: Parsed['log']['level'];
	readonly stopDeadline: Milliseconds;
};

function refuse(file: string, message: string): Result<never, Failure> {
	return err(failure('invalid-request', `${file}: ${message}`, {step: 'settings', peer: file}));
}

function toSettings(parsed: Parsed): Settings {
	return {
		id: as<InstanceId>(parsed.instance.id),
		dataCentre: as<DataCentreId>(parsed.instance.dataCentre),
		callers: parsed.callers,
		peers: {...parsed.peers, seeds: parsed.peers.seeds.map(seed => as<Address>(seed))},
		operators: parsed.operators,
		platform: as<Address>(parsed.platform.address),
		customers: new Map(parsed.customers.map(customer => [customer.keySha256, as<CustomerId>(customer.name)])),
		policy: {kind: parsed.scheduling.policy},
		commitWindow: as<Milliseconds>(parsed.scheduling.commitWindowMs),
		logLevel: parsed.log.level,
		stopDeadline: as<Milliseconds>(parsed.stop.deadlineMs),
	};
}

/** Validates the text of a settings file. Fails with the file, the key and the reason. */
export function parseSettings(file: string, text: string): Result<Settings, Failure> {
	let value: unknown;
	try {
		value = parse(text);
	} catch (error) {
		return refuse(file, `not valid TOML: ${describeError(error)}`);
	}

	const parsed = schema.safeParse(value);
	if (parsed.success) {
		return ok(toSettings(parsed.data));
	}

	const reasons = parsed.error.issues.map(issue => `${issue.path.join('.') || 'settings'}: ${issue.message}`);
	return refuse(file, reasons.join('; '));
}

/** Reads and validates a settings file. */
export function readSettings(file: string): Result<Settings, Failure> {
	try {
		return parseSettings(file, readFileSync(file, 'utf8'));
	} catch (error) {
		return refuse(file, describeError(error));
	}
}
