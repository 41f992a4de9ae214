/**
Watch of the configuration: one instance of a data centre watches the platform's objects, combines and
validates the two tables, and writes the next accepted generation. The conditional update of the
accepted object resolves conflicts between watchers, so any number of them may run.
*/
import {type Result} from 'neverthrow';
import {type Clock} from '../contracts/clock.js';
import {
	acceptTables, type Configuration, emptyConfiguration, newerConfiguration,
} from '../contracts/configuration.js';
import {type Failure} from '../contracts/failure.js';
import {
	as, type InstanceId, type Milliseconds, type ObjectName, type ObjectVersion,
} from '../contracts/id.js';
import {type Platform, type StoredObject} from '../contracts/platform.js';
import {parsePools, parseRoutes} from '../contracts/tables.js';

export const routesObject = as<ObjectName>('configuration/routes');
export const poolsObject = as<ObjectName>('configuration/pools');
export const acceptedObject = as<ObjectName>('configuration/accepted');
export const refusedObject = as<ObjectName>('status/configuration');

const watchTimeoutMs = 20_000;
const retryMs = 500;
const roleCheckIntervalMs = 500;

/**
Interval at which instances that are not the watcher poll the platform, in ms. The watcher may have lost its connection
to the platform unnoticed, and a change has to be in effect within seven seconds.
*/
const fallbackPollIntervalMs = 4000;

export type ConfigurationWatch = {
	readonly current: () => Configuration;
	/** Applies a configuration if it is newer than the current one. */
	readonly applyIfNewer: (configuration: Configuration) => void;
	readonly run: (signal: AbortSignal) => Promise<void>;
};

export type ConfigurationWatchOptions = {
	readonly instance: InstanceId;
	readonly platform: Platform;
	readonly clock: Clock;
	/** Whether this instance is currently the watcher of its data centre. */
	readonly isWatcher: () => boolean;
	readonly onChange: (configuration: Configuration) => void;
	readonly onRefusal: (failure: Failure) => void;
};

function isConfiguration(value: unknown): value is Configuration {
	return typeof value === 'object' && value !== null && 'generation' in value && 'routes' in value && 'pools' in value;
}

/** Creates a watch that starts with the empty configuration. */
export function createConfigurationWatch(options: ConfigurationWatchOptions): ConfigurationWatch {
	const {platform, clock} = options;
	let current = emptyConfiguration;
	let refusedSources = '';

	function applyIfNewer(candidate: Configuration): void {
		const next = newerConfiguration(current, candidate);
		if (next !== current) {
			current = next;
			options.onChange(current);
		}
	}

	async function readAccepted(): Promise<Result<StoredObject, Failure>> {
		const accepted = await platform.read(acceptedObject);
		if (accepted.isOk() && isConfiguration(accepted.value.value)) {
			applyIfNewer(accepted.value.value);
		}

		return accepted;
	}

	/** Reads the tables and accepts or refuses them. Returns false if the platform did not answer or the update was not written. */
	async function processTables(): Promise<boolean> {
		const [accepted, routes, pools] = await Promise.all([readAccepted(), platform.read(routesObject), platform.read(poolsObject)]);
		if (accepted.isErr() || routes.isErr() || pools.isErr()) {
			return false;
		}

		const {version} = accepted.value;
		const base = isConfiguration(accepted.value.value) ? accepted.value.value : emptyConfiguration;
		const sources = {routes: routes.value.version, pools: pools.value.version};
		const tables = parseRoutes(routes.value.value).andThen(parsedRoutes => parsePools(pools.value.value).map(parsedPools => ({routes: parsedRoutes, pools: parsedPools})));
		if (tables.isErr()) {
			await refuse(sources, tables.error);
			return true;
		}

		const acceptance = acceptTables(base, {...tables.value, sources});
		switch (acceptance.kind) {
			case 'unchanged': {
				return true;
			}

			case 'accept': {
				const update = await platform.update(acceptedObject, version, acceptance.configuration);
				if (update.kind === 'written') {
					applyIfNewer(acceptance.configuration);
				}

				return update.kind === 'written';
			}

			case 'refuse': {
				await refuse(acceptance.sources, acceptance.failure);
				return true;
			}
		}
	}

	async function refuse(sources: {readonly routes: ObjectVersion; readonly pools: ObjectVersion}, reason: Failure): Promise<void> {
		const key = `${sources.routes}/${sources.pools}`;
		if (key === refusedSources) {
			return;
		}

		refusedSources = key;
		options.onRefusal(reason);
		const status = await platform.read(refusedObject);
		if (status.isOk()) {
			await platform.update(refusedObject, status.value.version, {
				kind: 'refused', sources, reason: reason.message, by: options.instance, inForce: current.generation,
			});
		}
	}

	async function watch(signal: AbortSignal): Promise<void> {
		let revision = 0;
		while (!signal.aborted && options.isWatcher()) {
			if (!await processTables()) {
				await clock.sleep(as<Milliseconds>(retryMs), signal);
				continue;
			}

			const changed = await platform.watch('configuration/', revision, as<Milliseconds>(watchTimeoutMs), signal);
			if (changed.isOk()) {
				revision = changed.value.revision;
			} else {
				await clock.sleep(as<Milliseconds>(retryMs), signal);
			}
		}
	}

	/** Processes the tables if they have changed since the revision. Takes a single call to the platform if they have not. */
	async function processTablesSince(revision: number, signal: AbortSignal): Promise<number> {
		const changed = await platform.watch('configuration/', revision, as<Milliseconds>(0), signal);
		const hasChanged = changed.isOk() && changed.value.revision !== revision;
		return hasChanged && await processTables() ? changed.value.revision : revision;
	}

	async function run(signal: AbortSignal): Promise<void> {
		let checkedAt = -fallbackPollIntervalMs;
		let revision = 0;
		while (!signal.aborted) {
			if (options.isWatcher()) {
				await watch(signal);
			}

			if (clock.now() - checkedAt >= fallbackPollIntervalMs) {
				checkedAt = clock.now();
				revision = await processTablesSince(revision, signal);
			}

			await clock.sleep(as<Milliseconds>(roleCheckIntervalMs), signal);
		}
	}

	return {current: () => current, applyIfNewer, run};
}
