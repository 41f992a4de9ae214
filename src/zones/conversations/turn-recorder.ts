/**
Recorder of one turn in progress: collects the data of the events that its caller is sent, and stores the turn when the
stream is complete, or what there is of it when it breaks off.
*/
import {Buffer} from 'node:buffer';
import {type ListedArchive} from '../../contracts/archive.js';
import {as, type AttemptId, type Milliseconds} from '../../contracts/id.js';
import {type TurnContent, type TurnRecord} from '../../contracts/turn.js';
import {type ReceivedPart, type TurnRecorder, type TurnRequest} from '../../machines/kept-turns.js';
import {type ChainCache, type WholeTurn} from './chain-cache.js';
import {type TurnEvent} from './turn-event.js';
import {type TurnKeeping} from './turn-keeping.js';
import {type MemoryShare} from './turn-memory.js';

/**
Factor by which a turn is stored for longer than its route says: the turns that continue it need it within their own
retention, after its own has passed.
*/
const retentionFactor = 2;

/** Memory that a recorded event takes besides its data, in bytes. */
const eventOverheadBytes = 100;

/** Time for storing the output of a stream that broke off, for which nobody waits. */
const partTimeout = as<Milliseconds>(1000);

const lineFeed = Buffer.from('\n');

/** Time for which a turn is stored whose route keeps it for the retention. */
export function storedRetention(retention: Milliseconds): Milliseconds {
	return as<Milliseconds>(retention * retentionFactor);
}

export type TurnRecorderOptions = {
	readonly turn: TurnRequest;
	/** Output that the caller has received in earlier attempts. */
	readonly received: ReceivedPart | undefined;
	readonly memory: MemoryShare;
	readonly keeping: Pick<TurnKeeping, 'keep'>;
	readonly cache: Pick<ChainCache, 'put'>;
	/** Archives that take copies now, in the order in which they are preferred. */
	readonly ranked: () => readonly ListedArchive[];
	readonly onEvent: (event: TurnEvent) => void;
};

/** Creates the recorder of a turn whose stream has not begun. */
export function createTurnRecorder(options: TurnRecorderOptions): TurnRecorder {
	const {turn, memory} = options;
	const output: Uint8Array[] = options.received ? [options.received.output] : [];
	let isTooLarge = false;
	let storing: Promise<void> | undefined;

	function recordWith<Content extends TurnContent>(id: AttemptId, content: Content): TurnRecord & {readonly content: Content} {
		return {
			turn: id, previous: turn.previous, workspace: turn.workspace, retention: storedRetention(turn.retention), content,
		};
	}

	async function keep(timeLeft: Milliseconds): Promise<boolean> {
		const {attempt, program} = turn;
		if (isTooLarge) {
			options.onEvent({
				kind: 'not-kept', attempt, program, copies: [], missing: ['the output does not fit into the memory for turns'], late: 0, took: as<Milliseconds>(0),
			});
			return false;
		}

		const record: WholeTurn = recordWith(attempt, {kind: 'whole', input: turn.input, output: Buffer.concat(output)});
		const {isKept, copies, ...rest} = await options.keeping.keep(record, options.ranked(), timeLeft);
		if (isKept) {
			options.cache.put(record);
		}

		options.onEvent({
			kind: isKept ? 'kept' : 'not-kept', attempt, program, copies: copies.map(({id}) => id), ...rest,
		});
		return isKept;
	}

	async function storePart(lastEvent: number): Promise<void> {
		const firstAttempt = turn.resumption?.firstAttempt ?? turn.attempt;
		const part = recordWith(firstAttempt, {kind: 'partial', lastEvent, output: Buffer.concat(output)});
		const {copies, missing} = await options.keeping.keep(part, options.ranked(), partTimeout);
		options.onEvent({
			kind: 'part-kept', attempt: turn.attempt, firstAttempt, lastEvent, copies: copies.map(({id}) => id), missing,
		});
	}

	return {
		event(data) {
			isTooLarge ||= !memory.add(data.length + eventOverheadBytes);
			if (isTooLarge) {
				output.length = 0;
			} else {
				output.push(data, lineFeed);
			}
		},
		keep,
		breakOff(lastEvent) {
			if (!isTooLarge) {
				storing = storePart(lastEvent);
			}
		},
		close() {
			void Promise.resolve(storing).then(memory.release);
		},
	};
}
