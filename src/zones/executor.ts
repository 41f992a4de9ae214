/**
Execution of one call at its program's home: reserve, place, record the intent, dispatch, settle.

The intent is recorded before a request that may not be repeated leaves. A request that may be
repeated leaves at once, but its answer is shown to the caller only after the intent is durable, so
that no caller sees the effect of a call that a successor would not know of.
*/
import {type Spend} from '../contracts/budget.js';
import {type Call, type Message, type Request} from '../contracts/call.js';
import {type Clock, type Random} from '../contracts/clock.js';
import {
	type Attempt, type AttemptResult, type Dispatch, nextStep,
} from '../contracts/attempt.js';
import {
	describeError, type Execution as Certainty, type Failure, failure, type FailureCode, type Step,
} from '../contracts/failure.js';
import {fingerprintOf} from '../contracts/fingerprint.js';
import {type Urgency} from '../contracts/ledger.js';
import {
	as, type AttemptId, type EndpointId, type IdempotencyKey, type Milliseconds, type Tokens,
} from '../contracts/id.js';
import {type Outcome, outcomeOf} from '../contracts/outcome.js';
import {
	applyRecord, expiryOf, type Program, type Programs,
} from '../contracts/program.js';
import {type JournalRecord} from '../contracts/record.js';
import {countTokens, promptOf} from '../contracts/prompt.js';
import {usedBy} from '../contracts/usage.js';
import {isRepeatable, type Route} from '../contracts/route.js';
import {type BackEnd, type Pace} from '../machines/back-end.js';
import {type Fleet, type Place} from '../machines/fleet.js';
import {type Scheduler} from '../machines/policy.js';
import {type Quarantine} from '../machines/quarantine.js';
import {type Journal} from './journal.js';
import {createEngineAttempts} from './engine-attempts.js';
import {createRecovery} from './recovery.js';
import {endingOf, type Transcript} from './transcript.js';

/** Attempts that one call may take. */
const maximumAttempts = 3;

/** Time that a call which may not be repeated waits for its intent to be recorded. */
export const commitTimeoutMs = 2000;

/** What a call works on. */
export type Execution = {
	readonly program: Program;
	readonly programs: Programs;
	readonly journal: Journal;
	readonly transcript: Transcript;
	/** Aborts when the shard is lost to another instance. */
	readonly lost: AbortSignal;
	/** Aborts when the call should stop for any reason. */
	readonly signal: AbortSignal;
};

export type Executor = {
	/** Runs a call to its outcome. The transcript ends in any case. */
	readonly run: (execution: Execution, call: Call, digest: string) => Promise<void>;
	/** Brings a call to its outcome whose intent another owner recorded. */
	readonly recover: (execution: Execution, key: IdempotencyKey) => Promise<void>;
};

/** What happened, for logs, metrics and `explain`. */
export type ExecutionEvent = {
	readonly kind: 'placed' | 'retried' | 'settled' | 'recovered' | 'crashed' | 'stalled' | 'restored';
	readonly call: Call['id'];
	readonly program: Program['id'];
	readonly endpoint?: EndpointId;
	readonly detail: string;
};

export type ExecutorOptions = {
	readonly fleet: Fleet;
	readonly scheduler: Scheduler;
	readonly dispatch: Dispatch;
	readonly quarantine: Quarantine;
	readonly clock: Clock;
	readonly random: Random;
	/** Time until an endpoint that is found slow is tried again. */
	readonly trialDelay: (endpoint: EndpointId) => Milliseconds;
	readonly onEvent: (event: ExecutionEvent) => void;
};

/** A call with everything that is fixed before its first attempt. */
type Job = {
	readonly execution: Execution;
	readonly call: Call;
	readonly digest: string;
	readonly fingerprint: string;
	readonly route: Route;
	readonly prompt: readonly Message[];
	readonly reservation: Spend;
	readonly deadline: Milliseconds;
	readonly signal: AbortSignal;
	readonly excluded: Set<EndpointId>;
	stream: AttemptId | undefined;
	mayHaveRun: boolean;
	attempts: number;
};

function reservationOf(request: Request, prompt: readonly Message[]): Spend {
	const tokens = request.kind === 'model' ? countTokens(prompt) + request.limit : 0;
	return {tokens: as<Tokens>(tokens), calls: 1};
}

