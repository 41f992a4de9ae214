/**
Where streams began, as used by the relay: engines of several software versions may serve side by side, and a stream
continues only at the version that began it.
*/
import {
	type AttemptId, type PoolName, type ProgramId, type SoftwareVersion,
} from '../contracts/id.js';
import {type RelayRoute} from '../contracts/relay.js';
import {type RelayRequest} from '../contracts/relay-request.js';

/** The endpoints that began a stream, and the program that it belongs to. */
export type StreamOrigin = {
	readonly pool: PoolName;
	readonly version: SoftwareVersion;
	readonly program: ProgramId | undefined;
};

export type OriginLookup
	= | {readonly kind: 'found'; readonly origin: StreamOrigin}
	/** Nobody that could be asked knows it. */
		| {readonly kind: 'unknown'};

export type StreamOrigins = {
	/** Finds out where the stream that a caller resumes began. */
	readonly lookUp: (request: RelayRequest, route: RelayRoute) => Promise<OriginLookup>;
	/** Records where the stream began whose first event a caller receives in this attempt. */
	readonly record: (attempt: AttemptId, origin: StreamOrigin) => void;
};
