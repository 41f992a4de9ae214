/**
Events of an entry instance, for logs and metrics.
*/
import {type Configuration} from '../contracts/configuration.js';
import {type Failure} from '../contracts/failure.js';
import {type Home, type Milliseconds} from '../contracts/id.js';
import {type ExecutionEvent} from '../zones/execution.js';
import {type Member} from '../zones/membership.js';
import {type EndpointUpdate} from '../zones/peers.js';

/** An event that is logged or counted. */
export type InstanceEvent
	= | {readonly kind: 'execution'; readonly execution: ExecutionEvent}
		| {readonly kind: 'member'; readonly member: Member}
		| {readonly kind: 'paused'; readonly gap: Milliseconds}
		| {readonly kind: 'shard'; readonly change: 'opened' | 'lost' | 'relinquished'; readonly home: Home; readonly programs: number}
		| {readonly kind: 'configuration'; readonly configuration: Configuration}
		| {readonly kind: 'configuration-refused'; readonly failure: Failure}
		| {readonly kind: 'endpoint'; readonly endpoint: string; readonly state: EndpointUpdate['state']};
