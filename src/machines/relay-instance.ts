/**
An entry instance that relays work: follows the configuration and the list of endpoints, serves requests,
says whether it is ready, and stops without cutting a request off.
*/
import {type Result} from 'neverthrow';
import {type Clock, type Random} from '../contracts/clock.js';
import {type Failure} from '../contracts/failure.js';
import {
	as, type ConfigurationGeneration, type DataCentreId, type EndpointId, type InstanceId,
	type ObjectVersion,
} from '../contracts/id.js';
import {type KindedObject, type ObjectStore} from '../contracts/object-store.js';
import {type CallerLimits, type ListedEndpoint, type RelayConfiguration} from '../contracts/relay.js';
import {type RelayLink} from '../contracts/relay-attempt.js';
import {createRoutingTable, type RoutingTable} from '../contracts/routing-table.js';
import {createStoreWatch, type StoreWatchEvent} from '../zones/store-watch.js';
import {createLocalBudgets} from './local-budgets.js';
import {createQuarantine} from './quarantine.js';
import {createRelay, type Relay} from './relay.js';
import {type RelayEvent} from './relay-event.js';
import {createRelayFleet} from './relay-fleet.js';

/** What an instance lets be known, beside the requests themselves. */
export type RelayInstanceEvent
	= | {readonly kind: 'relay'; readonly relay: RelayEvent}
		| {readonly kind: 'configuration'; readonly generation: ConfigurationGeneration; readonly previous: ConfigurationGeneration | undefined}
		| {readonly kind: 'configuration-refused'; readonly failure: Failure}
		| {readonly kind: 'endpoint'; readonly id: EndpointId; readonly change: 'listed' | 'leaving' | 'removed' | 'unreadable'; readonly revision: ObjectVersion}
		| {readonly kind: 'store'; readonly objects: string; readonly change: 'lost' | 'back'; readonly reason: string};

/** How the store's objects are named and read; given by the adapter. */
export type RelayObjects = {
	readonly configurationKind: string;
	readonly endpointKind: string;
	readonly decodeConfiguration: (object: KindedObject) => Result<RelayConfiguration, Failure> | undefined;
	readonly decodeEndpoint: (object: KindedObject) => ListedEndpoint | undefined;
};

export type RelayInstanceOptions = {
	readonly id: InstanceId;
	readonly dataCentre: DataCentreId;
	readonly store: ObjectStore;
	readonly objects: RelayObjects;
	readonly link: RelayLink;
	readonly clock: Clock;
	readonly random: Random;
	readonly onEvent: (event: RelayInstanceEvent) => void;
};

export type RelayInstance = {
	readonly relay: Relay;
	readonly limits: () => CallerLimits | undefined;
	/** Whether new callers may come. */
	readonly isReady: () => boolean;
	readonly run: (signal: AbortSignal) => Promise<void>;
	/** Says that no new callers should come. */
	readonly leave: () => void;
	readonly dump: () => unknown;
};

/** Creates an instance that knows nothing yet. */
export function createRelayInstance(options: RelayInstanceOptions): RelayInstance {
	const {clock, random, store, objects} = options;
	const fleet = createRelayFleet();
	const quarantine = createQuarantine();
	const lost = new Set<string>();
	let table: RoutingTable | undefined;
	let isLeaving = false;

	function applyConfiguration(object: KindedObject): void {
		const decoded = objects.decodeConfiguration(object);
		decoded?.match(configuration => {
			const previous = table?.configuration.generation;
			if (previous === undefined || configuration.generation > previous) {
				table = createRoutingTable(configuration);
				options.onEvent({kind: 'configuration', generation: configuration.generation, previous});
			}
		}, failure => {
			options.onEvent({kind: 'configuration-refused', failure});
		});
	}

	function endpointOf(object: KindedObject): ListedEndpoint | undefined {
		const endpoint = objects.decodeEndpoint(object);
		const change = endpoint ? (endpoint.isLeaving ? 'leaving' : 'listed') : 'unreadable';
		options.onEvent({
			kind: 'endpoint', id: as<EndpointId>(object.name), change, revision: object.revision,
		});
		return endpoint;
	}

	/** Notes whether the store answers; endpoints that vanish while it does not are kept for a while. */
	function noteStore(kind: string, event: StoreWatchEvent): void {
		if (event.kind === 'lost') {
			if (!lost.has(kind)) {
				lost.add(kind);
				options.onEvent({
					kind: 'store', objects: kind, change: 'lost', reason: event.failure.message,
				});
			}

			fleet.apply({kind: 'store-lost'}, clock.now());
			return;
		}

		if (lost.delete(kind)) {
			options.onEvent({
				kind: 'store', objects: kind, change: 'back', reason: event.kind,
			});
		}

		if (lost.size === 0) {
			fleet.apply({kind: 'store-back'}, clock.now());
		}
	}

	function onConfigurationEvent(event: StoreWatchEvent): void {
		noteStore(objects.configurationKind, event);
		switch (event.kind) {
			case 'listed': {
				for (const object of event.list.objects) {
					applyConfiguration(object);
				}

				return;
			}

			case 'changed': {
				for (const change of event.changes) {
					if (!change.isDeleted) {
						applyConfiguration(change.object);
					}
				}

				break;
			}

			case 'lost': {
				break;
			}
		}
	}

	function onEndpointEvent(event: StoreWatchEvent): void {
		noteStore(objects.endpointKind, event);
		const now = clock.now();
		switch (event.kind) {
			case 'listed': {
				const endpoints = event.list.objects.flatMap(object => endpointOf(object) ?? []);
				fleet.apply({kind: 'snapshot', endpoints}, now);
				return;
			}

			case 'changed': {
				for (const {object, isDeleted} of event.changes) {
					const endpoint = isDeleted ? undefined : endpointOf(object);
					if (endpoint) {
						fleet.apply({kind: 'listed', endpoint}, now);
					} else {
						options.onEvent({
							kind: 'endpoint', id: as<EndpointId>(object.name), change: 'removed', revision: event.revision,
						});
						fleet.apply({kind: 'removed', id: as<EndpointId>(object.name)}, now);
					}
				}

				break;
			}

			case 'lost': {
				break;
			}
		}
	}

	const relay = createRelay({
		fleet,
		quarantine,
		clock,
		random,
		link: options.link,
		budgets: createLocalBudgets(),
		dataCentre: options.dataCentre,
		table: () => table,
		onEvent(event) {
			options.onEvent({kind: 'relay', relay: event});
		},
	});
	const watch = (kind: string, onEvent: (event: StoreWatchEvent) => void) => createStoreWatch({
		store, objects: kind, clock, random, isNeeded: () => true, knownRevision: () => undefined, onEvent,
	});

	return {
		relay,
		limits: () => table?.configuration.limits,
		isReady: () => table !== undefined && !isLeaving,
		async run(signal) {
			await Promise.all([
				watch(objects.configurationKind, onConfigurationEvent).run(signal),
				watch(objects.endpointKind, onEndpointEvent).run(signal),
			]);
		},
		leave() {
			isLeaving = true;
		},
		dump: () => ({
			id: options.id,
			generation: table?.configuration.generation,
			isLeaving,
			active: relay.active(),
			lost: [...lost],
			storeCalls: store.calls(),
			endpoints: fleet.endpoints().map(endpoint => ({
				...endpoint.listed(), inFlight: endpoint.inFlight(), load: endpoint.load(clock.now()), pace: endpoint.recentPace(clock.now()),
			})),
		}),
	};
}

