/**
Where a request may be sent: to a pool of its route, drawn by weight, or, as part of a stream that its caller resumes, only to where that began.
*/
import {type Random} from '../contracts/clock.js';
import {type PoolName, type SoftwareVersion} from '../contracts/id.js';
import {type RelayRoute} from '../contracts/relay.js';
import {type RelayRequest} from '../contracts/relay-request.js';
import {choosePool} from '../contracts/routing-table.js';
import {type StreamOrigins} from './stream-origins.js';

/** Any version of a pool's endpoints, or a single one. */
export type Destination = {readonly pool: PoolName; readonly version: SoftwareVersion | undefined};

export type DestinationOptions = {readonly origins: Pick<StreamOrigins, 'lookUp'>; readonly random: Random};

/** Finds the destination of a request. Resolves to undefined if that is not known. */
export async function findDestination(request: RelayRequest, route: RelayRoute, {origins, random}: DestinationOptions): Promise<Destination | undefined> {
	if (route.repetition === 'resumable' && request.lastEvent !== undefined) {
		const lookup = await origins.lookUp(request, route);
		return lookup.kind === 'found' ? lookup.origin : undefined;
	}

	const pool = choosePool(route, random.fraction());
	return pool === undefined ? undefined : {pool, version: undefined};
}
