/**
Choice of the endpoint for the next attempt of a relayed request. An endpoint with a rate limit is chosen only with a
permit; one that has none left is passed over in favour of the others. Once as many endpoints as the route allows may have
run the request, it goes to none but these, whatever the reason for which another would be better.
*/
import {type Clock} from '../contracts/clock.js';
import {
	as, type DataCentreId, type Milliseconds,
} from '../contracts/id.js';
import {type RelayLink} from '../contracts/relay-attempt.js';
import {type RatePermits} from './rate-permits.js';
import {type RelayEndpoint} from './relay-endpoint.js';
import {type RelayEvent} from './relay-event.js';
import {type RelayFleet} from './relay-fleet.js';
import {type RelayJob} from './relay-job.js';
import {place} from './relay-placement.js';

/** Fraction of the latency goal after which a request that no endpoint has accepted is refused. */
export const placementTimeoutFraction = 0.25;

export type Choice
	= | {readonly kind: 'endpoint'; readonly endpoint: RelayEndpoint; readonly expected: Milliseconds | undefined}
	/** The endpoints that could serve the request have no permits left; one may have after `wait`. */
		| {readonly kind: 'exhausted'; readonly wait: Milliseconds}
	/** The endpoints that may have run the request cannot be used, and the route allows no other. */
		| {readonly kind: 'used-up'}
	/** No endpoint runs the software version that began the stream. */
		| {readonly kind: 'version-gone'}
		| {readonly kind: 'none'};

export const noEndpoint: Choice = {kind: 'none'};

export type EndpointChoiceOptions = {
	readonly fleet: RelayFleet;
	readonly link: Pick<RelayLink, 'canConnect'>;
	readonly permits: RatePermits;
	readonly clock: Clock;
	readonly dataCentre: DataCentreId;
	readonly onEvent: (event: RelayEvent) => void;
};

export type EndpointChoice = {
	/** Chooses an endpoint and, if it has a rate limit, acquires a permit for it. */
	readonly choose: (job: RelayJob) => Promise<Choice>;
	/** Time for which the request may wait for an endpoint, in ms: only a part of the latency goal, unless it may have run. */
	readonly timeLeft: (job: RelayJob) => number;
};

/** Creates the choice among the endpoints of an instance. */
export function createEndpointChoice(options: EndpointChoiceOptions): EndpointChoice {
	const {fleet, clock} = options;

	function placementTimeLeft(job: RelayJob): number {
		if (job.timeLeft() <= 0 || job.signal.aborted) {
			return 0;
		}

		return job.mayHaveRun() ? job.timeLeft() : (job.route.latencyGoal * placementTimeoutFraction) - job.elapsed();
	}

	/** Time until the endpoint may have a permit for the request; zero if it has no rate limit. */
	function permitWait(job: RelayJob, endpoint: RelayEndpoint): Milliseconds {
		const isLimited = endpoint.rateLimit().limit.kind === 'limited';
		return isLimited ? options.permits.wait(endpoint.listed().id, job.rank) : as<Milliseconds>(0);
	}

	function isSameVersion(job: RelayJob, endpoint: RelayEndpoint): boolean {
		return job.version() === undefined || endpoint.listed().version === job.version();
	}

	function choosePinned(job: RelayJob): Choice | undefined {
		const id = job.pinnedEndpoint();
		const endpoint = id !== undefined && fleet.isServing(id) ? fleet.endpoint(id) : undefined;
		if (!endpoint || !isSameVersion(job, endpoint)) {
			return undefined;
		}

		const wait = permitWait(job, endpoint);
		if (wait === 0) {
			return {kind: 'endpoint', endpoint, expected: undefined};
		}

		// A stream may be resumed elsewhere if the route allows it, at the price of computing its prompt again.
		return job.route.repetition === 'resumable' && !job.hasUsedAll() ? undefined : {kind: 'exhausted', wait};
	}

	/** Frees the request from endpoints that have started anew since they may have run it. */
	function forgetEnded(job: RelayJob): void {
		for (const {id, bornAt, version} of job.usedEndpoints()) {
			const current = fleet.endpoint(id)?.listed();
			if (current && (current.bornAt !== bornAt || current.version !== version)) {
				job.recordEnd(id);
			}
		}
	}

	function choose(job: RelayJob): Choice {
		forgetEnded(job);
		const pinned = choosePinned(job);
		if (pinned) {
			return pinned;
		}

		job.unpin();
		const serving = fleet.serving(job.pool, job.version());
		if (serving.length === 0 && job.version() !== undefined) {
			return {kind: 'version-gone'};
		}

		const endpoints = serving.filter(endpoint => job.mayUse(endpoint.listed()));
		if (endpoints.length === 0 && job.hasUsedAll()) {
			return {kind: 'used-up'};
		}

		const exhausted = endpoints.filter(endpoint => permitWait(job, endpoint) > 0);
		const placement = place(endpoints, {
			prompt: job.request.prompt,
			dataCentre: options.dataCentre,
			excluded: new Set([...job.excluded(), ...exhausted.map(endpoint => endpoint.listed().id)]),
			now: clock.now(),
		});
		if (placement) {
			return {kind: 'endpoint', endpoint: placement.endpoint, expected: as<Milliseconds>(Math.round(placement.cost))};
		}

		const waits = exhausted.map(endpoint => permitWait(job, endpoint));
		return waits.length > 0 ? {kind: 'exhausted', wait: as<Milliseconds>(Math.min(...waits))} : {kind: 'none'};
	}

	/** Frees the request from endpoints that get no requests any more and have ended. Returns whether there were any. */
	async function forgetUnreachable(job: RelayJob): Promise<boolean> {
		const unused = job.usedEndpoints().filter(({id}) => !fleet.isServing(id));
		const ended = await Promise.all(unused.map(async endpoint => await options.link.canConnect(endpoint) ? [] : [endpoint.id]));
		for (const id of ended.flat()) {
			job.recordEnd(id);
		}

		return ended.flat().length > 0;
	}

	async function chooseWithPermit(job: RelayJob): Promise<Choice> {
		for (;;) {
			let choice = choose(job);
			if (choice.kind === 'used-up' && await forgetUnreachable(job)) {
				choice = choose(job);
			}

			if (choice.kind !== 'endpoint' || choice.endpoint.rateLimit().limit.kind === 'none') {
				return choice;
			}

			const {endpoint} = choice;
			const listed = endpoint.listed();
			const permit = await options.permits.acquire(listed, endpoint.rateLimit(), job.rank);
			switch (permit.kind) {
				case 'granted': {
					if (fleet.isServing(listed.id)) {
						return choice;
					}

					break;
				}

				case 'denied': {
					options.onEvent({
						kind: 'no-permit', request: job.request, endpoint: listed.id, wait: permit.wait,
					});
					break;
				}
			}

			if (placementTimeLeft(job) <= 0) {
				return {kind: 'none'};
			}
		}
	}

	return {choose: chooseWithPermit, timeLeft: placementTimeLeft};
}
