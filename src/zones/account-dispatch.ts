/**
Sends accounts to the instances that replicate them, one message at a time to each. What changes while a receiver has yet to reply
is sent together afterwards, in its latest state, so that a late receiver gets fewer messages, not more.

Load that it answers: instances with too little processor time, which reply late, while many programs go on.
*/
import {type Clock} from '../contracts/clock.js';
import {as, type Milliseconds, type ProgramId} from '../contracts/id.js';
import {type TokenAccount} from '../contracts/token-account.js';
import {type Member, processOf} from './membership.js';
import {type AccountExchange, sendAccounts} from './replicas.js';
import {createReplyTimes} from './reply-times.js';

/** Time limits of a message to an instance of any data centre, in ms; a call lasts longer than all attempts at the minimum. */
const minimumLimitMs = 40;
const maximumLimitMs = 1000;
const attempts = 3;

/** Time limit from which on a message is sent once, in ms: its receiver is late, and what was lost is sent again with the next retry. */
const singleAttemptMs = 160;

/** Maximum number of accounts in one message, which has to fit into a datagram. */
const accountsPerMessage = 4;

/** An account as it is sent, with the revision of the ledger that it has. */
export type Dispatch = {readonly account: TokenAccount; readonly revision: number};

export type AccountDispatchOptions = {
	readonly exchange: AccountExchange;
	readonly clock: Clock;
	/** The current account as the member is to have it; undefined if it needs nothing. */
	readonly dispatchFor: (target: Member, program: ProgramId) => Dispatch | undefined;
	readonly onAcknowledged: (target: Member, dispatch: Dispatch) => void;
	readonly onUnanswered: (program: ProgramId) => void;
};

export type AccountDispatch = {
	/** Sends accounts after those that the receiver has yet to acknowledge. */
	readonly send: (target: Member, programs: readonly ProgramId[]) => void;
	/** Sends an account at once. Resolves when the receiver has replied or does not reply in time. */
	readonly sendNow: (target: Member, program: ProgramId) => Promise<void>;
	/** Forgets members that are gone. */
	readonly retain: (members: readonly Member[]) => void;
};

/** Creates the dispatch of an instance that has sent nothing. */
export function createAccountDispatch(options: AccountDispatchOptions): AccountDispatch {
	const {exchange, clock, dispatchFor} = options;
	const replyTimes = createReplyTimes<string>({minimum: as<Milliseconds>(minimumLimitMs), maximum: as<Milliseconds>(maximumLimitMs)});
	/** Programs that wait for the receiver's reply to an earlier message. */
	const waiting = new Map<string, Set<ProgramId>>();

	/** Sends one message. Resolves to whether it was acknowledged. */
	async function sendMessage(target: Member, dispatches: readonly Dispatch[], isUrgent: boolean): Promise<boolean> {
		const receiver = processOf(target);
		const sentAt = clock.now();
		const limit = replyTimes.limit(receiver);
		const isAnswered = await sendAccounts(exchange, target, {kind: 'accounts', accounts: dispatches.map(({account}) => account), isPassedOn: false}, {
			timeout: limit, attempts: isUrgent || limit < singleAttemptMs ? attempts : 1,
		});
		if (isAnswered) {
			replyTimes.recordReply(receiver, as<Milliseconds>(clock.now() - sentAt));
		} else {
			replyTimes.recordTimeout(receiver);
		}

		for (const dispatch of dispatches) {
			if (isAnswered) {
				options.onAcknowledged(target, dispatch);
			} else {
				options.onUnanswered(dispatch.account.program);
			}
		}

		return isAnswered;
	}

	function take(target: Member, programs: Set<ProgramId>): readonly Dispatch[] {
		const dispatches: Dispatch[] = [];
		for (const program of programs) {
			if (dispatches.length === accountsPerMessage) {
				break;
			}

			programs.delete(program);
			const dispatch = dispatchFor(target, program);
			if (dispatch) {
				dispatches.push(dispatch);
			}
		}

		return dispatches;
	}

	async function drain(target: Member, programs: Set<ProgramId>): Promise<void> {
		let isAnswered = true;
		while (isAnswered && programs.size > 0) {
			const dispatches = take(target, programs);
			isAnswered = dispatches.length === 0 || await sendMessage(target, dispatches, false);
		}

		waiting.delete(processOf(target));
		for (const program of programs) {
			options.onUnanswered(program);
		}
	}

	return {
		send(target, programs) {
			const current = waiting.get(processOf(target));
			if (current) {
				for (const program of programs) {
					current.add(program);
				}

				return;
			}

			const added = new Set(programs);
			waiting.set(processOf(target), added);
			void drain(target, added);
		},
		async sendNow(target, program) {
			const dispatch = dispatchFor(target, program);
			if (dispatch) {
				await sendMessage(target, [dispatch], true);
			}
		},
		retain(members) {
			replyTimes.retain(new Set(members.map(member => processOf(member))));
		},
	};
}
