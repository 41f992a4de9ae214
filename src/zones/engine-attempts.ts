/**
Attempts on engines: streams the tokens of an answer, moves a call from a stalled engine to another one, and
resumes a stream whose connection broke while the engine was still generating.
*/
import {
	type Attempt, type AttemptResult, type Dispatch, type DispatchOptions,
} from '../contracts/attempt.js';
import {type Clock} from '../contracts/clock.js';
import {failure} from '../contracts/failure.js';
import {type BackEnd, type CallLatency} from '../machines/back-end.js';
import {type Fleet} from '../machines/fleet.js';
import {startIdleTimer} from './idle-timer.js';

/** Multiple of the pool's typical time to the next token after which a model call is moved to another engine. */
const stallFactor = 4;

const minimumTokenTimeoutMs = 100;
const minimumFirstTokenTimeoutMs = 300;

/** Stall timeout while no typical latency of the pool is known. */
const defaultTokenTimeoutMs = 10_000;

export type EngineAttemptOptions = DispatchOptions & {
	/** Whether the call may be moved to another engine now. Returning true withdraws from the retry budget. */
	readonly mayRetryElsewhere: () => boolean;
};

export type EngineAttempts = {
	/** Sends an attempt. Its latencies (`pace`) are defined only when the engine answered. */
	readonly send: (backEnd: BackEnd, attempt: Attempt, options: EngineAttemptOptions) => Promise<{readonly result: AttemptResult; readonly pace: CallLatency | undefined}>;
};

/** Creates the attempts on engines for an instance. */
export function createEngineAttempts({fleet, dispatch, clock}: {readonly fleet: Fleet; readonly dispatch: Dispatch; readonly clock: Clock}): EngineAttempts {
	/** Time without a token, in ms, after which a call is moved to another engine. */
	function tokenTimeout(backEnd: BackEnd, hasFirstToken: boolean): number {
		const typical = fleet.typicalLatency(backEnd.endpoint.id);
		const [typicalTime, minimum] = hasFirstToken ? [typical.token, minimumTokenTimeoutMs] : [typical.firstToken, minimumFirstTokenTimeoutMs];
		return typicalTime === 0 ? defaultTokenTimeoutMs : Math.max(minimum, typicalTime * stallFactor);
	}

	function latencyOf(startedAt: number, firstTokenAt: number | undefined, result: AttemptResult): CallLatency | undefined {
		if (result.kind !== 'answered' || result.answer.kind !== 'message') {
			return undefined;
		}

		const now = clock.now();
		const first = firstTokenAt ?? now;
		return {call: now - startedAt, firstToken: first - startedAt, token: (now - first) / Math.max(1, result.answer.usage.completion - 1)};
	}

	/** Resumes the answer, as the engine may still be generating although the connection broke. Returns `broken` if that fails. */
	async function resumeBroken(broken: AttemptResult, backEnd: BackEnd, attempt: Attempt, options: DispatchOptions): Promise<AttemptResult> {
		const resumed = await dispatch.resume(backEnd.endpoint, attempt.id, options);
		if (resumed.kind !== 'answered' || resumed.answer.kind !== 'message') {
			return broken;
		}

		return {kind: 'answered', answer: {...resumed.answer, tokens: [...attempt.prefix, ...resumed.answer.tokens]}};
	}

	async function send(backEnd: BackEnd, attempt: Attempt, options: EngineAttemptOptions) {
		const startedAt = clock.now();
		const stallController = new AbortController();
		let firstTokenAt: number | undefined;
		const idleTimer = startIdleTimer({
			clock,
			limit: () => tokenTimeout(backEnd, firstTokenAt !== undefined),
			onTimeout() {
				const mayRetry = options.mayRetryElsewhere();
				if (mayRetry) {
					stallController.abort(new Error('stalled'));
				}

				return mayRetry;
			},
		});
		const result = await dispatch.send(backEnd.endpoint, attempt, {
			...options,
			signal: AbortSignal.any([options.signal, stallController.signal]),
			onToken(text, index) {
				firstTokenAt ??= clock.now();
				idleTimer.restart();
				if (!stallController.signal.aborted) {
					options.onToken(text, index);
				}
			},
		});
		idleTimer.stop();
		const pace = latencyOf(startedAt, firstTokenAt, result);
		return {result: pace ? result : await classify(result), pace};

		/** Result of an attempt that was not answered: stalled, resumed or unchanged. */
		async function classify(unanswered: AttemptResult): Promise<AttemptResult> {
			if (stallController.signal.aborted) {
				const message = `${backEnd.endpoint.id} sent no token for much longer than is typical of its pool; the attempt ended after ${Math.round(clock.now() - startedAt)} ms`;
				return {kind: 'stalled', failure: failure('endpoint-failed', message, {step: 'stream', peer: backEnd.endpoint.id, execution: 'unknown'})};
			}

			const isBroken = unanswered.kind === 'broken' && !options.signal.aborted;
			return isBroken ? resumeBroken(unanswered, backEnd, attempt, options) : unanswered;
		}
	}

	return {send};
}
