/**
Sending of a job: attempts at one endpoint after the other, until the request is answered or given up.
*/
import {type Clock} from '../contracts/clock.js';
import {type EndpointPath} from '../contracts/endpoint-path.js';
import {as, type EndpointId, type Milliseconds} from '../contracts/id.js';
import {nextRelayStep, type RelayResult} from '../contracts/relay-attempt.js';
import {type ListedEndpoint} from '../contracts/relay.js';
import {createEndpointChoice, noEndpoint} from './endpoint-choice.js';
import {type EndpointPaths} from './endpoint-paths.js';
import {type RelayAttempts} from './relay-attempts.js';
import {type RelayEndings} from './relay-endings.js';
import {type RelayJob} from './relay-job.js';

/** Delay before the request is sent to the same endpoint again, or all endpoints become candidates again. */
const retryDelayMs = 40;

export type RelaySendingOptions = Parameters<typeof createEndpointChoice>[0] & {
	readonly attempts: RelayAttempts;
	readonly endings: RelayEndings;
	readonly paths: EndpointPaths;
	readonly clock: Clock;
};

/** Creates the sending of an instance: resolves to the endpoint that answered the request, if any. */
export function createRelaySending(options: RelaySendingOptions): (job: RelayJob) => Promise<EndpointId | undefined> {
	const {attempts, endings, clock} = options;
	const {giveUp} = endings;
	const endpointChoice = createEndpointChoice({
		...options,
		link: {
			// An instance that reaches no endpoint cannot tell whether one has ended.
			canConnect: async endpoint => options.paths.isCutOff() || options.link.canConnect(endpoint),
		},
	});

	/** Path for the next attempt. A request that has not run is better served by another instance than by waiting for one. */
	async function findPath(job: RelayJob, endpoint: ListedEndpoint): Promise<EndpointPath | undefined> {
		let path = await options.paths.pathTo(endpoint);
		while (!path && job.mayHaveRun() && job.timeLeft() > 0 && !job.signal.aborted) {
			await clock.sleep(as<Milliseconds>(retryDelayMs), job.signal);
			path = await options.paths.pathTo(endpoint);
		}

		return path;
	}

	async function run(job: RelayJob): Promise<EndpointId | undefined> {
		let lastResult: RelayResult | undefined;
		for (;;) {
			const choice = job.timeLeft() > 0 && !job.signal.aborted ? await endpointChoice.choose(job) : noEndpoint;
			if (choice.kind === 'version-gone' || choice.kind === 'used-up') {
				endings.endUnplaced(job, choice, lastResult);
				return undefined;
			}

			if (choice.kind !== 'endpoint') {
				const wait = choice.kind === 'exhausted' ? choice.wait : undefined;
				// Permits that come too late cannot serve the request, so it is refused at once.
				if (endpointChoice.timeLeft(job) <= (wait ?? 0)) {
					giveUp(job, lastResult, wait);
					return undefined;
				}

				job.clearExcluded();
				await clock.sleep(as<Milliseconds>(wait ?? retryDelayMs), job.signal);
				continue;
			}

			if (job.timeLeft() <= 0 || job.signal.aborted) {
				continue;
			}

			const listed = choice.endpoint.listed();
			const path = await findPath(job, listed);
			if (!path) {
				giveUp(job, lastResult);
				return undefined;
			}

			lastResult = await attempts.run(job, choice, path);
			const {id} = listed;
			const step = nextRelayStep(lastResult, job.progress());
			switch (step.kind) {
				case 'deliver': {
					attempts.recordAnswered(job.fingerprint);
					await endings.deliver(job, lastResult);
					return id;
				}

				case 'give-up': {
					giveUp(job, lastResult);
					return undefined;
				}

				case 'elsewhere': {
					job.exclude(id);
					if (lastResult.kind === 'rejected' && job.pinnedEndpoint() !== undefined) {
						await clock.sleep(as<Milliseconds>(retryDelayMs), job.signal);
					}

					break;
				}

				case 'same': {
					job.pinTo(id);
					break;
				}
			}
		}
	}

	return run;
}
