/**
Relay: forwards a caller's request to an endpoint and returns the answer, with as many attempts as the route,
the deadline and the budget allow. A broken stream is continued after its last complete event, within the same
answer.
*/
import {createHash} from 'node:crypto';
import {type Clock, type Random} from '../contracts/clock.js';
import {type EndpointPath} from '../contracts/endpoint-path.js';
import {
	as, type DataCentreId, type EndpointId, type Milliseconds, type PoolName, type ProgramId, type SoftwareVersion, type Tokens,
} from '../contracts/id.js';
import {nextRelayStep, type RelayLink, type RelayResult} from '../contracts/relay-attempt.js';
import {type ListedEndpoint, type RelayRoute} from '../contracts/relay.js';
import {
	type Caller, pathOf, type Refusal, type RelayRequest,
} from '../contracts/relay-request.js';
import {choosePool, type RoutingTable} from '../contracts/routing-table.js';
import {createEndpointChoice, noEndpoint} from './endpoint-choice.js';
import {type EndpointPaths} from './endpoint-paths.js';
import {type Arrival, type Overload} from './overload.js';
import {type Quarantine} from './quarantine.js';
import {type RelayEndpoint} from './relay-endpoint.js';
import {type RelayEvent} from './relay-event.js';
import {type RatePermits} from './rate-permits.js';
import {createRelayEndings, minimumRetryAfterMs} from './relay-endings.js';
import {type RelayFleet} from './relay-fleet.js';
import {createRelayAttempts} from './relay-attempts.js';
import {createRelayReservations} from './relay-reservations.js';
import {createRelayJob, type RelayJob, type RelayJobOptions} from './relay-job.js';
import {type RelayTurns, type TurnOpening} from './relay-turn.js';
import {type StreamOrigins} from './stream-origins.js';
import {type TokenBudgets} from './token-budgets.js';
import {type RequestAllotments} from './request-allotments.js';
import {createWorkspaceGate} from './workspace-gate.js';

/** Delay before the request is sent to the same endpoint again, or all endpoints become candidates again. */
const retryDelayMs = 40;

export type RelayOptions = {
	readonly fleet: RelayFleet;
	readonly link: RelayLink;
	readonly paths: EndpointPaths;
	readonly budgets: TokenBudgets;
	readonly permits: RatePermits;
	readonly allotments: RequestAllotments;
	readonly overload: Pick<Overload, 'admit'>;
	/** Whether a program has begun, as far as this instance knows. */
	readonly hasBegun: (program: ProgramId) => boolean;
	readonly origins: StreamOrigins;
	readonly turns: RelayTurns;
	readonly quarantine: Quarantine;
	readonly clock: Clock;
	readonly random: Random;
	readonly dataCentre: DataCentreId;
	readonly table: () => RoutingTable | undefined;
	/** Called when an endpoint repeatedly breaks off responses. */
	readonly onFailing: (endpoint: RelayEndpoint) => void;
	/** Time since the instance last knew everything that the store had acknowledged. */
	readonly tablesAge: () => Milliseconds;
	readonly onEvent: (event: RelayEvent) => void;
};

/** Where a request may be sent: any version of a pool's endpoints, or a single one. */
type Destination = {readonly pool: PoolName; readonly version: SoftwareVersion | undefined};

type Stop = {readonly end: Milliseconds; readonly from: Milliseconds};

export type Relay = {
	/** Serves one request; resolves when the caller has received its answer or has disconnected. */
	readonly serve: (request: RelayRequest, caller: Caller, signal: AbortSignal) => Promise<void>;
	readonly active: () => number;
	/** Records that an endpoint, or its incarnation, has ended. */
	readonly recordEnd: (endpoint: EndpointId) => void;
	/** Announces that the process ends at a time of the clock: requests that arrive from a time on and may not end before are refused. */
	readonly endBy: (stop: Stop) => void;
};

function fingerprintOf({method, host, target, previousTurn, body}: RelayRequest): string {
	const turn = previousTurn === undefined ? '' : `${previousTurn}\n`;
	return createHash('sha1').update(`${method} ${host}${target}\n${turn}`).update(body).digest('base64url');
}

