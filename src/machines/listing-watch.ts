/**
Polls the platform's list of instances and endpoints, to find possible members and leaving endpoints.
*/
import {type Clock} from '../contracts/clock.js';
import {as, type EndpointId, type Milliseconds} from '../contracts/id.js';
import {type ListedInstance, type Platform} from '../contracts/platform.js';
import {type Fleet} from './fleet.js';

const listingIntervalMs = 2000;

export type ListingWatch = {
	/** Reads the list once; does nothing if the platform does not answer. */
	readonly read: () => Promise<void>;
	/** Polls the list while this instance is responsible for it or knows no other instance, until the signal aborts. */
	readonly run: (signal: AbortSignal) => Promise<void>;
};

export type ListingWatchOptions = {
	readonly platform: Platform;
	readonly clock: Clock;
	readonly fleet: Fleet;
	readonly hasNoPeers: () => boolean;
	readonly isResponsible: () => boolean;
	readonly onListing: (listing: readonly ListedInstance[]) => void;
	readonly onLeaving: (endpoint: EndpointId) => void;
};

/** Creates the list watch of an instance. */
export function createListingWatch(options: ListingWatchOptions): ListingWatch {
	const {platform, clock, fleet} = options;

	async function read(): Promise<readonly ListedInstance[]> {
		const listing = await platform.instances();
		if (listing.isErr()) {
			return [];
		}

		options.onListing(listing.value);
		return listing.value;
	}

	function announceLeaving(listing: readonly ListedInstance[]): void {
		for (const backEnd of fleet.backEnds()) {
			const entry = listing.find(candidate => candidate.id === backEnd.endpoint.id);
			if (entry?.state === 'leaving' && backEnd.health().kind !== 'leaving') {
				options.onLeaving(backEnd.endpoint.id);
			}
		}
	}

	return {
		async read() {
			await read();
		},
		async run(signal) {
			while (!signal.aborted) {
				if (options.hasNoPeers() || options.isResponsible()) {
					announceLeaving(await read());
				}

				await clock.sleep(as<Milliseconds>(listingIntervalMs), signal);
			}
		},
	};
}
