/**
Settings of the relaying binaries: a TOML file, validated before anything starts.
*/
import {type Result} from 'neverthrow';
import {z} from 'zod';
import {type Failure} from '../contracts/failure.js';
import {
	as, type Address, type DataCentreId, type InstanceId, type Milliseconds,
} from '../contracts/id.js';
import {type Monitoring} from '../machines/endpoint-availability.js';
import {type Tolerance} from '../contracts/tolerance.js';
import {
	addressField, logField, parseSettingsText, readSettingsFile,
} from './settings-file.js';
import {limitsField, type ListenerLimits, toListenerLimits} from './limits-settings.js';

const bytesPerMb = 1_000_000;

/** Memory of the archive's process with everything but its cache. */
const processMb = 104;

/** Part of the memory beyond that which the cache gets; what the garbage collector has not freed yet takes the rest. */
const cacheShare = 0.25;

/** Size of the archive's cache: some minutes of a turn's usual retention on the largest machines, and enough for the newest chains on small ones. */
const maximumCacheMb = 24;
const minimumCacheMb = 4;

/** Number that a template fills in as text, which is empty if there is no value for it. */
const filledNumber = z.union([z.number().nonnegative(), z.string().regex(/^(?:\d+(?:\.\d+)?)?$/v, 'must be a number')])
	.transform(value => value === '' ? undefined : Number(value)).optional();

/** Store of turns; without a directory there is none. */
const archiveField = z.strictObject({
	address: z.string(), directory: z.string().default(''), diskMb: filledNumber, cacheMb: filledNumber, memoryMb: filledNumber,
}).refine(({address, directory}) => directory === '' || addressField.safeParse(address).success, {path: ['address'], error: 'must be an IPv4 address and port'})
	.refine(({diskMb, directory}) => directory === '' || diskMb !== undefined, {path: ['diskMb'], error: 'must be given with a directory'});

const schema = z.strictObject({
	instance: z.strictObject({
		id: z.string().min(1), dataCentre: z.string().min(1), dataCentres: z.array(z.string().min(1)).default([]), firstStart: z.boolean().default(false),
	}),
	platform: z.strictObject({address: addressField, heartbeatMs: z.number().positive().max(60_000)}),
	callers: z.strictObject({address: addressField, readiness: addressField}).optional(),
	peers: z.strictObject({address: addressField, seeds: z.array(addressField).default([])}).optional(),
	operators: z.strictObject({address: addressField}).optional(),
	deployment: z.strictObject({contracts: z.array(z.string()).default([])}).default({contracts: []}),
	endpoints: z.strictObject({monitoring: z.enum(['connections', 'responses']).optional()}).default({}),
	archive: archiveField.optional(),
	tolerance: z.strictObject({machines: filledNumber, dataCentres: filledNumber}).optional(),
	stop: z.strictObject({graceMs: z.number().int().positive().max(600_000)}),
	limits: limitsField,
	log: logField,
});

type Parsed = z.output<typeof schema>;

export type ArchiveSettings = {
	/** Listen address for entries and other archives. */
	readonly address: Address;
	readonly directory: string;
	readonly diskBytes: number;
	readonly cacheBytes: number;
};

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
	/** Names of the terms that the platform says are in force. */
	readonly contracts: readonly string[];
	/** What the availability of endpoints is judged by; undefined leaves it to the contracts. */
	readonly monitoring: Monitoring | undefined;
	/** Store of turns on a machine with a disk; undefined if the machine keeps none. */
	readonly archive: ArchiveSettings | undefined;
	/** What kept turns outlast. */
	readonly tolerance: Tolerance;
	/** Time from the stop signal until the process is killed. */
	readonly gracePeriod: Milliseconds;
	readonly limits: ListenerLimits;
	readonly logLevel: Parsed['log']['level'];
};

function toArchiveSettings(archive: Parsed['archive']): ArchiveSettings | undefined {
	if (!archive || archive.directory === '') {
		return undefined;
	}

	const {address, directory, diskMb = 0, cacheMb, memoryMb} = archive;
	const affordableMb = memoryMb === undefined ? maximumCacheMb : (memoryMb - processMb) * cacheShare;
	return {
		address: as<Address>(address),
		directory,
		diskBytes: diskMb * bytesPerMb,
		cacheBytes: (cacheMb ?? Math.max(minimumCacheMb, Math.min(maximumCacheMb, affordableMb))) * bytesPerMb,
	};
}

function toSettings({instance, platform, callers, peers, operators, deployment, endpoints, archive, tolerance, stop, limits, log}: Parsed): RelaySettings {
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
		contracts: deployment.contracts,
		monitoring: endpoints.monitoring,
		archive: toArchiveSettings(archive),
		tolerance: {machines: tolerance?.machines ?? 1, dataCentres: tolerance?.dataCentres ?? 1},
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
