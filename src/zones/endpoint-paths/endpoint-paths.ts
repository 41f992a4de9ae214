/**
Paths to endpoints. An instance that is partitioned from all endpoints, while callers and other instances reach it, sends requests
through tunnels at instances that are not. It checks the path when connections fail or all requests hang, and returns to
direct connections once they can be opened again.

This is the module of the folder that others import.
*/
import {type Clock, type Random} from '../../contracts/clock.js';
import {type EndpointPath} from '../../contracts/endpoint-path.js';
import {as, type Milliseconds} from '../../contracts/id.js';
import {type RelayLink} from '../../contracts/relay-attempt.js';
import {type ListedEndpoint} from '../../contracts/relay.js';
import {type EndpointPaths} from '../../machines/endpoint-paths.js';
import {anyOf} from '../any-of.js';
import {createGateways, type GatewaysOptions} from './gateways.js';
import {createReachability, type ReachedPart, sampleEndpoints} from './reachability.js';

/** Interval at which the requests in flight are examined, in ms. */
const examinationMs = 200;

/** Interval between two checks of a path that is suspected or cut off, in ms. */
const checkIntervalMs = 500;

/** Time for which a check that reached an endpoint is taken to hold, in ms. */
const validityMs = 300;

/** Interval between two searches for gateways while the instance is cut off, in ms. */
const searchIntervalMs = 1000;

export type EndpointPathsEvent
	/** This instance has found that it reaches no endpoint, or that it does again. */
	= | {readonly kind: 'cut-off'; readonly sampled: number; readonly gateways: number}
		| {readonly kind: 'restored'; readonly sampled: number};

export type EndpointPathsOptions = GatewaysOptions & {
	/** Listed endpoints that do not leave. */
	readonly endpoints: () => readonly ListedEndpoint[];
	readonly link: Pick<RelayLink, 'canConnect'>;
	readonly clock: Clock;
	readonly random: Random;
	readonly onEvent: (event: EndpointPathsEvent) => void;
};

export type SharedEndpointPaths = EndpointPaths & {
	/** Number of known gateways. */
	readonly gateways: () => number;
	readonly run: (signal: AbortSignal) => Promise<void>;
};

function partOf(reached: readonly boolean[]): ReachedPart {
	return reached.includes(true) ? (reached.includes(false) ? 'some' : 'all') : 'none';
}

/** Creates the paths of an instance that is taken to reach endpoints. */
export function createEndpointPaths(options: EndpointPathsOptions): SharedEndpointPaths {
	const {clock, random} = options;
	const reachability = createReachability();
	const gateways = createGateways(options);
	let checking: Promise<void> | undefined;
	let reachedAt = -Infinity;
	let checkedAt = -Infinity;
	let searchedAt = -Infinity;

	function sample(): readonly ListedEndpoint[] {
		const shuffled = options.endpoints().map(endpoint => ({endpoint, order: random.fraction()})).toSorted((left, right) => left.order - right.order);
		return sampleEndpoints(shuffled.map(({endpoint}) => endpoint), options.dataCentre);
	}

	async function search(): Promise<void> {
		searchedAt = clock.now();
		await gateways.search();
	}

	/** Opens connections to some endpoints, and concludes from them whether the instance is cut off. */
	async function runCheck(): Promise<void> {
		checkedAt = clock.now();
		const endpoints = sample();
		// A single endpoint that cannot be reached may be down.
		if (endpoints.length < 2) {
			return;
		}

		const connections = endpoints.map(async endpoint => options.link.canConnect(endpoint));
		const reached = reachability.isCutOff() ? partOf(await Promise.all(connections)) : (await anyOf(connections) ? 'some' : 'none');
		const now = clock.now();
		if (reached !== 'none') {
			reachedAt = now;
		}

		if (!reachability.judge(reached, now)) {
			return;
		}

		if (reachability.isCutOff()) {
			await search();
			options.onEvent({kind: 'cut-off', sampled: endpoints.length, gateways: gateways.count()});
		} else {
			options.onEvent({kind: 'restored', sampled: endpoints.length});
		}
	}

	/** Checks the path, unless that was done a moment ago; joins a check that is under way. */
	async function check(): Promise<void> {
		if (clock.now() - reachedAt < validityMs) {
			return;
		}

		checking ??= runCheck().finally(() => {
			checking = undefined;
		});
		await checking;
	}

	async function tunnelTo({id}: ListedEndpoint): Promise<EndpointPath | undefined> {
		if (gateways.choose(id) === undefined) {
			await search();
		}

		const gateway = gateways.choose(id);
		return gateway === undefined ? undefined : {kind: 'tunnel', gateway};
	}

	function examine(): void {
		const now = clock.now();
		const isDue = now - checkedAt >= checkIntervalMs && (reachability.isCutOff() || reachability.isSuspicious(now));
		if (isDue) {
			void check();
		}

		if (reachability.isCutOff() && now - searchedAt >= searchIntervalMs) {
			void search();
		}
	}

	return {
		pathTo: async endpoint => reachability.isCutOff() ? tunnelTo(endpoint) : {kind: 'direct'},
		track({id}, path, onLost) {
			switch (path.kind) {
				case 'direct': {
					const end = reachability.add({endpoint: id, sentAt: clock.now(), onLost});
					return {
						recordHeard() {
							reachability.recordHeard(clock.now());
						},
						end,
					};
				}

				case 'tunnel': {
					return {recordHeard: () => undefined, end: () => undefined};
				}
			}
		},
		async isAtFault(path, isGatewayBlamed) {
			switch (path.kind) {
				case 'direct': {
					await check();
					return reachability.isCutOff();
				}

				case 'tunnel': {
					if (isGatewayBlamed) {
						gateways.recordFailure(path.gateway);
					}

					return isGatewayBlamed;
				}
			}
		},
		isCutOff: reachability.isCutOff,
		gateways: gateways.count,
		async run(signal) {
			while (!signal.aborted) {
				await clock.sleep(as<Milliseconds>(examinationMs), signal);
				examine();
			}
		},
	};
}
