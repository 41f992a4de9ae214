/**
Settings of the relaying binaries: a TOML file, validated before anything starts.
*/
import {type Result} from 'neverthrow';
import {z} from 'zod';
import {type Failure} from '../contracts/failure.js';
import {
	as, type Address, type DataCentreId, type InstanceId, type Milliseconds,
} from '../contracts/id.js';
import {
	addressField, logField, parseSettingsText, readSettingsFile,
} from './settings-file.js';
import {limitsField, type ListenerLimits, toListenerLimits} from './limits-settings.js';

const schema = z.strictObject({
	instance: z.strictObject({
		id: z.string().min(1), dataCentre: z.string().min(1), dataCentres: z.array(z.string().min(1)).default([]), firstStart: z.boolean().default(false),
	}),
	platform: z.strictObject({address: addressField, heartbeatMs: z.number().positive().max(60_000)}),
	callers: z.strictObject({address: addressField, readiness: addressField}).optional(),
	peers: z.strictObject({address: addressField, seeds: z.array(addressField).default([])}).optional(),
	operators: z.strictObject({address: addressField}).optional(),
	stop: z.strictObject({graceMs: z.number().int().positive().max(600_000)}),
	limits: limitsField,
	log: logField,
});

type Parsed = z.output<typeof schema>;

export type RelaySettings = {
	readonly id: InstanceId;
	readonly dataCentre: DataCentreId;
	/** All data centres that have instances. */
	readonly dataCentres: readonly DataCentreId[];
	/** Whether the whole system starts for the first time, with nothing to recover. */
	readonly isFirstStart: boolean;
	readonly platform: Address;
	/** Interval at which endpoints renew their entries in the platform's list. */
	readonly endpointHeartbeat: Milliseconds;
	/** Listen addresses for callers and for the load balancer's readiness checks. */
	readonly callers: {readonly address: Address; readonly readiness: Address} | undefined;
	readonly peers: {readonly address: Address; readonly seeds: readonly Address[]} | undefined;
	/** Listen address for metrics and state dumps. */
	readonly operators: Address | undefined;
	/** Time from the stop signal until the process is killed. */
	readonly gracePeriod: Milliseconds;
	readonly limits: ListenerLimits;
	readonly logLevel: Parsed['log']['level'];
};

function toSettings({instance, platform, callers, peers, operators, stop, limits, log}: Parsed): RelaySettings {
	return {
		id: as<InstanceId>(instance.id),
		dataCentre: as<DataCentreId>(instance.dataCentre),
		dataCentres: instance.dataCentres.map(dataCentre => as<DataCentreId>(dataCentre)),
		isFirstStart: instance.firstStart,
		platform: as<Address>(platform.address),
		endpointHeartbeat: as<Milliseconds>(platform.heartbeatMs),
		callers: callers && {address: as<Address>(callers.address), readiness: as<Address>(callers.readiness)},
		peers: peers && {address: as<Address>(peers.address), seeds: peers.seeds.map(seed => as<Address>(seed))},
		operators: operators && as<Address>(operators.address),
		gracePeriod: as<Milliseconds>(stop.graceMs),
		limits: toListenerLimits(limits),
		logLevel: log.level,
	};
}

/** Validates the text of a settings file. Fails with the file, the key and the reason. */
export function parseRelaySettings(file: string, text: string): Result<RelaySettings, Failure> {
	return parseSettingsText(file, text, schema).map(parsed => toSettings(parsed));
}

/** Reads and validates a settings file. */
export function readRelaySettings(file: string): Result<RelaySettings, Failure> {
	return readSettingsFile(file, parseRelaySettings);
}
