/**
Relay: forwards a caller's request to an endpoint and returns the answer, with as many attempts as the route,
the deadline and the budget allow. A broken stream is continued after its last complete event, within the same
answer.
*/
import {createHash} from 'node:crypto';
import {type Clock, type Random} from '../contracts/clock.js';
import {
	as, type DataCentreId, type EndpointId, type Milliseconds, type ProgramId, type Tokens,
} from '../contracts/id.js';
import {type RelayLink} from '../contracts/relay-attempt.js';
import {type Caller, type Refusal, type RelayRequest} from '../contracts/relay-request.js';
import {type RoutingTable} from '../contracts/routing-table.js';
import {type EndpointPaths} from './endpoint-paths.js';
import {type Overload} from './overload.js';
import {type Quarantine} from './quarantine.js';
import {type RatePermits} from './rate-permits.js';
import {createRelayAdmission, type RelayAdmission} from './relay-admission.js';
import {createRelayAttempts} from './relay-attempts.js';
import {type Destination, findDestination} from './relay-destination.js';
import {type RelayEndpoint} from './relay-endpoint.js';
import {createRelayEndings} from './relay-endings.js';
import {type RelayEvent} from './relay-event.js';
import {type RelayFleet} from './relay-fleet.js';
import {createRelayJob, type RelayJob, type RelayJobOptions} from './relay-job.js';
import {createRelayReservations} from './relay-reservations.js';
import {createRelaySending} from './relay-sending.js';
import {type RelayTurns, type TurnOpening} from './relay-turn.js';
import {type RequestAllotments} from './request-allotments.js';
import {type StreamOrigins} from './stream-origins.js';
import {type TokenBudgets} from './token-budgets.js';
import {createWorkspaceGate} from './workspace-gate.js';

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

export type Relay = {
	/** Serves one request; resolves when the caller has received its answer or has disconnected. */
	readonly serve: (request: RelayRequest, caller: Caller, signal: AbortSignal) => Promise<void>;
	readonly active: () => number;
	/** Records that an endpoint, or its incarnation, has ended. */
	readonly recordEnd: (endpoint: EndpointId) => void;
	/** Announces that the process ends at a time of the clock: requests that arrive from a time on and may not end before are refused. */
	readonly endBy: RelayAdmission['endBy'];
};

function fingerprintOf({method, host, target, previousTurn, body}: RelayRequest): string {
	const turn = previousTurn === undefined ? '' : `${previousTurn}\n`;
	return createHash('sha1').update(`${method} ${host}${target}\n${turn}`).update(body).digest('base64url');
}

/** Creates the relay of an instance. */
export function createRelay(options: RelayOptions): Relay {
	const {fleet, clock, quarantine} = options;
	const attempts = createRelayAttempts(options);
	const endings = createRelayEndings(options.onEvent);
	const {refuse} = endings;
	const send = createRelaySending({...options, attempts, endings});
	/** Jobs that were refused before their reservation was decided or their turn was opened. */
	const refused = new WeakSet<RelayJob>();
	const reserve = createRelayReservations({budgets: options.budgets, fleet, refuse: refuseOnce});
	const admission = createRelayAdmission(options);
	const gate = createWorkspaceGate(options);
	let active = 0;

	/** Refuses a job unless it has been. */
	function refuseOnce(job: RelayJob, refusal: Refusal): void {
		if (!refused.has(job)) {
			refused.add(job);
			refuse(job, refusal);
		}
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

	async function serve(request: RelayRequest, caller: Caller, signal: AbortSignal): Promise<void> {
		const admitted = admission.admit(request);
		if (admitted.kind === 'refused') {
			endings.refuseAtOnce(request, caller, admitted.refusal);
			return;
		}

		const {table, route} = admitted;
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
			const destination = await findDestination(request, route, options);
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
			const endpoint = await send(job);
			const part = job.request.prompt.at(-1)?.id;
			settle(as<Tokens>(job.eventsRelayed() * tokensPerEvent), endpoint === undefined || part === undefined ? undefined : {part, endpoint});
		}

		job.turn()?.end();
	}

	return {
		active: () => active,
		recordEnd: attempts.recordEnd,
		endBy: admission.endBy,
		async serve(request, caller, signal) {
			active++;
			try {
				await serve(request, caller, signal);
			} finally {
				active--;
			}
		},
	};
}
