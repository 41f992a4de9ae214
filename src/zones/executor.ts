/**
Execution of one call at its program's home: reserve budget, acquire a back-end slot, record the intent,
dispatch, settle.

A non-repeatable request is sent only after its intent is committed. A repeatable request is sent at
once, but its answer is shown to the caller only after the intent is durable, so that no caller sees
the effect of a call that the next owner of the shard does not know of.
*/
import {abortReason} from '../contracts/abort-cause.js';
import {type Spend} from '../contracts/budget.js';
import {type Call, type Message, type Request} from '../contracts/call.js';
import {nextStep} from '../contracts/attempt.js';
import {type Failure, failure} from '../contracts/failure.js';
import {fingerprintOf} from '../contracts/fingerprint.js';
import {
	as, type IdempotencyKey, type Milliseconds, type Tokens,
} from '../contracts/id.js';
import {type Outcome, outcomeOf} from '../contracts/outcome.js';
import {expiryOf} from '../contracts/program.js';
import {countTokens, promptOf} from '../contracts/prompt.js';
import {spendOf} from '../contracts/spend.js';
import {isRepeatable} from '../contracts/route.js';
import {type BackEndSlot} from '../machines/fleet.js';
import {createCallAttempts, type Job, stop} from './call-attempts.js';
import {
	append, type Execution, type ExecutorOptions, refuse,
} from './execution.js';
import {createRecovery} from './recovery.js';
import {endingOf} from './transcript.js';

export type Executor = {
	/** Runs a call until its outcome is known. The transcript is ended in every case. */
	readonly run: (execution: Execution, call: Call, digest: string) => Promise<void>;
	/** Determines the outcome of a call whose intent was recorded by an earlier owner. */
	readonly recover: (execution: Execution, key: IdempotencyKey) => Promise<void>;
};

function reservationOf(request: Request, prompt: readonly Message[]): Spend {
	const tokens = request.kind === 'model' ? countTokens(prompt) + request.limit : 0;
	return {tokens: as<Tokens>(tokens), calls: 1};
}

/** Creates the executor of an instance. */
export function createExecutor(options: ExecutorOptions): Executor {
	const {fleet, quarantine, clock, scheduler} = options;
	const recovery = createRecovery(options);
	const attempts = createCallAttempts(options);

	/** The outcome found here is discarded: the new owner has the ledger and determines the outcome for the key. */
	function shardLostFailure(outcome: Outcome): Failure {
		const certainty = outcome.kind === 'not-run' ? 'not-run' : 'unknown';
		return failure('not-owner', 'The shard was lost during the call', {step: 'settle', peer: 'home', execution: certainty});
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
		const used = spendOf(outcome, job.reservation);
		account.settle(job.reservation, used);
		await settle(job, outcome, used);
	}

	/** Validates the call before anything is reserved. */
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
			return failure('not-owner', `The shard of program ${call.program} was lost before the call began`, {step: 'admit', peer: 'home'});
		}

		const remaining = expiryOf(execution.program) - clock.wall();
		const timeout = Math.min(call.timeout, route.timeout, remaining);
		if (execution.signal.aborted || timeout <= 0) {
			return stop('admit', execution.signal.aborted ? execution.signal.reason : abortReason('deadline-exceeded', 'deadline passed'), 'not-run');
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
			const place = await acquireSlot(job);
			if ('code' in place) {
				return outcomeOf({...place, execution: job.mayHaveRun ? 'failed' : 'not-run'});
			}

			const result = await attempts.run(job, place);
			const pool = fleet.retryBudget(job.route.pool);
			const mayRetry = result.kind !== 'stalled' && attempts.canRetry(job) && pool.withdraw();
			const step = nextStep(result, {isRepeatable: isRepeatable(job.route), mayRetry, mayHaveRun: job.mayHaveRun});
			if (step.kind === 'settle') {
				return step.outcome;
			}

			job.mayHaveRun ||= result.kind === 'broken' || result.kind === 'stalled';
			attempts.emit(job, 'retried', step.failure.message, place.backEnd.endpoint.id);
		}
	}

	async function acquireSlot(job: Job): Promise<BackEndSlot | Failure> {
		const timeLeft = as<Milliseconds>(job.deadline - clock.now());
		const expiryController = new AbortController();
		void clock.sleep(timeLeft, expiryController.signal).then(() => {
			expiryController.abort(abortReason('deadline-exceeded', 'deadline passed while waiting for a back-end slot'));
		});
		const attainedTokens = job.execution.program.account.spent().tokens;
		const found = await fleet.acquire(job.route.pool, {
			program: job.call.program,
			prompt: countTokens(job.prompt),
			excluded: job.excluded,
		}, {
			priority: -scheduler.sortKey(clock.now(), attainedTokens),
			timeLeft,
			signal: AbortSignal.any([job.signal, expiryController.signal]),
		});
		expiryController.abort();
		return found.match(place => place, reason => reason);
	}

	async function settle(job: Job, outcome: Outcome, used: Spend): Promise<void> {
		const {execution, call} = job;
		attempts.emit(job, 'settled', outcome.kind === 'completed' ? 'completed' : `${outcome.kind}: ${outcome.failure.message}`);
		if (execution.lost.aborted) {
			refuse(execution, shardLostFailure(outcome));
			return;
		}

		if (job.stream === undefined) {
			// No intent was recorded, so there is nothing to settle and the key may be reused.
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

	return {run, recover: recovery.recover};
}
