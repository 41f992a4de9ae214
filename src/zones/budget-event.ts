/**
Decisions about the budget of one request, for logs and metrics.
*/
import {
	type AttemptId, type DataCentreId, type InstanceId, type Milliseconds, type ProgramId, type Tokens,
} from '../contracts/id.js';
import {type LedgerSlot} from '../contracts/token-account.js';
import {type Entitlement} from '../contracts/reservation.js';

/**
Why a call is not granted now although the budget covers it: this instance may grant no more (`limit`), no other
instance confirmed the reservation (`unconfirmed`), what was used before the instances that knew it were lost cannot be
read (`unrecovered`), other instances have granted the rest (`spent-elsewhere`) or may have (`reserved-elsewhere`), the store has been unreachable for too many
calls (`unrecorded`), or the instance that asked has given up meanwhile (`given-up`).
*/
export type WithholdReason = 'limit' | 'unconfirmed' | 'unrecovered' | 'spent-elsewhere' | 'reserved-elsewhere' | 'unrecorded' | 'given-up';

export type BudgetEvent
	/** The store did not confirm the record in time; the call may proceed without it. */
	= | {readonly kind: 'unrecorded'; readonly request: AttemptId; readonly program: ProgramId}
	/** The store did not acknowledge a record in time, so it was sent to archives, which hold `copies` of it; `isKept` tells whether these are enough. */
		| {
			readonly kind: 'archived'; readonly program: ProgramId; readonly recorded: Tokens; readonly isKept: boolean;
			readonly copies: readonly InstanceId[]; readonly missing: readonly string[]; readonly took: Milliseconds;
		}
	/** What programs used cannot be read, since the records at the archives are unknown. */
		| {readonly kind: 'archives-unread'; readonly reason: string}
	/** Instances that knew the account were lost; of what the store recorded, no instance is known to have granted `unaccounted`. */
		| {readonly kind: 'recovered'; readonly program: ProgramId; readonly recorded: Tokens; readonly unaccounted: Tokens}
	/** Members have changed, so the accounts go to those that now hold them; `took` is the time for finding out who these are. */
		| {readonly kind: 'rebalanced'; readonly programs: number; readonly took: Milliseconds}
	/** A coordinator, here called `keeper`, did not answer. */
		| {readonly kind: 'keeper-silent'; readonly request: AttemptId; readonly program: ProgramId; readonly keeper: InstanceId}
		| {
			readonly kind: 'withheld'; readonly request: AttemptId; readonly program: ProgramId; readonly entitlement: Entitlement;
			readonly reason: WithholdReason; readonly used: Tokens; readonly budget: Tokens;
			/** What makes up the used tokens. */
			readonly slots: readonly LedgerSlot[];
			/** Data centres that may not know yet that only the home grants; empty until they are to be told. */
			readonly unaware: readonly DataCentreId[];
		}
		| {
			readonly kind: 'exhausted'; readonly request: AttemptId; readonly program: ProgramId; readonly used: Tokens; readonly budget: Tokens; readonly most: Tokens;
			readonly slots: readonly LedgerSlot[];
		};
