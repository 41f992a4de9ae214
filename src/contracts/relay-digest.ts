/**
What an instance knows about shared tables, in a few numbers, so that peers see who is behind.
*/
import {
	type ChangeNumber, type ConfigurationGeneration, type Milliseconds, type ObjectVersion,
} from './id.js';

export type RelayDigest = {
	readonly generation: ConfigurationGeneration;
	/** Newest change of the list of endpoints that is known. */
	readonly endpointRevision: ObjectVersion;
	/** Number of the last change that the instance made to its directory. */
	readonly change: ChangeNumber;
	/** How long ago the store answered the instance; left out by one that does not ask it, or that doubts what it says. */
	readonly storeAge?: Milliseconds | undefined;
	/** Whether the store answered when this instance last asked it. */
	readonly isStoreReachable: boolean;
	/** Whether the instance knows what programs have used. */
	readonly isWarm: boolean;
};
