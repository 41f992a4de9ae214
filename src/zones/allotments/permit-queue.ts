/**
Requests of an instance that wait for permits of one workspace, and what is known of its coordinator meanwhile.
*/
import {type Clock} from '../../contracts/clock.js';
import {type Milliseconds} from '../../contracts/id.js';
import {type WorkspaceName} from '../../contracts/workspace.js';
import {type TenureId} from '../../machines/allotment-lease.js';
import {type AllotmentOutcome} from '../../machines/request-allotments.js';
import {type KnownAllotment} from './messages.js';

/** Maximum number of requests for which one ask asks; the ask has to fit into a datagram. */
export const requestsPerAsk = 32;

/** Time by which a permit may come later than its coordinator counts: that of the messages. */
export const messageMarginMs = 5;

export type Waiting = {
	/** When the allotment has to have a permit. */
	readonly deadline: Milliseconds;
	/** Whether it is known when the request gets a permit. */
	isDecided: boolean;
	/** Whether the slack has had no permit for the request. */
	isRefusedBySlack: boolean;
	readonly isSettled: () => boolean;
	readonly settle: (outcome: AllotmentOutcome) => void;
};

export type Queue = {
	readonly workspace: WorkspaceName;
	known: KnownAllotment;
	readonly waiting: Set<Waiting>;
	isServing: boolean;
	/** Whether an instance has been asked that is not silent, so that requests wait for its reply. */
	isAwaiting: boolean;
	/** Whether no coordinator has answered since one was asked that did not answer in time. */
	isUnanswered: boolean;
	/** The ask for permits from the slack that is under way; there is one at a time. */
	slackAsk: Promise<void> | undefined;
	/** Whether requests that arrive are passed on to the slack at intervals. */
	isFollowingArrivals: boolean;
	/** Time before which there is no permit. */
	usedUpUntil: number;
	/** Time before which no coordinator is looked for. */
	noCoordinatorUntil: number;
	returned: {readonly tenure: TenureId; readonly count: number} | undefined;
};

/** Creates a queue in which no request waits. */
export function createQueue(workspace: WorkspaceName, known: KnownAllotment): Queue {
	return {
		workspace,
		known,
		waiting: new Set(),
		isServing: false,
		isAwaiting: false,
		isUnanswered: false,
		slackAsk: undefined,
		isFollowingArrivals: false,
		usedUpUntil: 0,
		noCoordinatorUntil: 0,
		returned: undefined,
	};
}

/** Time for which each request can wait, as an ask states it. */
export function patienceOf(batch: readonly Waiting[], clock: Clock): readonly number[] {
	const now = clock.now();
	return batch.map(({deadline}) => Math.max(0, Math.floor(deadline - now - messageMarginMs)));
}
