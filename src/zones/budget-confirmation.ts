/**
Confirmation of grants by other instances. Before a call is granted, at least one of the instances that would take
over as coordinator has to reply, and its reply contains what it has counted itself. Two instances that both act as
the coordinator, because one was paused or their membership views differ, thus learn of each other's grants, and one
that reaches no other instance grants nothing.

An instance that was paused finds that none of the others has replied, and skips them as unresponsive, although they are
granting. So without a reply from a replica, all others at home are asked, and other data centres, which do not know
what was granted at home, count only if none of these replies.
*/
import {type Clock} from '../contracts/clock.js';
import {as, type Milliseconds, type ProgramId} from '../contracts/id.js';
import {type TokenAccount} from '../contracts/token-account.js';
import {type TokenLedger} from '../contracts/token-ledger.js';
import {type Member} from './membership.js';
import {
	type AccountExchange, askNeighbours, homeReplicas, replicasFor, sendAccounts,
} from './replicas.js';
import {dataCentresOf} from './ownership.js';
import {type ReplyBounds} from './reply-times.js';
import {withTimeout} from './with-timeout.js';

/**
Limits of a confirmation. A call waits for it; with instances that are fast, all rounds together take less than the
timeout of the instance that asked.
*/
const confirmBounds: ReplyBounds = {
	minimum: as<Milliseconds>(40), maximum: as<Milliseconds>(200), attempts: 2, lateAttempts: 1,
};

/** Number of rounds of confirmation; each skips the instances that did not reply in the previous round. */
const confirmRounds = 2;

/** Time for the other instances to reply after the first one; they reply within milliseconds. */
const graceMs = 10;

export type BudgetConfirmation = {
	/**
	Sends others what is about to be granted and merges what they have counted. Resolves to false when no other
	instance replies although this data centre has others, which may then be granting without it.
	*/
	readonly confirm: (program: ProgramId) => Promise<boolean>;
};

export type BudgetConfirmationOptions = AccountExchange & {
	readonly ledger: TokenLedger;
	readonly clock: Clock;
};

/** Creates the confirmation of the grants of one instance. */
export function createBudgetConfirmation(options: BudgetConfirmationOptions): BudgetConfirmation {
	const {ledger, clock} = options;

	/** The replicas in this data centre and, away from home, one instance of each other data centre except the home. */
	function confirmersOf(program: ProgramId): readonly Member[] {
		const own = options.self().dataCentre;
		const home = ledger.home(program) ?? own;
		return [...replicasFor(options, own, program, homeReplicas), ...(home === own ? [] : elsewhere(program))];
	}

	/** One instance of each other data centre except the home. */
	function elsewhere(program: ProgramId): readonly Member[] {
		const own = options.self().dataCentre;
		return dataCentresOf(options.members())
			.filter(dataCentre => dataCentre !== own && dataCentre !== ledger.home(program))
			.flatMap(dataCentre => replicasFor(options, dataCentre, program, 1));
	}

	/** Whether this data centre has no other member, alive or dead, that could be granting. */
	function isOnlyMember(): boolean {
		const self = options.self();
		return !options.members().some(member => member.dataCentre === self.dataCentre && member.id !== self.id && member.status !== 'leaving');
	}

	async function askConfirmer(target: Member, account: TokenAccount): Promise<boolean> {
		return sendAccounts(options, target, {kind: 'accounts', accounts: [account], isPassedOn: true}, confirmBounds);
	}

	/** Resolves once all have replied, or shortly after the first reply; to false when none replied. */
	async function askConfirmers(targets: readonly Member[], account: TokenAccount): Promise<boolean> {
		const asking = targets.map(async target => askConfirmer(target, account));
		const all = Promise.all(asking);
		const isAnswered = await new Promise<boolean>(resolve => {
			for (const answer of asking) {
				void answer.then(isAnswer => {
					if (isAnswer) {
						resolve(true);
					}
				});
			}

			void all.then(answers => {
				resolve(answers.includes(true));
			});
		});
		if (isAnswered) {
			await withTimeout(clock, graceMs, all);
		}

		return isAnswered;
	}

	return {
		async confirm(program) {
			for (let round = 0; round < confirmRounds; round++) {
				const account = ledger.account(program);
				if (account && await askConfirmers(confirmersOf(program), account)) {
					return true;
				}
			}

			const account = ledger.account(program);
			const answers: readonly boolean[] = await Promise.all(account ? [askNeighbours(options, account), askConfirmers(elsewhere(program), account)] : []);
			return answers.includes(true) || isOnlyMember();
		},
	};
}
