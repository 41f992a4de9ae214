/**
How relayed requests end: what their callers get, and the event that tells of it.
*/
import {
	as, type Milliseconds,
} from '../contracts/id.js';
import {type RelayResult} from '../contracts/relay-attempt.js';
import {type Caller, type Refusal, type RelayRequest} from '../contracts/relay-request.js';
import {type Choice, placementTimeoutFraction} from './endpoint-choice.js';
import {type RelayEvent} from './relay-event.js';
import {type RelayJob} from './relay-job.js';
import {type Entry} from './workspace-gate.js';

/** Minimum time after which a refused caller is asked to retry. */
export const minimumRetryAfterMs = 150;

export type RelayEndings = {
	readonly refuse: (job: RelayJob, refusal: Refusal) => void;
	/** Ends a request for which no further attempt is possible; one that has not run may be after `wait`. */
	readonly giveUp: (job: RelayJob, result: RelayResult | undefined, wait?: number) => void;
	/** Ends a request that no endpoint may serve any more. */
	readonly endUnplaced: (job: RelayJob, choice: Extract<Choice, {kind: 'version-gone' | 'used-up'}>, lastResult: RelayResult | undefined) => void;
	/** Passes a complete result on, once its turn is kept if it is one. */
	readonly deliver: (job: RelayJob, result: RelayResult) => Promise<void>;
	/** Refuses a request that no attempt was made for. */
	readonly refuseAtOnce: (request: RelayRequest, caller: Caller, refusal: Refusal) => void;
	/** Ends a request that the gate has not let in. */
	readonly turnAway: (request: RelayRequest, caller: Caller, entry: Exclude<Entry, {kind: 'entered'}>, elapsed: Milliseconds) => void;
};

/** Creates the endings of an instance's requests. */
export function createRelayEndings(onEvent: (event: RelayEvent) => void): RelayEndings {
	function refuse(job: RelayJob, refusal: Refusal): void {
		onEvent({
			kind: 'refused', request: job.request, workspace: job.workspace, refusal, attempts: job.attempts(), elapsed: job.elapsed(),
		});
		if (job.hasSentHead()) {
			job.caller.abort();
		} else {
			job.caller.refuse(refusal);
		}
	}

	/** Answers a request that was aborted: its caller may still be there. */
	function release(job: RelayJob): void {
		if (job.hasSentHead()) {
			job.caller.abort();
		} else {
			job.caller.refuse(job.mayHaveRun() ? {kind: 'failed'} : {kind: 'not-run', retryAfter: as<Milliseconds>(minimumRetryAfterMs)});
		}
	}

	function giveUp(job: RelayJob, result: RelayResult | undefined, wait = job.route.latencyGoal * placementTimeoutFraction): void {
		if (result?.kind === 'cancelled' || job.signal.aborted) {
			onEvent({
				kind: 'cancelled', request: job.request, attempts: job.attempts(), elapsed: job.elapsed(),
			});
			release(job);
			return;
		}

		if (job.mayHaveRun()) {
			refuse(job, {kind: result?.kind === 'expired' || job.timeLeft() <= 0 ? 'timeout' : 'failed'});
			return;
		}

		refuse(job, {kind: 'not-run', retryAfter: as<Milliseconds>(Math.max(minimumRetryAfterMs, wait))});
	}

	function endUnplaced(job: RelayJob, choice: Extract<Choice, {kind: 'version-gone' | 'used-up'}>, lastResult: RelayResult | undefined): void {
		switch (choice.kind) {
			case 'version-gone': {
				refuse(job, {kind: job.mayHaveRun() ? 'failed' : 'not-resumable'});
				return;
			}

			case 'used-up': {
				giveUp(job, lastResult);
			}
		}
	}

	async function deliver(job: RelayJob, result: RelayResult): Promise<void> {
		const turn = job.turn();
		if (result.kind === 'answered') {
			job.caller.answer(result.head, result.body);
		} else if (!turn || await turn.keep(job.timeLeft())) {
			job.caller.finish();
		} else {
			refuse(job, {kind: 'failed'});
			return;
		}

		onEvent({
			kind: 'served', request: job.request, attempts: job.attempts(), elapsed: job.elapsed(),
		});
	}

	function refuseAtOnce(request: RelayRequest, caller: Caller, refusal: Refusal): void {
		onEvent({
			kind: 'refused', request, workspace: undefined, refusal, attempts: 0, elapsed: as<Milliseconds>(0),
		});
		caller.refuse(refusal);
	}

	function turnAway(request: RelayRequest, caller: Caller, entry: Exclude<Entry, {kind: 'entered'}>, elapsed: Milliseconds): void {
		const ending = {request, attempts: 0, elapsed};
		switch (entry.kind) {
			case 'refused': {
				onEvent({...ending, ...entry});
				caller.refuse(entry.refusal);
				return;
			}

			case 'cancelled': {
				onEvent({...ending, kind: 'cancelled'});
				caller.refuse({kind: 'not-run', retryAfter: as<Milliseconds>(minimumRetryAfterMs)});
			}
		}
	}

	return {
		refuse, giveUp, endUnplaced, deliver, refuseAtOnce, turnAway,
	};
}
