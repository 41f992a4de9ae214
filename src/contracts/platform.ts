/**
Interface of the platform's object service, as used by the instances that run programs: named objects with
versions, conditional updates and watches, and the list of instances. The links do the encoding.
*/
import {type Result} from 'neverthrow';
import {type Failure} from './failure.js';
import {
	type Address, type DataCentreId, type EndpointId, type InstanceId, type Milliseconds, type ObjectName, type ObjectVersion,
} from './id.js';

export type StoredObject = {
	/** Zero for an object that does not exist. Versions of an object are never reused. */
	readonly version: ObjectVersion;
	readonly value: unknown;
};

/** Result of a conditional update. */
export type UpdateResult
	= | {readonly kind: 'written'; readonly version: ObjectVersion}
	/** The object was at another version; nothing was written. */
		| {readonly kind: 'conflict'}
	/** It is certain that nothing was written. */
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
	/** Deletes an object if it is at the expected version. */
	readonly remove: (name: ObjectName, expected: ObjectVersion) => Promise<UpdateResult>;
	/** Waits until one of the objects under the prefix has changed since the revision, at most for `wait`. */
	readonly watch: (prefix: string, since: number, wait: Milliseconds, signal: AbortSignal) => Promise<Result<{readonly revision: number}, Failure>>;
	readonly instances: () => Promise<Result<readonly ListedInstance[], Failure>>;
};
