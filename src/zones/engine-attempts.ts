/**
Attempts on engines: follows the tokens of an answer, takes a call away from an engine that falls silent,
and resumes a stream whose connection broke while the engine went on.
*/
import {
	type Attempt, type AttemptResult, type Dispatch, type DispatchOptions,
} from '../contracts/attempt.js';
import {type Clock} from '../contracts/clock.js';
import {failure} from '../contracts/failure.js';
import {type BackEnd, type CallLatency} from '../machines/back-end.js';
import {type Fleet} from '../machines/fleet.js';
import {startIdleTimer} from './idle-timer.js';

/** Times the usual silence after which a model call is moved to another engine. */
const silenceFactor = 4;

const shortestTokenSilenceMs = 100;
const shortestFirstSilenceMs = 300;

/** Silence that is borne before anything is known about the pool. */
const unknownSilenceMs = 10_000;

export type EngineAttemptOptions = DispatchOptions & {
	/** Whether the call may be taken away now; a yes is already paid for. */
	readonly mayRetryElsewhere: () => boolean;
};

export type EngineAttempts = {
	/** Sends an attempt. The pace is known only when the engine answered. */
	readonly send: (backEnd: BackEnd, attempt: Attempt, options: EngineAttemptOptions) => Promise<{readonly result: AttemptResult; readonly pace: CallLatency | undefined}>;
};

/** Creates the attempts of an instance. */
export function createEngineAttempts({fleet, dispatch, clock}: {readonly fleet: Fleet; readonly dispatch: Dispatch; readonly clock: Clock}): EngineAttempts {
	/** Silence, in ms, after which a call is better off elsewhere. */
	function longestSilence(backEnd: BackEnd, hasBegun: boolean): number {
		const typical = fleet.typicalLatency(backEnd.endpoint.id);
		const [usual, shortest] = hasBegun ? [typical.token, shortestTokenSilenceMs] : [typical.firstToken, shortestFirstSilenceMs];
		return usual === 0 ? unknownSilenceMs : Math.max(shortest, usual * silenceFactor);
	}

	function paceOf(startedAt: number, firstTokenAt: number | undefined, result: AttemptResult): CallLatency | undefined {
		if (result.kind !== 'answered' || result.answer.kind !== 'message') {
			return undefined;
		}

		const now = clock.now();
		const first = firstTokenAt ?? now;
		return {call: now - startedAt, firstToken: first - startedAt, token: (now - first) / Math.max(1, result.answer.usage.completion - 1)};
	}

	/** The engine may still be generating although the connection broke. */
	async function resumeOr(broken: AttemptResult, backEnd: BackEnd, attempt: Attempt, options: DispatchOptions): Promise<AttemptResult> {
		const resumed = await dispatch.resume(backEnd.endpoint, attempt.id, options);
		if (resumed.kind !== 'answered' || resumed.answer.kind !== 'message') {
			return broken;
		}

		return {kind: 'answered', answer: {...resumed.answer, tokens: [...attempt.prefix, ...resumed.answer.tokens]}};
	}

	async function send(backEnd: BackEnd, attempt: Attempt, options: EngineAttemptOptions) {
		const startedAt = clock.now();
		const stalling = new AbortController();
		let firstTokenAt: number | undefined;
		const watchdog = startIdleTimer({
			clock,
			limit: () => longestSilence(backEnd, firstTokenAt !== undefined),
			onTimeout() {
				const mayMove = options.mayRetryElsewhere();
				if (mayMove) {
					stalling.abort(new Error('stalled'));
				}

				return mayMove;
			},
		});
		const result = await dispatch.send(backEnd.endpoint, attempt, {
			...options,
			signal: AbortSignal.any([options.signal, stalling.signal]),
			onToken(text, index) {
				firstTokenAt ??= clock.now();
				watchdog.restart();
				if (!stalling.signal.aborted) {
					options.onToken(text, index);
				}
			},
		});
		watchdog.stop();
		const pace = paceOf(startedAt, firstTokenAt, result);
		return {result: pace ? result : await explain(result), pace};

		/** What an attempt that was not answered came to. */
		async function explain(unanswered: AttemptResult): Promise<AttemptResult> {
			if (stalling.signal.aborted) {
				const message = `${backEnd.endpoint.id} was silent for longer than usual`;
				return {kind: 'stalled', failure: failure('endpoint-failed', message, {step: 'stream', peer: backEnd.endpoint.id, execution: 'unknown'})};
			}

			const isBroken = unanswered.kind === 'broken' && !options.signal.aborted;
			return isBroken ? resumeOr(unanswered, backEnd, attempt, options) : unanswered;
		}
	}

	return {send};
}
