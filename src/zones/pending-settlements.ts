/**
Ends of calls that their coordinators have yet to acknowledge. A coordinator that is cut off or stands still when a call ends has the
tokens reserved until it hears of the end, so it is told again once a second. One that has started again meanwhile no longer knows
the reservation, but others know it as that of its earlier process; so it counts the tokens, and the attempt is over for all.
*/
import {type Clock} from '../contracts/clock.js';
import {type Milliseconds} from '../contracts/id.js';
import {type Settlement} from './budget-client.js';
import {processOf} from './member-identity.js';
import {type Member} from './membership.js';

/** Time for which a coordinator is told again, in ms; instances are cut off or restart within seconds. */
const resendMs = 30_000;

/** Maximum number of settlements that are remembered. */
const maximumPending = 2000;

export type PendingSettlements = {
	/** Records that a coordinator did not acknowledge a settlement that was first sent at a time. */
	readonly add: (coordinator: Member, settlement: Settlement, sentAt: Milliseconds) => void;
	/** Sends all to those coordinators that are there. */
	readonly resend: (members: readonly Member[], send: (coordinator: Member, settlement: Settlement, sentAt: Milliseconds) => void) => void;
};

type Pending = {readonly coordinator: Member; readonly settlement: Settlement; readonly sentAt: Milliseconds};

/** The settlement of a call as the process is to have it that is now in the place of its coordinator. */
export function settlementFor(current: Member, coordinator: Member, settlement: Settlement): Settlement {
	return {...settlement, isOver: settlement.isOver || processOf(current) !== processOf(coordinator)};
}

/** Creates an empty record. */
export function createPendingSettlements(clock: Clock): PendingSettlements {
	const pending = new Set<Pending>();
	return {
		add(coordinator, settlement, sentAt) {
			pending.add({coordinator, settlement, sentAt});
			const [oldest] = pending;
			if (pending.size > maximumPending && oldest) {
				pending.delete(oldest);
			}
		},
		resend(members, send) {
			for (const entry of pending) {
				const {coordinator, settlement, sentAt} = entry;
				const current = members.find(({id, status}) => id === coordinator.id && status !== 'dead');
				if (clock.now() - sentAt > resendMs) {
					pending.delete(entry);
				} else if (current) {
					pending.delete(entry);
					send(current, settlementFor(current, coordinator, settlement), sentAt);
				}
			}
		},
	};
}
