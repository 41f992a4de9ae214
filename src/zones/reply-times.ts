/**
Time limits of messages that nobody waits for, by how fast their receivers have replied. A receiver with little processor time
replies late; sending to it again before its reply is due would only add to its work.
*/
import {as, type Milliseconds} from '../contracts/id.js';

/** Weight of the latest reply in the smoothed time. */
const smoothing = 0.25;

/** The limit is this multiple of the smoothed time. */
const margin = 3;

export type ReplyTimesOptions = {
	/** Bounds of a limit. */
	readonly minimum: Milliseconds;
	readonly maximum: Milliseconds;
};

export type ReplyTimes<Id> = {
	/** Time limit of the next message to a receiver. */
	readonly limit: (receiver: Id) => Milliseconds;
	readonly recordReply: (receiver: Id, took: Milliseconds) => void;
	/** Records that a receiver did not reply within its limit; the next limit is twice as long. */
	readonly recordTimeout: (receiver: Id) => void;
	/** Forgets receivers that are gone. */
	readonly retain: (receivers: ReadonlySet<Id>) => void;
};

type Estimate = {readonly smoothed: number; readonly timeouts: number};

/** Creates estimates that take all receivers to be fast. */
export function createReplyTimes<Id>({minimum, maximum}: ReplyTimesOptions): ReplyTimes<Id> {
	const estimates = new Map<Id, Estimate>();
	const estimateOf = (receiver: Id): Estimate => estimates.get(receiver) ?? {smoothed: 0, timeouts: 0};

	return {
		limit(receiver) {
			const {smoothed, timeouts} = estimateOf(receiver);
			return as<Milliseconds>(Math.min(maximum, Math.max(minimum, margin * smoothed) * (2 ** timeouts)));
		},
		recordReply(receiver, took) {
			const {smoothed} = estimateOf(receiver);
			estimates.set(receiver, {smoothed: smoothed + (smoothing * (took - smoothed)), timeouts: 0});
		},
		recordTimeout(receiver) {
			const {smoothed, timeouts} = estimateOf(receiver);
			estimates.set(receiver, {smoothed, timeouts: timeouts + 1});
		},
		retain(receivers) {
			for (const receiver of estimates.keys()) {
				if (!receivers.has(receiver)) {
					estimates.delete(receiver);
				}
			}
		},
	};
}
