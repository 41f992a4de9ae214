/**
What an instance that relays requests is created with: who it is, the links that it uses, and what its deployment calls for.
*/
import {type AllotmentBounds} from '../contracts/allotment.js';
import {type ArchiveLink} from '../contracts/archive.js';
import {type Clock, type Random} from '../contracts/clock.js';
import {
	type Address, type DataCentreId, type InstanceId, type Milliseconds,
} from '../contracts/id.js';
import {type ObjectStore} from '../contracts/object-store.js';
import {type RelayLink} from '../contracts/relay-attempt.js';
import {type Tolerance} from '../contracts/tolerance.js';
import {type BudgetRecords} from '../zones/budget-records.js';
import {type RelayPeers} from '../zones/relay-peers.js';
import {type SharedObjects} from '../zones/shared-objects.js';
import {type Monitoring} from './endpoint-availability.js';
import {type RelayInstanceEvent} from './relay-instance-event.js';

export type RelayInstanceOptions = {
	readonly id: InstanceId;
	readonly dataCentre: DataCentreId;
	/** All data centres that have instances, whether or not these can be reached. */
	readonly dataCentres: readonly DataCentreId[];
	/** Address at which peers reach this instance. */
	readonly address: Address;
	readonly seeds: readonly Address[];
	/** Whether the entire system is starting for the first time. */
	readonly isFirstStart: boolean;
	readonly store: ObjectStore;
	/** Interval at which endpoints renew their entries in the list. */
	readonly endpointHeartbeat: Milliseconds;
	readonly records: BudgetRecords;
	readonly objects: SharedObjects;
	/** The bound on the requests of a workspace; the platform's usual one if it is not set. */
	readonly allotmentBounds?: AllotmentBounds | undefined;
	readonly link: RelayLink;
	/** What the availability of endpoints is judged by. */
	readonly monitoring?: Monitoring;
	/** Archives, and what kept turns outlast there. */
	readonly archives: ArchiveLink;
	readonly tolerance: Tolerance;
	/** Data of an encoded event of a stream; undefined if it has none. */
	readonly dataOf: (event: Uint8Array) => Uint8Array | undefined;
	readonly peers: RelayPeers;
	readonly clock: Clock;
	readonly random: Random;
	readonly onEvent: (event: RelayInstanceEvent) => void;
};
