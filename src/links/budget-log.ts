/**
Log lines about token budgets. Slots of an account are written as the process that counts in them, its tokens of ended calls, and those
of calls in progress with their attempts.
*/
import {type LedgerSlot} from '../contracts/token-account.js';
import {type BudgetEvent} from '../zones/budget-event.js';
import {type Log} from './log.js';

/** Maximum number of slots in a line. */
const maximumSlots = 8;

function describeSlot({
	counter, version, settled, reserved, open, isStandIn,
}: LedgerSlot): string {
	if (isStandIn) {
		return `${counter} #${version}: ${settled} recorded`;
	}

	const attempts = open?.map(([attempt]) => attempt).join(' ') ?? '';
	return `${counter} #${version}: ${settled} ended, ${reserved} in progress${attempts === '' ? '' : ` (${attempts})`}`;
}

function describeSlots(slots: readonly LedgerSlot[]): readonly string[] {
	return slots.filter(({settled, reserved}) => settled + reserved > 0).slice(0, maximumSlots).map(slot => describeSlot(slot));
}

/** Writes the line of an event. */
export function logBudget(log: Log, event: BudgetEvent): void {
	const {kind, ...rest} = event;
	const fields = 'slots' in rest ? {...rest, slots: describeSlots(rest.slots)} : rest;
	log.info({event: `budget-${kind}`, ...fields}, `token budget event: ${kind}`);
}