/** Creates the relay of an instance. */
export function createRelay(options: RelayOptions): Relay {
	const {fleet, clock, quarantine} = options;
	const endpointChoice = createEndpointChoice({
		...options,
		link: {
			// An instance that reaches no endpoint cannot tell whether one has ended.
			canConnect: async endpoint => options.paths.isCutOff() || options.link.canConnect(endpoint),
		},
	});
	const attempts = createRelayAttempts(options);
	const endings = createRelayEndings(options.onEvent);
	const {refuse, giveUp} = endings;
	/** Jobs that were refused before their reservation was decided or their turn was opened. */
	const refused = new WeakSet<RelayJob>();
	const reserve = createRelayReservations({budgets: options.budgets, fleet, refuse: refuseOnce});
	const gate = createWorkspaceGate(options);
	let active = 0;
	let stop: Stop | undefined;

	/** Refuses a job unless it has been. */
	function refuseOnce(job: RelayJob, refusal: Refusal): void {
		if (!refused.has(job)) {
			refused.add(job);
			refuse(job, refusal);
		}
	}

	/** Path for the next attempt. A request that has not run is better served by another instance than by waiting for one. */
	async function findPath(job: RelayJob, endpoint: ListedEndpoint): Promise<EndpointPath | undefined> {
		let path = await options.paths.pathTo(endpoint);
		while (!path && job.mayHaveRun() && job.timeLeft() > 0 && !job.signal.aborted) {
			await clock.sleep(as<Milliseconds>(retryDelayMs), job.signal);
			path = await options.paths.pathTo(endpoint);
		}

		return path;
	}

	/** Makes attempts until the request is answered or given up. Returns the endpoint that answered it, if any. */
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

	/** Where a request may be sent: a stream that its caller resumes, only to where it began. Undefined if that is not known. */
	async function destinationOf(request: RelayRequest, route: RelayRoute): Promise<Destination | undefined> {
		if (route.repetition === 'resumable' && request.lastEvent !== undefined) {
			const lookup = await options.origins.lookUp(request, route);
			return lookup.kind === 'found' ? lookup.origin : undefined;
		}

		const pool = choosePool(route, options.random.fraction());
		return pool === undefined ? undefined : {pool, version: undefined};
	}

	function createJob(parts: Pick<RelayJobOptions, 'request' | 'route' | 'rank' | 'workspace' | 'waited' | 'generation' | 'caller' | 'signal'>, {pool, version}: Destination): RelayJob {
		const {request} = parts;
		return createRelayJob({
			...parts,
			pool,
			originVersion: version,
			fingerprint: fingerprintOf(request),
			clock,
			...attempts.observer(request),
			onStreamStart(first, began) {
				options.origins.record(first, {pool, version: began, program: request.program?.id});
			},
		});
	}

	/** Whether the request is the first model call of a program. */
	function arrivalOf({program, previousTurn, lastEvent}: RelayRequest, {isStream}: RelayRoute): Arrival {
		const isContinued = previousTurn !== undefined || lastEvent !== undefined;
		const isFirst = isStream && program !== undefined && !isContinued && !options.hasBegun(program.id);
		return {kind: isFirst ? 'begins-program' : 'other'};
	}

	async function admit(request: RelayRequest, caller: Caller, signal: AbortSignal): Promise<void> {
		const table = options.table();
		const route = table?.routeOf(request.host, pathOf(request));
		if (!table || !route) {
			endings.refuseAtOnce(request, caller, {kind: table ? 'no-route' : 'not-ready'});
			return;
		}

		const mayTake = Math.min(route.timeout, request.timeLeft ?? route.timeout);
		if (stop && clock.now() >= stop.from && clock.now() + mayTake > stop.end) {
			endings.refuseAtOnce(request, caller, {kind: 'not-run', retryAfter: as<Milliseconds>(minimumRetryAfterMs)});
			return;
		}

		const admission = options.overload.admit(arrivalOf(request, route));
		if (admission.kind === 'refused') {
			endings.refuseAtOnce(request, caller, {kind: 'overloaded', retryAfter: admission.retryAfter});
			return;
		}

		const arrivedAt = clock.now();
		const entry = await gate.enter(request, route, table, signal);
		const waited = as<Milliseconds>(clock.now() - arrivedAt);
		if (entry.kind !== 'entered') {
			endings.turnAway(request, caller, entry, waited);
			return;
		}

		const {rank, workspace} = entry;
		let job: RelayJob | undefined;
		try {
			const destination = await destinationOf(request, route);
			if (!destination) {
				endings.refuseAtOnce(request, caller, {kind: 'not-resumable'});
				return;
			}

			job = createJob({
				request, route, rank, workspace, waited, generation: table.configuration.generation, caller, signal,
			}, destination);
			await handle(job, table);
		} finally {
			entry.leave(job?.hasReachedEndpoint() ?? false);
		}
	}

	/** Serves an admitted request. */
	async function handle(job: RelayJob, table: RoutingTable): Promise<void> {
		if (quarantine.isBlocked(job.fingerprint, clock.now())) {
			refuse(job, {kind: 'quarantined'});
			return;
		}

		await runTurn(job, table.pool(job.pool)?.tokensPerEvent ?? 1);
	}

	/** Opens the turn of a job, and refuses the job if that fails, without waiting for its reservation. */
	async function openTurn(job: RelayJob, signal: AbortSignal): Promise<TurnOpening> {
		const opened = await options.turns.open(job.request, job.route, {workspace: job.workspace, timeLeft: job.timeLeft(), signal});
		if (opened.kind === 'refused') {
			refuseOnce(job, opened.refusal);
		}

		return opened;
	}

	/** Reserves the tokens of a request and opens its turn, if its route keeps turns, and sends it once both have succeeded. */
	async function runTurn(job: RelayJob, tokensPerEvent: number): Promise<void> {
		const withheld = new AbortController();
		const reserving = reserve(job).then(granted => {
			if (!granted) {
				withheld.abort();
			}

			return granted;
		});
		const opening = job.route.keepsTurns ? openTurn(job, withheld.signal) : undefined;
		const [settle, opened] = await Promise.all([reserving, opening]);
		if (opened?.kind === 'opened') {
			job.startTurn(opened.turn);
		}

		if (settle && opened?.kind === 'refused') {
			settle(as<Tokens>(0));
		} else if (settle) {
			const endpoint = await run(job);
			const part = job.request.prompt.at(-1)?.id;
			settle(as<Tokens>(job.eventsRelayed() * tokensPerEvent), endpoint === undefined || part === undefined ? undefined : {part, endpoint});
		}

		job.turn()?.end();
	}

	return {
		active: () => active,
		recordEnd: attempts.recordEnd,
		endBy(announced) {
			stop = announced;
		},
		async serve(request, caller, signal) {
			active++;
			try {
				await admit(request, caller, signal);
			} finally {
				active--;
			}
		},
	};
}
