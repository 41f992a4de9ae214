/**
Witnesses of a grant. Before a call is granted, one of the instances that would count next has to answer, and tells
what it has counted itself. Two instances that both take themselves for the keeper, since one was paused or their
views differ, thus hear of each other, and one that reaches nobody grants nothing.
*/
import {type Clock} from '../contracts/clock.js';
import {as, type Milliseconds, type ProgramId} from '../contracts/id.js';
import {type TokenAccount, type TokenLedger} from '../contracts/token-ledger.js';
import {type Member} from './membership.js';
import {
	type AccountExchange, homeReplicas, replicasFor, sendAccounts,
} from './replicas.js';
import {dataCentresOf} from './ownership.js';
import {withTimeout} from './with-timeout.js';

/** Timeout and tries of a question on which a call waits; all rounds together take less than its asker waits. */
const confirmTimeoutMs = 40;
const confirmTries = 2;

/** Rounds of questions; each passes over those that were silent in the one before. */
const confirmRounds = 2;

/** Time for the others to answer once one has; they answer within milliseconds. */
const graceMs = 10;

export type BudgetConfirmation = {
	/**
	Tells others what is about to be granted and takes over what they have counted. Resolves to false when this
	instance reaches nobody, so that others may count without it.
	*/
	readonly confirm: (program: ProgramId) => Promise<boolean>;
};

export type BudgetConfirmationOptions = AccountExchange & {
	readonly ledger: TokenLedger;
	readonly clock: Clock;
};

/** Creates the witnesses' part of one instance. */
export function createBudgetConfirmation(options: BudgetConfirmationOptions): BudgetConfirmation {
	const {ledger, clock} = options;

	/** Those that may have counted as well: at home the next keepers, and otherwise one instance elsewhere too. */
	function witnessesOf(program: ProgramId): readonly Member[] {
		const own = options.self().dataCentre;
		const home = ledger.home(program) ?? own;
		const nearby = replicasFor(options, own, program, homeReplicas);
		const isElsewhereAsked = nearby.length === 0 || home !== own;
		const elsewhere = dataCentresOf(options.members()).filter(dataCentre => isElsewhereAsked && dataCentre !== own && dataCentre !== home);
		return [...nearby, ...elsewhere.flatMap(dataCentre => replicasFor(options, dataCentre, program, 1))];
	}

	/** Whether nobody else in this data centre is known, alive or dead, that could count. */
	function isOnlyOne(): boolean {
		const self = options.self();
		return !options.members().some(member => member.dataCentre === self.dataCentre && member.id !== self.id && member.status !== 'leaving');
	}

	async function askWitness(target: Member, account: TokenAccount): Promise<boolean> {
		return sendAccounts(options, target, {kind: 'accounts', accounts: [account], isPassedOn: true}, {
			timeout: as<Milliseconds>(confirmTimeoutMs), tries: confirmTries,
		});
	}

	/** Resolves once all have answered, or shortly after the first; to false when none did. */
	async function askAll(targets: readonly Member[], account: TokenAccount): Promise<boolean> {
		const asking = targets.map(async target => askWitness(target, account));
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
				if (account && await askAll(witnessesOf(program), account)) {
					return true;
				}
			}

			return isOnlyOne();
		},
	};
}
