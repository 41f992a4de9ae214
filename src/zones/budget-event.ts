/**
Decisions about the budget of one request, for logs and metrics.
*/
import {
	type AttemptId, type InstanceId, type ProgramId, type Tokens,
} from '../contracts/id.js';
import {type Entitlement} from '../contracts/token-ledger.js';

/**
Why a call is not granted now although the budget covers it: this instance may grant no more (`limit`), it reaches
nobody that counts with it (`unconfirmed`), others have granted what was left (`spent-elsewhere`), or the store has
been out of reach for too many calls (`unrecorded`).
*/
export type WithholdReason = 'limit' | 'unconfirmed' | 'spent-elsewhere' | 'unrecorded';

export type BudgetEvent
	/** The store's record took too long; the call goes on without it. */
	= | {readonly kind: 'unrecorded'; readonly request: AttemptId; readonly program: ProgramId}
		| {readonly kind: 'keeper-silent'; readonly request: AttemptId; readonly program: ProgramId; readonly keeper: InstanceId}
		| {
			readonly kind: 'withheld'; readonly request: AttemptId; readonly program: ProgramId; readonly entitlement: Entitlement;
			readonly reason: WithholdReason; readonly used: Tokens; readonly budget: Tokens;
		}
		| {readonly kind: 'exhausted'; readonly request: AttemptId; readonly program: ProgramId; readonly used: Tokens; readonly budget: Tokens; readonly most: Tokens};
