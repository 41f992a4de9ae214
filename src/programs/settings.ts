/**
Settings of an entry instance: a TOML file, validated before anything starts.
*/
import {type Result} from 'neverthrow';
import {z} from 'zod';
import {type Failure} from '../contracts/failure.js';
import {
	as, type Address, type CustomerId, type DataCentreId, type InstanceId, type Milliseconds,
} from '../contracts/id.js';
import {type ClientLimits} from '../contracts/client-limits.js';
import {type Policy} from '../machines/policy.js';
import {limitsField, toListenerLimits} from './limits-settings.js';
import {
	addressField, logField, parseSettingsText, readSettingsFile,
} from './settings-file.js';

const defaultStopDeadlineMs = 30_000;

const name = z.string().regex(/^[a-z\d][a-z\d\-]{0,62}$/v, 'must be lower-case letters, digits or "-", at most 63');
const host = z.ipv4('must be an IPv4 address');
const port = z.number().int().min(0).max(65_535);

const schema = z.strictObject({
	instance: z.strictObject({id: name, dataCentre: name}),
	callers: z.strictObject({host, port}),
	peers: z.strictObject({
		host, port, token: z.string().min(16, 'must have at least 16 characters'), seeds: z.array(addressField).default([]),
	}),
	operators: z.strictObject({host, port}),
	platform: z.strictObject({address: addressField}),
	customers: z.array(z.strictObject({name, keySha256: z.string().regex(/^[\da-f]{64}$/v, 'must be a SHA-256 digest in hexadecimal')})).min(1),
	scheduling: z.strictObject({
		policy: z.enum(['adaptive', 'naive']).default('adaptive'),
		commitWindowMs: z.number().int().min(0).max(10_000).default(0),
	}).prefault({}),
	limits: limitsField,
	log: logField,
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
	/** Limits on what all callers hold together. */
	readonly callerLimits: ClientLimits;
	readonly logLevel: Parsed['log']['level'];
	readonly stopDeadline: Milliseconds;
};

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
		callerLimits: toListenerLimits(parsed.limits).callers,
		logLevel: parsed.log.level,
		stopDeadline: as<Milliseconds>(parsed.stop.deadlineMs),
	};
}

/** Validates the text of a settings file. Fails with the file, the key and the reason. */
export function parseSettings(file: string, text: string): Result<Settings, Failure> {
	return parseSettingsText(file, text, schema).map(parsed => toSettings(parsed));
}

/** Reads and validates a settings file. */
export function readSettings(file: string): Result<Settings, Failure> {
	return readSettingsFile(file, parseSettings);
}
