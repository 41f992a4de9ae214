/**
Time limits of messages by how fast their receivers have replied. A receiver with little processor time replies late; sending to it
again before its reply is due would only add to its work.
*/
import {type Clock} from '../contracts/clock.js';
import {as, type Milliseconds, type ProcessId} from '../contracts/id.js';
import {processOf} from './member-identity.js';
import {type Member} from './membership.js';
import {type RelayPeers} from './relay-peers.js';

/** Weight of the latest reply in the smoothed time. */
const smoothing = 0.25;

/** The limit is this multiple of the smoothed time. */
const margin = 3;

/** Limit, as a multiple of its minimum, from which on the receiver is late, rather than a message lost. */
const lateMultiple = 3;

/** Time without any reply, in ms, after which a receiver is taken to be down or cut off rather than late. */
const silenceMs = 1000;

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
	/** Records that a receiver did not reply in time. */
	readonly recordTimeout: (receiver: Member) => void;
	/** Whether a receiver has replied to nothing for so long that it is down or cut off, rather than late. */
	readonly isSilent: (receiver: Pick<Member, 'address'>) => boolean;
	/** Forgets processes that are gone. */
	readonly retain: (members: readonly Member[]) => void;
};

/** `timeouts` counts the messages without a reply in time since the last reply. */
type Estimate = {readonly smoothed: number; readonly timeouts: number};

const unknown: Estimate = {smoothed: 0, timeouts: 0};

/** Creates estimates that take all receivers to be fast. `repliedAt` is when an address last replied to anything, in time or not. */
export function createReplyTimes(repliedAt: RelayPeers['repliedAt'], clock: Clock): ReplyTimes {
	const estimates = new Map<ProcessId, Estimate>();
	const estimateOf = (receiver: Member): Estimate => estimates.get(processOf(receiver)) ?? unknown;

	/** Waiting longer for a receiver that replies to nothing would not help. */
	function isSilent({address}: Pick<Member, 'address'>): boolean {
		return clock.now() - (repliedAt(address) ?? -Infinity) > silenceMs;
	}

	return {
		next(receiver, {
			minimum, maximum, attempts, lateAttempts,
		}) {
			if (isSilent(receiver)) {
				return {timeout: minimum, attempts};
			}

			const {smoothed, timeouts} = estimateOf(receiver);
			const timeout = Math.min(maximum, Math.max(minimum, margin * smoothed) * (2 ** timeouts));
			return {timeout: as<Milliseconds>(timeout), attempts: timeout < lateMultiple * minimum ? attempts : lateAttempts};
		},
		recordReply(receiver, took) {
			const {smoothed} = estimateOf(receiver);
			estimates.set(processOf(receiver), {smoothed: smoothed + (smoothing * (took - smoothed)), timeouts: 0});
		},
		recordTimeout(receiver) {
			const {smoothed, timeouts} = estimateOf(receiver);
			estimates.set(processOf(receiver), {smoothed, timeouts: isSilent(receiver) ? 0 : timeouts + 1});
		},
		isSilent,
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
