/**
Digest of an instance's copy of the shared tables, by which peers detect outdated copies.
*/
import {
	type ChangeNumber, type ConfigurationGeneration, type Milliseconds, type ObjectVersion,
} from './id.js';

export type RelayDigest = {
	readonly generation: ConfigurationGeneration;
	/** Latest revision of the list of endpoints that the instance has. */
	readonly endpointRevision: ObjectVersion;
	/** Sequence number of the last change that the instance made to its directory. */
	readonly change: ChangeNumber;
	/** Time since the store last answered the instance; omitted if the instance does not query the store or does not trust its answers. */
	readonly storeAge?: Milliseconds | undefined;
	/** Whether the store answered the instance's last request. */
	readonly isStoreReachable: boolean;
	/** Whether the instance has loaded the token usage of programs. */
	readonly isWarm: boolean;
	/** Whether the instance reaches endpoints, as far as it knows. */
	readonly reachesEndpoints: boolean;
};
