/**
Recovery of calls whose intent was recorded by an earlier owner: a model's answer is resumed from the
engine that the request was sent to, and the outcome of any other call is reported as unknown.
*/
import {type Dispatch} from '../contracts/attempt.js';
import {type Clock} from '../contracts/clock.js';
import {failure} from '../contracts/failure.js';
import {as, type IdempotencyKey, type Tokens} from '../contracts/id.js';
import {type Outcome, outcomeOf} from '../contracts/outcome.js';
import {type CallState} from '../contracts/program.js';
import {spendOf} from '../contracts/spend.js';
import {type Fleet} from '../machines/fleet.js';
import {
	append, type Execution, type ExecutionEvent, refuse,
} from './execution.js';
import {endingOf} from './transcript.js';

export type Recovery = {
	/** Determines and records the outcome of a call. The transcript is ended in every case. */
	readonly recover: (execution: Execution, key: IdempotencyKey) => Promise<void>;
};

export type RecoveryOptions = {
	readonly fleet: Fleet;
	readonly dispatch: Dispatch;
	readonly clock: Clock;
	readonly onEvent: (event: ExecutionEvent) => void;
};

type Intended = Extract<CallState, {kind: 'intended'}>;

/** Creates the recovery of an instance. */
export function createRecovery(options: RecoveryOptions): Recovery {
	const {fleet, dispatch, clock} = options;

	async function recover(execution: Execution, key: IdempotencyKey): Promise<void> {
		const state = execution.program.calls.get(key);
		if (state?.kind !== 'intended') {
			refuse(execution, failure('not-found', `No call with key ${key}`, {step: 'recover', peer: 'home'}));
			return;
		}

		const outcome = state.request.kind === 'model' ? await resume(execution, state) : unknownOutcome(state);
		const used = spendOf(outcome, state.reservation);
		// The reservation was counted as spent when the intent was replayed.
		execution.program.account.restore({
			tokens: as<Tokens>(used.tokens - state.reservation.tokens), calls: used.calls - state.reservation.calls,
		});
		execution.transcript.name(state.stream);
		options.onEvent({
			kind: 'recovered', call: state.call, program: execution.program.id, endpoint: state.endpoint, detail: outcome.kind,
		});
		const {durable} = append(execution, {
			kind: 'settled',
			program: execution.program.id,
			call: state.call,
			key,
			digest: state.digest,
			stream: state.stream,
			outcome,
			used,
		});
		const recorded = await durable;
		execution.transcript.end(endingOf(outcome, recorded));
	}

	/** Outcome of a call whose sender was lost; the request is never sent again. */
	function unknownOutcome(state: Intended): Outcome {
		return {
			kind: 'unknown',
			failure: failure('outcome-unknown', `The instance that sent the request to ${state.endpoint} was lost before the outcome was recorded`, {
				step: 'recover', peer: state.endpoint, execution: 'unknown',
			}),
		};
	}

	/** Resumes a model's answer from the engine that an earlier owner sent the request to. */
	async function resume(execution: Execution, state: Intended): Promise<Outcome> {
		const backEnd = fleet.backEnd(state.endpoint);
		const route = fleet.route(state.route);
		if (!backEnd || !route) {
			return unknownOutcome(state);
		}

		for (const token of state.prefix) {
			execution.transcript.push(token);
		}

		execution.transcript.name(state.stream);
		const result = await dispatch.resume(backEnd.endpoint, state.attempt, {
			timeout: route.timeout,
			signal: execution.signal,
			onToken(text) {
				execution.transcript.push(text);
			},
			onNotice(notice) {
				backEnd.recordNotice(notice, clock.now());
			},
		});
		if (result.kind === 'answered' && result.answer.kind === 'message') {
			return {kind: 'completed', answer: {...result.answer, tokens: [...state.prefix, ...result.answer.tokens]}};
		}

		if (result.kind === 'answered') {
			return unknownOutcome(state);
		}

		return outcomeOf({...result.failure, step: 'recover', execution: 'failed'});
	}

	return {recover};
}
