/**
Computes how much of its program's budget a call has used, from its outcome.
*/
import {type Spend} from './budget.js';
import {as, type Tokens} from './id.js';
import {type Outcome} from './outcome.js';

/** Amount that a settled call has used. A call that failed or may have run is charged its full reservation. */
export function spendOf(outcome: Outcome, reservation: Spend): Spend {
	switch (outcome.kind) {
		case 'completed': {
			const {answer} = outcome;
			const tokens = answer.kind === 'message' ? answer.usage.prompt + answer.usage.completion : 0;
			return {tokens: as<Tokens>(tokens), calls: 1};
		}

		case 'not-run': {
			return {tokens: as<Tokens>(0), calls: 0};
		}

		case 'failed':
		case 'unknown': {
			return reservation;
		}
	}
}
