/**
Time limits of messages by how fast their receivers have replied. A receiver with little processor time replies late; sending to it
again before its reply is due would only add to its work.
*/
import {as, type Milliseconds} from '../contracts/id.js';
import {type Member, processOf} from './membership.js';
import {type RelayPeers} from './relay-peers.js';

/** Weight of the latest reply in the smoothed time. */
const smoothing = 0.25;

/** The limit is this multiple of the smoothed time. */
const margin = 3;

/** Limit, as a multiple of its minimum, from which on the receiver is late, rather than a message lost. */
const lateMultiple = 3;

/** How long a message may wait for its reply. */
export type ReplyBounds = {
	/** Limit of one attempt for a receiver that is fast. */
	readonly minimum: Milliseconds;
	readonly maximum: Milliseconds;
	/** Number of attempts at a receiver that is fast, and at one that is late. */
	readonly attempts: number;
	readonly lateAttempts: number;
};

export type ReplyTimes = {
	/** Time limit and number of attempts of the next message to a receiver. */
	readonly next: (receiver: Member, bounds: ReplyBounds) => {readonly timeout: Milliseconds; readonly attempts: number};
	readonly recordReply: (receiver: Member, took: Milliseconds) => void;
	/** Records that a receiver did not reply in time to a message that was sent at `sentAt`. */
	readonly recordTimeout: (receiver: Member, sentAt: Milliseconds) => void;
	/** Forgets processes that are gone. */
	readonly retain: (members: readonly Member[]) => void;
};

/** `unansweredSince` is when the message was sent whose reply did not come in time; undefined if the last one did. */
type Estimate = {readonly smoothed: number; readonly timeouts: number; readonly unansweredSince: Milliseconds | undefined};

const unknown: Estimate = {smoothed: 0, timeouts: 0, unansweredSince: undefined};

/** Creates estimates that take all receivers to be fast. `repliedAt` is when an address last replied to anything, in time or not. */
export function createReplyTimes(repliedAt: RelayPeers['repliedAt']): ReplyTimes {
	const estimates = new Map<string, Estimate>();
	const estimateOf = (receiver: Member): Estimate => estimates.get(processOf(receiver)) ?? unknown;

	/** A receiver that has not replied to anything since is down or cut off, and waiting longer would not help. */
	function isSilent({address}: Member, {unansweredSince}: Estimate): boolean {
		return unansweredSince !== undefined && (repliedAt(address) ?? -Infinity) < unansweredSince;
	}

	return {
		next(receiver, {
			minimum, maximum, attempts, lateAttempts,
		}) {
			const estimate = estimateOf(receiver);
			if (isSilent(receiver, estimate)) {
				return {timeout: minimum, attempts};
			}

			const timeout = Math.min(maximum, Math.max(minimum, margin * estimate.smoothed) * (2 ** estimate.timeouts));
			return {timeout: as<Milliseconds>(timeout), attempts: timeout < lateMultiple * minimum ? attempts : lateAttempts};
		},
		recordReply(receiver, took) {
			const {smoothed} = estimateOf(receiver);
			estimates.set(processOf(receiver), {smoothed: smoothed + (smoothing * (took - smoothed)), timeouts: 0, unansweredSince: undefined});
		},
		recordTimeout(receiver, sentAt) {
			const estimate = estimateOf(receiver);
			// Only a receiver that has replied since the timeout before is late; the others start again at the minimum.
			const timeouts = isSilent(receiver, estimate) ? 1 : estimate.timeouts + 1;
			estimates.set(processOf(receiver), {smoothed: estimate.smoothed, timeouts, unansweredSince: sentAt});
		},
		retain(members) {
			const processes = new Set(members.map(member => processOf(member)));
			for (const process of estimates.keys()) {
				if (!processes.has(process)) {
					estimates.delete(process);
				}
			}
		},
	};
}
