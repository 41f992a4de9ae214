/**
Settings of the relaying binaries: a TOML file, validated before anything starts.
*/
import {readFileSync} from 'node:fs';
import {err, ok, type Result} from 'neverthrow';
import {parse} from 'smol-toml';
import {z} from 'zod';
import {describeError, type Failure, failure} from '../contracts/failure.js';
import {
	as, type Address, type DataCentreId, type InstanceId, type Milliseconds,
} from '../contracts/id.js';

const address = z.string().regex(/^(?:\d{1,3}\.){3}\d{1,3}:\d{1,5}$/v, 'must be an IP number and port');

const schema = z.strictObject({
	instance: z.strictObject({id: z.string().min(1), dataCentre: z.string().min(1), firstStart: z.boolean().default(false)}),
	platform: z.strictObject({address}),
	callers: z.strictObject({address, readiness: address}).optional(),
	peers: z.strictObject({address, seeds: z.array(address).default([])}).optional(),
	operators: z.strictObject({address}).optional(),
	stop: z.strictObject({graceMs: z.number().int().positive().max(600_000)}),
	log: z.strictObject({level: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info')}).prefault({}),
});

type Parsed = z.output<typeof schema>;

export type RelaySettings = {
	readonly id: InstanceId;
	readonly dataCentre: DataCentreId;
	/** Whether the whole system starts for the first time, with nothing to recover. */
	readonly isFirstStart: boolean;
	readonly platform: Address;
	/** Where callers connect, and where the balancer asks whether they may. */
	readonly callers: {readonly address: Address; readonly readiness: Address} | undefined;
	readonly peers: {readonly address: Address; readonly seeds: readonly Address[]} | undefined;
	/** Metrics and state dumps. */
	readonly operators: Address | undefined;
	/** Time between the signal to stop and the end of the process by force. */
	readonly grace: Milliseconds;
	readonly logLevel: Parsed['log']['level'];
};

function refuse(file: string, message: string): Result<never, Failure> {
	return err(failure('invalid-request', `${file}: ${message}`, {step: 'settings', peer: file}));
}

/** Validates the text of a settings file. Fails with the file, the key and the reason. */
export function parseRelaySettings(file: string, text: string): Result<RelaySettings, Failure> {
	let value: unknown;
	try {
		value = parse(text);
	} catch (error) {
		return refuse(file, `not valid TOML: ${describeError(error)}`);
	}

	const parsed = schema.safeParse(value);
	if (!parsed.success) {
		return refuse(file, parsed.error.issues.map(issue => `${issue.path.join('.') || 'settings'}: ${issue.message}`).join('; '));
	}

	const {instance, callers, peers, operators} = parsed.data;
	return ok({
		id: as<InstanceId>(instance.id),
		dataCentre: as<DataCentreId>(instance.dataCentre),
		isFirstStart: instance.firstStart,
		platform: as<Address>(parsed.data.platform.address),
		callers: callers && {address: as<Address>(callers.address), readiness: as<Address>(callers.readiness)},
		peers: peers && {address: as<Address>(peers.address), seeds: peers.seeds.map(seed => as<Address>(seed))},
		operators: operators && as<Address>(operators.address),
		grace: as<Milliseconds>(parsed.data.stop.graceMs),
		logLevel: parsed.data.log.level,
	});
}

/** Reads and validates a settings file. */
export function readRelaySettings(file: string): Result<RelaySettings, Failure> {
	try {
		return parseRelaySettings(file, readFileSync(file, 'utf8'));
	} catch (error) {
		return refuse(file, describeError(error));
	}
}
