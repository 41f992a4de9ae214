/**
Coordinators that this instance has asked for attempts. One that does not reply in time may reserve the attempt all the same, and a settlement
may not reach it either, so once the attempt has ended or is given up, all that were asked have to learn that it is over.
*/
import {type Clock} from '../contracts/clock.js';
import {type AttemptId, type Milliseconds} from '../contracts/id.js';
import {type Member} from './membership.js';

/** Time for which the coordinators of an attempt are remembered, in ms; longer than a call may take before its deadline. */
const rememberedMs = 10_000;

export type AskedCoordinators = {
	readonly add: (attempt: AttemptId, coordinator: Member) => void;
	/** Records that a coordinator did not reply. */
	readonly markUnanswered: (attempt: AttemptId) => void;
	/** Whether a coordinator that was asked for an attempt did not reply. */
	readonly isUnanswered: (attempt: AttemptId) => boolean;
	/** Removes and returns those that were asked for an attempt, and whether one of them did not reply. */
	readonly take: (attempt: AttemptId) => {readonly coordinators: readonly Member[]; readonly isUnanswered: boolean};
	readonly prune: () => void;
};

type Question = {readonly askedAt: Milliseconds; readonly coordinators: Member[]; isUnanswered: boolean};

/** Creates an empty record. */
export function createAskedCoordinators(clock: Clock): AskedCoordinators {
	const questions = new Map<AttemptId, Question>();
	return {
		add(attempt, coordinator) {
			const question = questions.get(attempt) ?? {askedAt: clock.now(), coordinators: [], isUnanswered: false};
			question.coordinators.push(coordinator);
			questions.set(attempt, question);
		},
		markUnanswered(attempt) {
			const question = questions.get(attempt);
			if (question) {
				question.isUnanswered = true;
			}
		},
		isUnanswered: attempt => questions.get(attempt)?.isUnanswered ?? false,
		take(attempt) {
			const question = questions.get(attempt);
			questions.delete(attempt);
			return {coordinators: question?.coordinators ?? [], isUnanswered: question?.isUnanswered ?? false};
		},
		prune() {
			for (const [attempt, {askedAt}] of questions) {
				if (clock.now() - askedAt <= rememberedMs) {
					break;
				}

				questions.delete(attempt);
			}
		},
	};
}
