/**
Probes of endpoints: one instance of each data centre asks each endpoint whether it is leaving, because the
platform's instance list shows this only with a delay.
*/
import {type Clock} from '../contracts/clock.js';
import {type Dispatch} from '../contracts/attempt.js';
import {as, type EndpointId, type Milliseconds} from '../contracts/id.js';
import {type BackEnd} from './back-end.js';
import {type Fleet} from './fleet.js';

/** Minimum interval between two rounds of probes. */
const minimumRoundMs = 1000;

/** Maximum number of probes that one instance sends per second. */
const maximumProbesPerSecond = 4;

export type EndpointProbe = {
	readonly run: (signal: AbortSignal) => Promise<void>;
};

export type EndpointProbeOptions = {
	readonly fleet: Fleet;
	readonly dispatch: Dispatch;
	readonly clock: Clock;
	readonly isResponsible: (backEnd: BackEnd) => boolean;
	readonly onState: (endpoint: EndpointId, state: 'live' | 'leaving') => void;
};

/** Creates the endpoint probe of an instance. */
export function createEndpointProbe(options: EndpointProbeOptions): EndpointProbe {
	const {fleet, dispatch, clock} = options;
	const states = new Map<EndpointId, 'live' | 'leaving'>();

	async function probe(backEnd: BackEnd): Promise<void> {
		const {id} = backEnd.endpoint;
		const state = await dispatch.probe(backEnd.endpoint);
		const previousState = states.get(id) ?? 'live';
		if (state && state !== previousState) {
			states.set(id, state);
			options.onState(id, state);
		}
	}

	return {
		async run(signal) {
			while (!signal.aborted) {
				const own = fleet.backEnds().filter(backEnd => options.isResponsible(backEnd));
				await Promise.all(own.map(async backEnd => probe(backEnd)));
				const roundMs = Math.max(minimumRoundMs, (own.length / maximumProbesPerSecond) * 1000);
				await clock.sleep(as<Milliseconds>(roundMs), signal);
			}
		},
	};
}
