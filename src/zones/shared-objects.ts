/**
Objects of the store that instances share copies of.
*/
import {type Result} from 'neverthrow';
import {type Failure} from '../contracts/failure.js';
import {type VersionedObject} from '../contracts/object-store.js';
import {type ListedEndpoint, type RelayConfiguration} from '../contracts/relay.js';

/** Kinds of the store's objects and their decoding, provided by the adapter. */
export type SharedObjects = {
	readonly configurationKind: string;
	readonly endpointKind: string;
	readonly decodeConfiguration: (object: VersionedObject) => Result<RelayConfiguration, Failure> | undefined;
	readonly decodeEndpoint: (object: VersionedObject) => ListedEndpoint | undefined;
};