/** A repeatable service call shows nothing before its settlement, so its intent can wait for that. */
function urgencyOf(route: Route): Urgency {
	if (!isRepeatable(route)) {
		return 'immediate';
	}

	return route.kind === 'model' ? 'windowed' : 'deferred';
}

/** Creates the executor of an instance. */
export function createExecutor(options: ExecutorOptions): Executor {
	const {fleet, dispatch, quarantine, clock, random, scheduler} = options;
	const recovery = createRecovery(options);
	const engineAttempts = createEngineAttempts({fleet, dispatch, clock});

	function stop(step: Step, reason: unknown, certainty: Certainty): Failure {
		const code: FailureCode = describeError(reason).includes('deadline') ? 'deadline-exceeded' : 'cancelled';
		return failure(code, `The call was stopped: ${describeError(reason)}`, {step, peer: 'home', execution: certainty});
	}

	/** What is known here no longer counts: the new owner has the ledger and answers for the key. */
	function lostShard(outcome: Outcome): Failure {
		const certainty = outcome.kind === 'not-run' ? 'not-run' : 'unknown';
		return failure('not-owner', 'The shard was lost during the call', {step: 'settle', peer: 'home', execution: certainty});
	}

	function refuse(execution: Execution, reason: Failure): void {
		execution.transcript.end({kind: 'refused', failure: reason});
	}

	/** Applies a record here and sends it to the journal. */
	function append(execution: Execution, record: JournalRecord, urgency: Urgency = 'windowed') {
		applyRecord(execution.programs, record);
		return execution.journal.append([record], urgency);
	}

	async function run(execution: Execution, call: Call, digest: string): Promise<void> {
		const job = prepare(execution, call, digest);
		if ('code' in job) {
			refuse(execution, job);
			return;
		}

		const {account} = execution.program;
		const reserved = account.reserve(job.reservation);
		if (reserved.isErr()) {
			refuse(execution, reserved.error);
			return;
		}

		fleet.retryBudget(job.route.pool).deposit();
		const outcome = await attemptUntilSettled(job);
		const used = usedBy(outcome, job.reservation);
		account.settle(job.reservation, used);
		await settle(job, outcome, used);
	}

	/** Checks what can be checked before anything is reserved. */
	function prepare(execution: Execution, call: Call, digest: string): Job | Failure {
		const fingerprint = fingerprintOf(call);
		const route = fleet.route(call.route);
		if (!route) {
			return failure('not-found', `No route "${call.route}"`, {step: 'admit', peer: 'configuration'});
		}

		if (route.kind !== call.request.kind) {
			return failure('invalid-request', `Route "${call.route}" takes ${route.kind} calls`, {step: 'admit', peer: 'configuration'});
		}

		if (quarantine.isBlocked(fingerprint, clock.now())) {
			return failure('quarantined', 'The request crashed several endpoints and is not run again', {step: 'admit', peer: 'home'});
		}

		if (execution.lost.aborted) {
			return failure('not-owner', 'The shard was lost before the call began', {step: 'admit', peer: 'home'});
		}

		const left = expiryOf(execution.program) - clock.wall();
		const timeout = Math.min(call.timeout, route.timeout, left);
		if (execution.signal.aborted || timeout <= 0) {
			return stop('admit', execution.signal.aborted ? execution.signal.reason : new Error('deadline passed'), 'not-run');
		}

		const request = call.request.kind === 'model' && route.kind === 'model'
			? {...call.request, limit: as<Tokens>(Math.min(call.request.limit, route.limit))}
			: call.request;
		const prompt = promptOf(execution.program, request);
		return {
			execution,
			call: {...call, request},
			digest,
			fingerprint,
			route,
			prompt,
			reservation: reservationOf(request, prompt),
			deadline: as<Milliseconds>(clock.now() + timeout),
			signal: execution.signal,
			excluded: new Set(),
			stream: undefined,
			mayHaveRun: false,
			attempts: 0,
		};
	}

	async function attemptUntilSettled(job: Job): Promise<Outcome> {
		for (;;) {
			const place = await findPlace(job);
			if ('code' in place) {
				return outcomeOf({...place, execution: job.mayHaveRun ? 'failed' : 'not-run'});
			}

			const result = await attemptOn(job, place);
			const pool = fleet.retryBudget(job.route.pool);
			const mayRetry = result.kind !== 'stalled' && canTryAgain(job) && pool.withdraw();
			const step = nextStep(result, {isRepeatable: isRepeatable(job.route), mayRetry, mayHaveRun: job.mayHaveRun});
			if (step.kind === 'settle') {
				return step.outcome;
			}

			job.mayHaveRun ||= result.kind === 'broken' || result.kind === 'stalled';
			emit(job, 'retried', step.failure.message, place.backEnd.endpoint.id);
		}
	}

	function canTryAgain(job: Job): boolean {
		const isStopped = job.signal.aborted || clock.now() >= job.deadline;
		return job.attempts < maximumAttempts && !isStopped && !quarantine.isBlocked(job.fingerprint, clock.now());
	}

	async function findPlace(job: Job): Promise<Place | Failure> {
		const patience = as<Milliseconds>(job.deadline - clock.now());
		const expiring = new AbortController();
		void clock.sleep(patience, expiring.signal).then(() => {
			expiring.abort(new Error('deadline passed while waiting for a place'));
		});
		const attained = job.execution.program.account.spent().tokens;
		const found = await fleet.acquire(job.route.pool, {
			program: job.call.program,
			prompt: countTokens(job.prompt),
			excluded: job.excluded,
		}, {
			priority: -scheduler.urgency(clock.now(), attained),
			patience,
			signal: AbortSignal.any([job.signal, expiring.signal]),
		});
		expiring.abort();
		return found.match(place => place, reason => reason);
	}

	async function attemptOn(job: Job, place: Place): Promise<AttemptResult> {
		const {backEnd} = place;
		const attempt = createAttempt(job);
		job.attempts++;
		job.excluded.add(backEnd.endpoint.id);
		emit(job, 'placed', `attempt ${job.attempts} after ${backEnd.queue.size} waiting`, backEnd.endpoint.id);
		const committed = await recordIntent(job, attempt, backEnd);
		if (committed) {
			place.release();
			return {kind: 'not-started', failure: committed, isLeaving: false};
		}

		const result = await send(job, attempt, backEnd);
		place.release();
		learn(job, result, backEnd);
		return result;
	}

	function createAttempt(job: Job): Attempt {
		const attempt: Attempt = {
			id: as<AttemptId>(random.unique()),
			program: job.call.program,
			route: job.call.route,
			key: job.call.key,
			request: job.call.request,
			isRepeatable: isRepeatable(job.route),
			prompt: job.prompt,
			priority: Math.round(scheduler.urgency(clock.wall(), job.execution.program.account.spent().tokens)),
			prefix: [...job.execution.transcript.tokens()],
		};
		job.stream ??= attempt.id;
		return attempt;
	}

	/** Records the intent. Returns a failure when the attempt must not be sent. */
	async function recordIntent(job: Job, attempt: Attempt, backEnd: BackEnd): Promise<Failure | undefined> {
		const {execution, call} = job;
		const appended = append(execution, {
			kind: 'intent',
			program: call.program,
			call: call.id,
			key: call.key,
			route: call.route,
			digest: job.digest,
			request: call.request,
			attempt: attempt.id,
			stream: job.stream ?? attempt.id,
			prefix: attempt.prefix,
			endpoint: backEnd.endpoint.id,
			repeatable: isRepeatable(job.route),
			reservation: job.reservation,
		}, urgencyOf(job.route));
		if (isRepeatable(job.route)) {
			void appended.durable.then(() => {
				execution.transcript.name(job.stream ?? attempt.id);
			});
			return undefined;
		}

		const timer = new AbortController();
		const waiting = clock.sleep(as<Milliseconds>(Math.min(commitTimeoutMs, job.deadline - clock.now())), timer.signal)
			.then(() => 'late' as const);
		const first = await Promise.race([appended.committed, waiting]);
		timer.abort();
		if (first === 'late') {
			return failure('platform-unavailable', 'The intent could not be recorded in time, so the request was not sent', {
				step: 'commit', peer: 'platform', retryAfter: as<Milliseconds>(commitTimeoutMs),
			});
		}

		if (job.signal.aborted) {
			return stop('commit', job.signal.reason, 'not-run');
		}

		execution.transcript.name(job.stream ?? attempt.id);
		return first.match(() => undefined, reason => ({...reason, execution: 'not-run' as const}));
	}

	async function send(job: Job, attempt: Attempt, backEnd: BackEnd): Promise<AttemptResult> {
		switch (attempt.request.kind) {
			case 'model': {
				const sent = await engineAttempts.send(backEnd, attempt, {
					...dispatchOptions(job, attempt, backEnd),
					mayMove: () => canTryAgain(job) && fleet.hasAlternative(job.route.pool, job.excluded) && fleet.retryBudget(job.route.pool).withdraw(),
				});
				if (sent.pace) {
					observe(job, backEnd, sent.pace);
				}

				return sent.result;
			}

			case 'service': {
				const startedAt = clock.now();
				const result = await dispatch.send(backEnd.endpoint, attempt, dispatchOptions(job, attempt, backEnd));
				if (result.kind === 'answered') {
					observe(job, backEnd, {call: clock.now() - startedAt, firstToken: 0, token: 0});
				}

				return result;
			}
		}
	}

	function dispatchOptions(job: Job, attempt: Attempt, backEnd: BackEnd) {
		const {transcript} = job.execution;
		return {
			timeout: as<Milliseconds>(Math.max(1, Math.ceil(job.deadline - clock.now()))),
			signal: job.signal,
			onToken(text: string, index: number) {
				if (index + attempt.prefix.length === transcript.tokens().length) {
					transcript.push(text);
				}
			},
			onLoad(total: number) {
				backEnd.reportLoad(total, clock.now());
			},
		};
	}

	function observe(job: Job, backEnd: BackEnd, pace: Pace): void {
		const wasSlow = backEnd.health().kind === 'slow';
		if (wasSlow) {
			// The trial is judged by itself, not by what made the endpoint slow.
			backEnd.forgetPace();
		}

		backEnd.observe(pace);
		const endpoint = backEnd.endpoint.id;
		const typical = fleet.typicalPace(endpoint);
		const own = backEnd.pace();
		const [observed, usual] = backEnd.kind === 'engine' ? [own.token, typical.token] : [own.call, typical.call];
		backEnd.report({
			kind: 'succeeded', pace: observed, typical: usual, trialAfter: options.trialDelay(endpoint),
		}, clock.now());
		if (wasSlow && backEnd.health().kind === 'healthy') {
			emit(job, 'restored', 'answered in its usual time', endpoint);
		}
	}

	function learn(job: Job, result: AttemptResult, backEnd: BackEnd): void {
		const endpoint = backEnd.endpoint.id;
		switch (result.kind) {
			case 'answered': {
				backEnd.remember(job.call.program, countTokens(job.prompt));
				quarantine.absolve(job.fingerprint);
				return;
			}

			case 'not-started': {
				backEnd.report(result.isLeaving ? {kind: 'reported-leaving'} : {kind: 'failed'}, clock.now());
				return;
			}

			case 'rejected': {
				return;
			}

			case 'stalled': {
				backEnd.report({kind: 'stalled', trialAfter: options.trialDelay(endpoint)}, clock.now());
				emit(job, 'stalled', result.failure.message, endpoint);
				return;
			}

			case 'broken': {
				if (job.signal.aborted) {
					return;
				}

				backEnd.report({kind: 'failed'}, clock.now());
				if (result.failure.code === 'endpoint-failed' && quarantine.record({fingerprint: job.fingerprint, endpoint}, clock.now())) {
					emit(job, 'crashed', job.fingerprint, endpoint);
				}
			}
		}
	}

	async function settle(job: Job, outcome: Outcome, used: Spend): Promise<void> {
		const {execution, call} = job;
		emit(job, 'settled', outcome.kind === 'completed' ? 'completed' : `${outcome.kind}: ${outcome.failure.message}`);
		if (execution.lost.aborted) {
			refuse(execution, lostShard(outcome));
			return;
		}

		if (job.stream === undefined) {
			// No intent was recorded, so there is nothing to settle and the key may be used again.
			execution.transcript.end(outcome.kind === 'completed' ? {kind: 'settled', outcome} : {kind: 'refused', failure: outcome.failure});
			return;
		}

		const {durable} = append(execution, {
			kind: 'settled', program: call.program, call: call.id, key: call.key, digest: job.digest, stream: job.stream, outcome, used,
		});
		if (outcome.kind === 'not-run') {
			execution.transcript.end({kind: 'settled', outcome});
			return;
		}

		const recorded = await durable;
		execution.transcript.end(endingOf(outcome, recorded));
	}

	function emit(job: Job, kind: ExecutionEvent['kind'], detail: string, endpoint?: EndpointId): void {
		options.onEvent({
			kind, call: job.call.id, program: job.call.program, ...(endpoint !== undefined && {endpoint}), detail,
		});
	}

	return {run, recover: recovery.recover};
}
