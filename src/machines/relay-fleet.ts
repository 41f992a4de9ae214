/**
The endpoints of relayed work. The list that back ends keep of themselves lags and loses entries while
its store is away, so an entry that vanished around an outage is kept until the store has been back long
enough for living back ends to return.
*/
import {
	as, type EndpointId, type Milliseconds, type PoolName,
} from '../contracts/id.js';
import {type ListedEndpoint} from '../contracts/relay.js';
import {createRelayEndpoint, type RelayEndpoint} from './relay-endpoint.js';
import {place, type Placement, type RelayQuery} from './relay-placement.js';

/** Time after the return of the store within which living back ends are listed again. */
const relistMs = 2000;

export type ListingEvent
	= | {readonly kind: 'listed'; readonly endpoint: ListedEndpoint}
		| {readonly kind: 'removed'; readonly id: EndpointId}
	/** The whole list as it stands. */
		| {readonly kind: 'snapshot'; readonly endpoints: readonly ListedEndpoint[]}
		| {readonly kind: 'store-lost'}
		| {readonly kind: 'store-back'};

export type RelayFleet = {
	readonly apply: (event: ListingEvent, now: Milliseconds) => void;
	/** Endpoints that may be given work, best first choice by expected time. */
	readonly choose: (pool: PoolName, query: RelayQuery) => Placement | undefined;
	readonly endpoint: (id: EndpointId) => RelayEndpoint | undefined;
	readonly endpoints: () => readonly RelayEndpoint[];
	/** What the list says, with the entries that are kept around an outage. */
	readonly listing: () => readonly ListedEndpoint[];
	/** Whether the endpoint is still listed and not leaving. */
	readonly isServing: (id: EndpointId) => boolean;
};

type Store = {readonly kind: 'reachable'; readonly since: Milliseconds} | {readonly kind: 'lost'};

/** Creates an empty fleet. */
export function createRelayFleet(): RelayFleet {
	const known = new Map<EndpointId, RelayEndpoint>();
	const vanishedAt = new Map<EndpointId, Milliseconds>();
	let store: Store = {kind: 'reachable', since: as<Milliseconds>(-relistMs)};

	function list(endpoint: ListedEndpoint): void {
		vanishedAt.delete(endpoint.id);
		const existing = known.get(endpoint.id);
		if (!existing) {
			known.set(endpoint.id, createRelayEndpoint(endpoint));
			return;
		}

		if (existing.listed().address !== endpoint.address) {
			existing.reset();
		}

		existing.update(endpoint);
	}

	/** Whether a removal may only mean that the store was away. */
	function isDoubtful(now: Milliseconds): boolean {
		return store.kind === 'lost' || now - store.since < relistMs;
	}

	function remove(id: EndpointId, now: Milliseconds): void {
		if (isDoubtful(now)) {
			vanishedAt.set(id, vanishedAt.get(id) ?? now);
		} else {
			known.delete(id);
			vanishedAt.delete(id);
		}
	}

	function expire(now: Milliseconds): void {
		if (vanishedAt.size > 0 && !isDoubtful(now)) {
			for (const id of vanishedAt.keys()) {
				known.delete(id);
			}

			vanishedAt.clear();
		}
	}

	return {
		apply(event, now) {
			switch (event.kind) {
				case 'listed': {
					list(event.endpoint);
					return;
				}

				case 'removed': {
					remove(event.id, now);
					return;
				}

				case 'snapshot': {
					const ids = new Set(event.endpoints.map(endpoint => endpoint.id));
					for (const endpoint of event.endpoints) {
						list(endpoint);
					}

					for (const id of known.keys()) {
						if (!ids.has(id)) {
							remove(id, now);
						}
					}

					return;
				}

				case 'store-lost': {
					store = {kind: 'lost'};
					return;
				}

				case 'store-back': {
					if (store.kind === 'lost') {
						store = {kind: 'reachable', since: now};
					}
				}
			}
		},
		choose(pool, query) {
			expire(query.now);
			const endpoints = [...known.values()].filter(endpoint => endpoint.listed().pool === pool && !endpoint.listed().isLeaving);
			return place(endpoints, query);
		},
		endpoint: id => known.get(id),
		endpoints: () => [...known.values()],
		listing: () => [...known.values()].map(endpoint => endpoint.listed()),
		isServing: id => known.has(id) && !known.get(id)?.listed().isLeaving,
	};
}
