/**
Attempts of a call: records the intent, sends the request, and reports the result to the back end's health
and to the quarantine.
*/
import {causeOfAbort} from '../contracts/abort-cause.js';
import {type EndpointNotice} from '../contracts/endpoint-notice.js';
import {type Spend} from '../contracts/budget.js';
import {type Call, type Message} from '../contracts/call.js';
import {type Attempt, type AttemptResult} from '../contracts/attempt.js';
import {
	describeError, type ExecutionStatus, type Failure, failure, type Step,
} from '../contracts/failure.js';
import {
	as, type AttemptId, type EndpointId, type Milliseconds,
} from '../contracts/id.js';
import {type Urgency} from '../contracts/ledger-event.js';
import {countTokens} from '../contracts/prompt.js';
import {isRepeatable, type Route} from '../contracts/route.js';
import {type BackEnd, type CallLatency} from '../machines/back-end.js';
import {type BackEndSlot} from '../machines/fleet.js';
import {createEngineAttempts} from './engine-attempts.js';
import {withTimeout} from './with-timeout.js';
import {
	append, type Execution, type ExecutionEvent, type ExecutorOptions,
} from './execution.js';

/** Maximum number of attempts of one call. */
const maximumAttempts = 3;

/** Maximum time for which a non-repeatable call waits for its intent to be committed. */
export const commitTimeoutMs = 2000;

