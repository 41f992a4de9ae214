/**
Interface of the platform's object store, as used for relayed requests and the retirement of machines: objects by kind
and name, with revisions, lists, watches and conditional writes. An adapter does the encoding.
*/
import {type Result} from 'neverthrow';
import {type Failure} from './failure.js';
import {type Milliseconds, type ObjectName, type ObjectVersion} from './id.js';

export type VersionedObject = {
	readonly name: ObjectName;
	/** Revision of the object's last change. */
	readonly revision: ObjectVersion;
	readonly spec: unknown;
	readonly status: unknown;
};

export type ObjectList = {
	readonly objects: readonly VersionedObject[];
	/** Revision of the store at which the list was read. */
	readonly revision: ObjectVersion;
};

export type ObjectChange = {
	readonly object: VersionedObject;
	readonly isDeleted: boolean;
};

export type WatchResult
	= | {readonly kind: 'changes'; readonly changes: readonly ObjectChange[]; readonly revision: ObjectVersion}
	/** The store no longer has the history since the revision, so the objects have to be listed again. */
		| {readonly kind: 'history-lost'}
		| {readonly kind: 'failed'; readonly failure: Failure};

/** Result of a write. */
export type WriteResult
	= | {readonly kind: 'written'; readonly revision: ObjectVersion}
	/** The object is at another revision, or already exists; nothing was written. */
		| {readonly kind: 'conflict'; readonly object: VersionedObject | undefined}
		| {readonly kind: 'absent'}
	/** It is certain that nothing was written. */
		| {readonly kind: 'unavailable'; readonly failure: Failure}
	/** The write may or may not have taken effect, and may still do so. */
		| {readonly kind: 'doubtful'; readonly failure: Failure};

/** Failures have the code `platform-unavailable`. */
export type ObjectStore = {
	/** Succeeds if the store responds within the timeout. */
	readonly probe: (timeout: Milliseconds, signal: AbortSignal) => Promise<Result<true, Failure>>;
	readonly list: (kind: string) => Promise<Result<ObjectList, Failure>>;
	/** Like `list`, at a tenth of its price, but the result may be seconds old. */
	readonly listStale: (kind: string) => Promise<Result<ObjectList, Failure>>;
	/** Waits until an object of the kind has changed since the revision, at most for `wait`. */
	readonly watch: (kind: string, since: ObjectVersion, wait: Milliseconds, signal: AbortSignal) => Promise<WatchResult>;
	readonly create: (kind: string, name: ObjectName, spec: unknown) => Promise<WriteResult>;
	/** Replaces the spec of an object if it is at the revision. */
	readonly replace: (kind: string, name: ObjectName, spec: unknown, revision: ObjectVersion) => Promise<WriteResult>;
	readonly putStatus: (kind: string, name: ObjectName, status: unknown) => Promise<WriteResult>;
	/** Number of calls made so far. */
	readonly calls: () => number;
};
