/**
A pool names a group of endpoints on back-end instances.
*/
import {
	type Address, type DataCentreId, type EndpointId, type PoolName,
} from './id.js';

/** One address at which a back end answers. */
export type Endpoint = {
	readonly id: EndpointId;
	readonly dataCentre: DataCentreId;
	readonly address: Address;
	/** Whether the endpoint refuses orders that carry an old fencing number. */
	readonly checksFencing: boolean;
};

export type Pool = {
	readonly name: PoolName;
	readonly kind: 'engine' | 'service';
	/** Requests that one endpoint serves at the same time. */
	readonly concurrency: number;
	readonly endpoints: readonly Endpoint[];
};