/** A call with all that is determined before its first attempt, and the state of its attempts. */
export type Job = {
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

/** A repeatable service call returns nothing before its settlement, so its intent can be written together with that. */
function urgencyOf(route: Route): Urgency {
	if (!isRepeatable(route)) {
		return 'immediate';
	}

	return route.kind === 'model' ? 'windowed' : 'deferred';
}

/** Failure of a call that was cancelled or ran past its deadline. */
export function stop(step: Step, reason: unknown, certainty: ExecutionStatus): Failure {
	return failure(causeOfAbort(reason), `The call was stopped: ${describeError(reason)}`, {step, peer: 'home', execution: certainty});
}

export type CallAttempts = {
	/** Whether the deadline, the number of attempts and the quarantine allow another attempt. */
	readonly canRetry: (job: Job) => boolean;
	/** Runs one attempt in a back-end slot and releases the slot afterwards. */
	readonly run: (job: Job, place: BackEndSlot) => Promise<AttemptResult>;
	readonly emit: (job: Job, kind: ExecutionEvent['kind'], detail: string, endpoint?: EndpointId) => void;
};

/** Creates the attempts for the calls of an instance. */
export function createCallAttempts(options: ExecutorOptions): CallAttempts {
	const {fleet, dispatch, quarantine, clock, random, scheduler} = options;
	const engineAttempts = createEngineAttempts({fleet, dispatch, clock});

	function canRetry(job: Job): boolean {
		const isStopped = job.signal.aborted || clock.now() >= job.deadline;
		return job.attempts < maximumAttempts && !isStopped && !quarantine.isBlocked(job.fingerprint, clock.now());
	}

	async function run(job: Job, place: BackEndSlot): Promise<AttemptResult> {
		const {backEnd} = place;
		const attempt = createAttempt(job);
		job.attempts++;
		job.excluded.add(backEnd.endpoint.id);
		emit(job, 'placed', `attempt ${job.attempts}, queue length ${backEnd.queue.size}`, backEnd.endpoint.id);
		const intentFailure = await recordIntent(job, attempt, backEnd);
		if (intentFailure) {
			place.release();
			return {kind: 'not-started', failure: intentFailure, isLeaving: false};
		}

		const result = await send(job, attempt, backEnd);
		place.release();
		reportResult(job, result, backEnd);
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
			priority: Math.round(scheduler.sortKey(clock.wall(), job.execution.program.account.spent().tokens)),
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

		const committed = await withTimeout(clock, Math.min(commitTimeoutMs, job.deadline - clock.now()), appended.committed);
		if (!committed) {
			return failure('platform-unavailable', `The intent could not be recorded in time (at most ${commitTimeoutMs} ms), so the request was not sent to ${backEnd.endpoint.id}`, {
				step: 'commit', peer: 'platform', retryAfter: as<Milliseconds>(commitTimeoutMs),
			});
		}

		if (job.signal.aborted) {
			return stop('commit', job.signal.reason, 'not-run');
		}

		execution.transcript.name(job.stream ?? attempt.id);
		return committed.match(() => undefined, reason => ({...reason, execution: 'not-run' as const}));
	}

	async function send(job: Job, attempt: Attempt, backEnd: BackEnd): Promise<AttemptResult> {
		switch (attempt.request.kind) {
			case 'model': {
				const sent = await engineAttempts.send(backEnd, attempt, {
					...dispatchOptions(job, attempt, backEnd),
					mayRetryElsewhere: () => canRetry(job) && fleet.hasAlternative(job.route.pool, job.excluded) && fleet.retryBudget(job.route.pool).withdraw(),
				});
				if (sent.pace) {
					recordLatency(job, backEnd, sent.pace);
				}

				return sent.result;
			}

			case 'service': {
				const startedAt = clock.now();
				const result = await dispatch.send(backEnd.endpoint, attempt, dispatchOptions(job, attempt, backEnd));
				if (result.kind === 'answered') {
					recordLatency(job, backEnd, {call: clock.now() - startedAt, firstToken: 0, token: 0});
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
			onNotice(notice: EndpointNotice) {
				backEnd.recordNotice(notice, clock.now());
			},
		};
	}

	function recordLatency(job: Job, backEnd: BackEnd, pace: CallLatency): void {
		const wasSlow = backEnd.health().kind === 'slow';
		if (wasSlow) {
			// The trial is judged on its own latency, without the observations that made the endpoint slow.
			backEnd.resetLatency();
		}

		backEnd.recordLatency(pace);
		const endpoint = backEnd.endpoint.id;
		const typicalLatency = fleet.typicalLatency(endpoint);
		const own = backEnd.pace();
		const [observed, typical] = backEnd.kind === 'engine' ? [own.token, typicalLatency.token] : [own.call, typicalLatency.call];
		backEnd.applyHealthEvent({
			kind: 'succeeded', pace: observed, typical, trialAfter: options.trialDelay(endpoint),
		}, clock.now());
		if (wasSlow && backEnd.health().kind === 'healthy') {
			emit(job, 'restored', 'answered in its typical time', endpoint);
		}
	}

	function reportResult(job: Job, result: AttemptResult, backEnd: BackEnd): void {
		const endpoint = backEnd.endpoint.id;
		switch (result.kind) {
			case 'answered': {
				backEnd.markCached(job.call.program, countTokens(job.prompt));
				quarantine.clear(job.fingerprint);
				return;
			}

			case 'not-started': {
				backEnd.applyHealthEvent(result.isLeaving ? {kind: 'reported-leaving'} : {kind: 'failed'}, clock.now());
				return;
			}

			case 'rejected': {
				return;
			}

			case 'stalled': {
				backEnd.applyHealthEvent({kind: 'stalled', trialAfter: options.trialDelay(endpoint)}, clock.now());
				emit(job, 'stalled', result.failure.message, endpoint);
				return;
			}

			case 'broken': {
				if (job.signal.aborted) {
					return;
				}

				backEnd.applyHealthEvent({kind: 'failed'}, clock.now());
				if (result.failure.code === 'endpoint-failed' && quarantine.record({fingerprint: job.fingerprint, endpoint}, clock.now())) {
					emit(job, 'crashed', job.fingerprint, endpoint);
				}
			}
		}
	}

	function emit(job: Job, kind: ExecutionEvent['kind'], detail: string, endpoint?: EndpointId): void {
		options.onEvent({
			kind, call: job.call.id, program: job.call.program, ...(endpoint !== undefined && {endpoint}), detail,
		});
	}

	return {canRetry, run, emit};
}
