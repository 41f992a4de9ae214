/**
The configuration that instances share: takes newer ones from the store and from peers, and reports when a peer has one that this
instance lacks.
*/
import {type Clock} from '../contracts/clock.js';
import {type Failure} from '../contracts/failure.js';
import {
	as, type Address, type ConfigurationGeneration, type Milliseconds,
} from '../contracts/id.js';
import {type VersionedObject} from '../contracts/object-store.js';
import {type RelayConfiguration} from '../contracts/relay.js';
import {type SharedObjects} from './shared-objects.js';
import {type WatchFailure} from './shared-directory.js';
import {type StoreWatchEvent} from './store-watch.js';

export type SharedConfigurationEvent
	/** `sinceAnnounced` is the time since a peer first announced the generation; undefined if none did. */
	= | {
		readonly kind: 'configuration'; readonly generation: ConfigurationGeneration; readonly previous: ConfigurationGeneration | undefined;
		readonly source: string; readonly sinceAnnounced: Milliseconds | undefined;
	}
		/** A peer has a configuration that is newer than any that this instance has heard of. */
	| {readonly kind: 'configuration-announced'; readonly generation: ConfigurationGeneration; readonly current: ConfigurationGeneration; readonly peer: Address}
	| {readonly kind: 'configuration-refused'; readonly failure: Failure}
	| WatchFailure;

export type SharedConfigurationOptions = {
	readonly objects: Pick<SharedObjects, 'configurationKind' | 'decodeConfiguration'>;
	readonly clock: Clock;
	readonly onConfiguration: (configuration: RelayConfiguration) => void;
	/** Called when the store has replaced an earlier configuration, which peers should learn. */
	readonly onUpdate: () => void;
	readonly onEvent: (event: SharedConfigurationEvent) => void;
};

export type SharedConfiguration = {
	readonly current: () => RelayConfiguration | undefined;
	readonly generation: () => ConfigurationGeneration;
	/** Applies a configuration if it is newer. Returns whether it is. */
	readonly adopt: (next: RelayConfiguration, source: string) => boolean;
	/** Records the generation that a peer has. */
	readonly recordAnnouncement: (peer: Address, next: ConfigurationGeneration) => void;
	readonly onStoreEvent: (event: StoreWatchEvent) => void;
};

/** Creates the state of an instance that has no configuration yet. */
export function createSharedConfiguration(options: SharedConfigurationOptions): SharedConfiguration {
	const {clock, objects} = options;
	let configuration: RelayConfiguration | undefined;
	let announced: {readonly generation: ConfigurationGeneration; readonly at: Milliseconds} | undefined;

	function generation(): ConfigurationGeneration {
		return configuration?.generation ?? as<ConfigurationGeneration>(0);
	}

	function adopt(next: RelayConfiguration, source: string): boolean {
		const previous = configuration?.generation;
		if (previous !== undefined && next.generation <= previous) {
			return false;
		}

		configuration = next;
		options.onConfiguration(next);
		options.onEvent({
			kind: 'configuration', generation: next.generation, previous, source,
			sinceAnnounced: announced?.generation === next.generation ? as<Milliseconds>(clock.now() - announced.at) : undefined,
		});
		return true;
	}

	function recordAnnouncement(peer: Address, next: ConfigurationGeneration): void {
		if (next > Math.max(generation(), announced?.generation ?? 0)) {
			announced = {generation: next, at: clock.now()};
			options.onEvent({
				kind: 'configuration-announced', generation: next, current: generation(), peer,
			});
		}
	}

	function applyConfiguration(object: VersionedObject): void {
		objects.decodeConfiguration(object)?.match(next => {
			const isUpdate = configuration !== undefined;
			if (adopt(next, 'store') && isUpdate) {
				options.onUpdate();
			}
		}, failure => {
			options.onEvent({kind: 'configuration-refused', failure});
		});
	}

	function onStoreEvent(event: StoreWatchEvent): void {
		switch (event.kind) {
			case 'listed': {
				for (const object of event.list.objects) {
					applyConfiguration(object);
				}

				break;
			}

			case 'changed': {
				for (const change of event.changes.filter(({isDeleted}) => !isDeleted)) {
					applyConfiguration(change.object);
				}

				break;
			}

			case 'lost': {
				options.onEvent({
					kind: 'watch-failed', objects: objects.configurationKind, failure: event.failure, took: event.took,
				});
			}
		}
	}

	return {
		current: () => configuration, generation, adopt, recordAnnouncement, onStoreEvent,
	};
}
