/**
Budgets counted by this instance alone.
*/
import {as, type ProgramId, type Tokens} from '../contracts/id.js';
import {type TokenBudgets} from './token-budgets.js';

/** Creates budgets with nothing spent. */
export function createLocalBudgets(): TokenBudgets {
	const spent = new Map<ProgramId, number>();
	return {
		async reserve({program, budget, most}) {
			const used = spent.get(program) ?? 0;
			if (used + most > budget) {
				return {kind: 'exhausted'};
			}

			spent.set(program, used + most);
			let isOpen = true;
			return {
				kind: 'granted',
				settle(handed: Tokens) {
					if (isOpen) {
						isOpen = false;
						spent.set(program, (spent.get(program) ?? as<Tokens>(0)) - most + handed);
					}
				},
			};
		},
	};
}
