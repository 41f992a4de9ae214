/**
Workspaces: the customers that share a deployment. Each has keys, a priority and an allotment of requests. A key exists only
as its digest from the moment at which it has been decoded, so that neither logs, dumps nor messages between instances can
reveal it, and the time of a lookup says nothing about it.
*/
import {createHash} from 'node:crypto';
import {type Allotment} from './allotment.js';
import {as, type Brand} from './id.js';

export type WorkspaceName = Brand<string, 'WorkspaceName'>;

/** SHA-256 digest of a key. */
export type KeyDigest = Brand<string, 'KeyDigest'>;

export type Workspace = {
	readonly name: WorkspaceName;
	/** Rank of its requests, which takes precedence over that of routes; zero is the highest. Undefined: the rank of the route. */
	readonly priority?: number | undefined;
	readonly keys: readonly KeyDigest[];
	readonly allotment: Allotment;
};

/** Computes the digest of a key. */
export function digestOfKey(key: string): KeyDigest {
	return as<KeyDigest>(createHash('sha256').update(key).digest('base64url'));
}
