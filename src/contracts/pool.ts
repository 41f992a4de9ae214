/**
A pool is a named group of endpoints of back ends.
*/
import {
	type Address, type DataCentreId, type EndpointId, type PoolName,
} from './id.js';

/** One address at which a back end accepts requests. */
export type Endpoint = {
	readonly id: EndpointId;
	readonly dataCentre: DataCentreId;
	readonly address: Address;
	/** Whether the endpoint rejects requests with an outdated fencing number. */
	readonly checksFencing: boolean;
};

export type Pool = {
	readonly name: PoolName;
	readonly kind: 'engine' | 'service';
	/** Maximum number of requests that one endpoint serves concurrently. */
	readonly concurrency: number;
	readonly endpoints: readonly Endpoint[];
};
