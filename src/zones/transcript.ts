/**
Transcript of one call's answer. Readers follow it at their own pace and may start at any token, so a
slow caller blocks neither the engine nor other readers, and a broken stream can be resumed.
*/
import {type Result} from 'neverthrow';
import {type CallEvent, type Position} from '../contracts/call.js';
import {type Failure, failure} from '../contracts/failure.js';
import {type AttemptId} from '../contracts/id.js';
import {type Outcome} from '../contracts/outcome.js';
import {type CallState} from '../contracts/program.js';

type Ending = Extract<CallEvent, {kind: 'settled' | 'refused'}>;

export type Transcript = {
	/** Appends a token. */
	readonly push: (text: string) => void;
	readonly tokens: () => readonly string[];
	/** Sets the id of the stream, which is the id of the call's first attempt. Tokens are read only after that. */
	readonly name: (stream: AttemptId) => void;
	readonly end: (ending: Ending) => void;
	readonly ending: () => Ending | undefined;
	/** Events starting at a position. Completes after the ending, or without one when the signal aborts. */
	readonly read: (position: Position, signal: AbortSignal) => AsyncGenerator<CallEvent, void, undefined>;
};

/** Ending of a call, given whether its outcome was recorded. An outcome that was not recorded is not sent to the caller. */
export function endingOf(outcome: Outcome, recorded: Result<unknown, Failure>): Ending {
	return recorded.match<Ending>(
		() => ({kind: 'settled', outcome}),
		reason => ({kind: 'refused', failure: {...reason, execution: 'unknown'}}),
	);
}

/** Creates an empty transcript. */
export function createTranscript(): Transcript {
	const tokens: string[] = [];
	let stream: AttemptId | undefined;
	let ending: Ending | undefined;
	let waiters: Array<() => void> = [];

	function notify(): void {
		const waiting = waiters;
		waiters = [];
		for (const resume of waiting) {
			resume();
		}
	}

	async function change(signal: AbortSignal): Promise<void> {
		await new Promise<void>(resolve => {
			const resume = () => {
				signal.removeEventListener('abort', resume);
				resolve();
			};

			waiters.push(resume);
			signal.addEventListener('abort', resume, {once: true});
		});
	}

	function isOtherStream(position: Position): boolean {
		return position.index > 0 && position.stream !== undefined && stream !== undefined && position.stream !== stream;
	}

	async function * read(position: Position, signal: AbortSignal): AsyncGenerator<CallEvent, void, undefined> {
		let next = position.index;
		while (!signal.aborted) {
			if (isOtherStream(position)) {
				const message = 'The stream that the position refers to was lost; read the answer from its start';
				yield {kind: 'refused', failure: failure('stream-lost', message, {step: 'stream', peer: 'home', execution: 'unknown'})};
				return;
			}

			if (stream && next < tokens.length) {
				yield {
					kind: 'token', stream, index: next, text: tokens[next] ?? '',
				};
				next++;
				continue;
			}

			if (ending && next >= tokens.length) {
				yield ending;
				return;
			}

			await change(signal);
		}
	}

	return {
		push(text) {
			tokens.push(text);
			notify();
		},
		tokens: () => tokens,
		name(value) {
			stream = value;
			notify();
		},
		end(value) {
			ending ??= value;
			notify();
		},
		ending: () => ending,
		read,
	};
}

/** Creates the transcript of a settled call from what the journal has recorded. */
export function replayTranscript(state: Extract<CallState, {kind: 'settled'}>): Transcript {
	const transcript = createTranscript();
	if (state.outcome.kind === 'completed' && state.outcome.answer.kind === 'message') {
		for (const token of state.outcome.answer.tokens) {
			transcript.push(token);
		}
	}

	transcript.name(state.stream);
	transcript.end({kind: 'settled', outcome: state.outcome});
	return transcript;
}
