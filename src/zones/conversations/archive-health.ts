/**
Which archives answer, as this instance observes it: one that does not is passed over for a time that doubles with each
further failure, so that few requests wait for it.
*/
import {type Clock} from '../../contracts/clock.js';
import {as, type InstanceId, type Milliseconds} from '../../contracts/id.js';
import {withTimeout} from '../with-timeout.js';

/**
Time within which an archive answers; after it, another one is asked beside it. Latency and a sync take 10 ms. While most
archives take longer, as they or this process have little processor time, asking others would only add to the work.
*/
const minimumTimeoutMs = 60;
const maximumTimeoutMs = 180;

/** The timeout is this multiple of the time that the faster quarter of the latest answers took. */
const timeoutMargin = 3;
const rememberedAnswers = 16;

/** Factor by which a timeout may be late; beyond it this process stood still, and the answer may be waiting to be read. */
const stallFactor = 1.5;

/** Timeouts that may be late in a row before another archive is asked beside it all the same. */
const maximumStalls = 3;

const firstSkipMs = 500;
const maximumSkipMs = 4000;

/** Failures in a row after which an archive counts as down rather than slow. */
const failuresUntilDown = 3;

export type ArchiveHealth = {
	/** Whether the archive is to be passed over now. */
	readonly isSkipped: (archive: InstanceId) => boolean;
	/** Whether the archive has failed several times in a row and has not answered since. */
	readonly isDown: (archive: InstanceId) => boolean;
	/** Lets an archive that is down be tried again, because it has answered a probe. */
	readonly retry: (archive: InstanceId) => void;
	/** Waits for the result of a request; `onLate` is called if it takes longer than an archive that answers would. */
	readonly observe: <Result>(archive: InstanceId, request: Promise<Result>, isAnswer: (result: Result) => boolean, onLate: () => void) => Promise<Result>;
	/** Number of archives that are passed over now. */
	readonly skipped: () => number;
};

export type ArchiveHealthOptions = {
	readonly clock: Clock;
	readonly onChange: (archive: InstanceId, isAnswering: boolean) => void;
};

/** How the wait for an archive ended; a process that stood still all the while cannot tell whether the archive is late. */
type Wait = 'ended' | 'late' | 'stalled';

type Failures = {readonly count: number; readonly at: Milliseconds; readonly skippedUntil: Milliseconds};

/** Creates the observations of an instance that has asked no archive yet. */
export function createArchiveHealth({clock, onChange}: ArchiveHealthOptions): ArchiveHealth {
	const failures = new Map<InstanceId, Failures>();
	/** Times that the latest answers took, from any archive, the latest one last. */
	const answerTimes: number[] = [];

	function answerTimeout(): number {
		const quarter = answerTimes.toSorted((left, right) => left - right)[Math.floor(answerTimes.length / 4)] ?? 0;
		return Math.min(maximumTimeoutMs, Math.max(minimumTimeoutMs, timeoutMargin * quarter));
	}

	function recordAnswer(archive: InstanceId, took: number): void {
		answerTimes.push(took);
		if (answerTimes.length > rememberedAnswers) {
			answerTimes.shift();
		}

		if (failures.delete(archive)) {
			onChange(archive, true);
		}
	}

	/** Records a failure of a request that was sent at `sentAt`; those sent before the last failure tell nothing new. */
	function recordFailure(archive: InstanceId, sentAt: Milliseconds): void {
		const last = failures.get(archive);
		if (last && sentAt <= last.at) {
			return;
		}

		const at = clock.now();
		const count = (last?.count ?? 0) + 1;
		const skip = Math.min(maximumSkipMs, firstSkipMs * (2 ** (count - 1)));
		failures.set(archive, {count, at, skippedUntil: as<Milliseconds>(at + skip)});
		if (!last) {
			onChange(archive, false);
		}
	}

	/** Waits for as long as an archive that answers would take. */
	async function waitFor(request: Promise<unknown>): Promise<Wait> {
		const ended = request.then(() => true);
		const timeoutMs = answerTimeout();
		for (let stalls = 0; stalls < maximumStalls; stalls++) {
			const startedAt = clock.now();
			if (await withTimeout(clock, timeoutMs, ended)) {
				return 'ended';
			}

			if (clock.now() - startedAt <= timeoutMs * stallFactor) {
				return 'late';
			}
		}

		return 'stalled';
	}

	const isSkipped = (archive: InstanceId) => (failures.get(archive)?.skippedUntil ?? -Infinity) > clock.now();

	return {
		isSkipped,
		isDown: archive => (failures.get(archive)?.count ?? 0) >= failuresUntilDown,
		retry(archive) {
			failures.set(archive, {count: failuresUntilDown - 1, at: clock.now(), skippedUntil: clock.now()});
		},
		skipped: () => [...failures.keys()].filter(archive => isSkipped(archive)).length,
		async observe(archive, request, isAnswer, onLate) {
			const sentAt = clock.now();
			const wait = await waitFor(request);
			switch (wait) {
				case 'ended': {
					break;
				}

				case 'late': {
					recordFailure(archive, sentAt);
					onLate();
					break;
				}

				case 'stalled': {
					onLate();
				}
			}

			const result = await request;
			if (isAnswer(result)) {
				recordAnswer(archive, clock.now() - sentAt);
			} else {
				recordFailure(archive, sentAt);
			}

			return result;
		},
	};
}
