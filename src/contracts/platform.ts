/**
The platform's object service as the decisions see it: named objects with versions, conditional
updates and watches, and the list of instances. The encoding lives in the links.
*/
import {type Result} from 'neverthrow';
import {type Failure} from './failure.js';
import {
	type Address, type DataCentreId, type EndpointId, type InstanceId, type Milliseconds, type ObjectName, type ObjectVersion,
} from './id.js';

export type StoredObject = {
	/** Zero stands for an object that does not exist. Versions of one object are never used twice. */
	readonly version: ObjectVersion;
	readonly value: unknown;
};

/** Result of a conditional update. */
export type UpdateResult
	= | {readonly kind: 'written'; readonly version: ObjectVersion}
	/** The object was at another version; nothing was written. */
		| {readonly kind: 'conflict'}
	/** Certain that nothing was written. */
		| {readonly kind: 'unavailable'; readonly failure: Failure}
	/** The write may or may not have taken effect. */
		| {readonly kind: 'doubtful'; readonly failure: Failure};

export type ListedInstance = {
	readonly id: InstanceId | EndpointId;
	readonly role: 'entry' | 'engine' | 'service';
	readonly dataCentre: DataCentreId;
	readonly address: Address;
	readonly state: 'live' | 'leaving';
};

export type Platform = {
	/** An absent object is returned with version zero and an undefined value. */
	readonly read: (name: ObjectName) => Promise<Result<StoredObject, Failure>>;
	readonly update: (name: ObjectName, expected: ObjectVersion, value: unknown) => Promise<UpdateResult>;
	/** Deletes an object that is at the expected version. */
	readonly remove: (name: ObjectName, expected: ObjectVersion) => Promise<UpdateResult>;
	/** Waits until one of the objects under the prefix has changed since the revision, at most for the time given. */
	readonly watch: (prefix: string, since: number, wait: Milliseconds, signal: AbortSignal) => Promise<Result<{readonly revision: number}, Failure>>;
	readonly instances: () => Promise<Result<readonly ListedInstance[], Failure>>;
};
