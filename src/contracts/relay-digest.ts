/**
What an instance knows about shared tables, in a few numbers, so that peers see who is behind.
*/
import {type ConfigurationGeneration, type ObjectVersion} from './id.js';

export type RelayDigest = {
	readonly generation: ConfigurationGeneration;
	/** Newest change of the list of endpoints that is known. */
	readonly endpointRevision: ObjectVersion;
	/** Whether the store answered when this instance last asked it. */
	readonly isStoreReachable: boolean;
	/** Whether the instance knows what programs have used. */
	readonly isWarm: boolean;
};
