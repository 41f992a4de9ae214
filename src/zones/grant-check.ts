/**
Check of a reservation before it is granted: other instances confirm it, then the store records it, and then it must still stand. The
order matters: what is recorded counts as used after a loss of memory, also if the call is not granted.
*/
import {type Entitlement, type ReservationRequest} from '../contracts/reservation.js';
import {type TokenLedger} from '../contracts/token-ledger.js';
import {type BudgetConfirmation} from './budget-confirmation.js';
import {type WithholdReason} from './budget-event.js';

export type GrantCheckOptions = {
	readonly ledger: Pick<TokenLedger, 'isReserved' | 'isWithin'>;
	readonly confirmation: BudgetConfirmation;
	readonly entitlementOf: (program: ReservationRequest['program']) => Entitlement;
};

/** Resolves to why a reservation may not be granted; undefined if it may. `record` resolves to whether the call may proceed. */
export type GrantCheck = (request: ReservationRequest, record: () => Promise<boolean>) => Promise<WithholdReason | undefined>;

/** Creates the check of one instance. */
export function createGrantCheck({ledger, confirmation, entitlementOf}: GrantCheckOptions): GrantCheck {
	/** Why a reservation no longer stands: it was settled, or other accounts were merged, meanwhile. */
	function objectionTo(request: ReservationRequest): WithholdReason | undefined {
		if (!ledger.isReserved(request.program, request.attempt)) {
			return 'given-up';
		}

		return ledger.isWithin(request, entitlementOf(request.program)) ? undefined : 'spent-elsewhere';
	}

	return async (request, record) => {
		if (!await confirmation.confirm(request.program)) {
			return 'unconfirmed';
		}

		const objection = objectionTo(request);
		if (objection) {
			return objection;
		}

		return await record() ? objectionTo(request) : 'unrecorded';
	};
}
