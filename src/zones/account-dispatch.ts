/**
Sends accounts to the instances that replicate them, one message at a time to each. What changes while a receiver has yet to reply
is sent together afterwards, in its latest state, so that a late receiver gets fewer messages, not more.

Load that it answers: instances with too little processor time, which reply late, while many programs go on.
*/
import {
	as, type Milliseconds, type ProcessId, type ProgramId,
} from '../contracts/id.js';
import {type TokenAccount} from '../contracts/token-account.js';
import {processOf} from './member-identity.js';
import {type Member} from './membership.js';
import {type AccountExchange, sendAccounts} from './replicas.js';
import {type ReplyBounds} from './reply-times.js';

/** Limits of a message to an instance of any data centre; a call lasts longer than all attempts at one that is fast. */
const bounds: ReplyBounds = {
	minimum: as<Milliseconds>(40), maximum: as<Milliseconds>(1000), attempts: 3, lateAttempts: 1,
};

/** Maximum number of accounts in one message, which has to fit into a datagram. */
const accountsPerMessage = 4;

/** An account as it is sent, with the revision of the ledger that it has. */
export type Dispatch = {readonly account: TokenAccount; readonly revision: number};

export type AccountDispatchOptions = {
	readonly exchange: AccountExchange;
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
};

/** Creates the dispatch of an instance that has sent nothing. */
export function createAccountDispatch(options: AccountDispatchOptions): AccountDispatch {
	const {exchange, dispatchFor} = options;
	/** Programs that wait for the receiver's reply to an earlier message. */
	const waiting = new Map<ProcessId, Set<ProgramId>>();

	/** Sends one message. Resolves to whether it was acknowledged. */
	async function sendMessage(target: Member, dispatches: readonly Dispatch[]): Promise<boolean> {
		const accounts = dispatches.map(({account}) => account);
		const isAnswered = await sendAccounts(exchange, target, {kind: 'accounts', accounts, isPassedOn: false}, bounds);
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
			isAnswered = dispatches.length === 0 || await sendMessage(target, dispatches);
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
				await sendMessage(target, [dispatch]);
			}
		},
	};
}
