/**
Notices of a program's home to all data centres that it alone may grant from now on, as the program has reached the second half of its
budget. The home may grant the whole budget once every data centre has acknowledged the notice, and none can have granted calls that are unknown to it.
*/
import {type Clock} from '../contracts/clock.js';
import {type DataCentreId, type Milliseconds, type ProgramId} from '../contracts/id.js';
import {type Member} from './membership.js';

/** Time within which every data centre that can be reached acknowledges a notice; two round trips. */
const acknowledgementTimeoutMs = 300;

/**
Time within which data centres that receive a notice late send the home what they granted before: they may still skip
its instances as unresponsive, and retry once a second.
*/
const reconcileMs = 3000;

export type SecondHalfNotices = {
	readonly has: (program: ProgramId) => boolean;
	/** Sends the notice of a program unless it has been sent. Resolves when all data centres have replied to it, or timed out. */
	readonly deliver: (program: ProgramId, send: () => Promise<void>) => Promise<void>;
	/** Records that a data centre has acknowledged the notice. */
	readonly recordAnswer: (program: ProgramId, dataCentre: DataCentreId) => void;
	/** Data centres that have yet to acknowledge the notice, or to report what they granted before it; empty without a notice. */
	readonly unaware: (program: ProgramId) => readonly DataCentreId[];
	/** Drops the notices of programs that are no longer known. */
	readonly retain: (known: ReadonlySet<ProgramId>) => void;
};

export type SecondHalfNoticesOptions = {
	readonly self: () => Member;
	/** Data centres that have instances, including those of which none can be reached. */
	readonly dataCentres: () => readonly DataCentreId[];
	readonly clock: Clock;
};

type Notice = {
	readonly startedAt: Milliseconds;
	/** When each data centre first acknowledged the notice. */
	readonly answeredAt: Map<DataCentreId, Milliseconds>;
	delivered: Promise<void>;
};

/** Creates an empty record. */
export function createSecondHalfNotices({self, dataCentres, clock}: SecondHalfNoticesOptions): SecondHalfNotices {
	const notices = new Map<ProgramId, Notice>();

	/** Whether a data centre acknowledged in time, or has since had the time to report what it granted before. */
	function isCaughtUp(dataCentre: DataCentreId, {startedAt, answeredAt}: Notice): boolean {
		const at = answeredAt.get(dataCentre);
		return dataCentre === self().dataCentre
			|| (at !== undefined && (at - startedAt <= acknowledgementTimeoutMs || clock.now() - at >= reconcileMs));
	}

	function begin(program: ProgramId, send: () => Promise<void>): Notice {
		const notice: Notice = {startedAt: clock.now(), answeredAt: new Map(), delivered: Promise.resolve()};
		notices.set(program, notice);
		notice.delivered = send();
		return notice;
	}

	return {
		has: program => notices.has(program),
		async deliver(program, send) {
			const notice = notices.get(program) ?? begin(program, send);
			return notice.delivered;
		},
		recordAnswer(program, dataCentre) {
			const answeredAt = notices.get(program)?.answeredAt;
			if (answeredAt && !answeredAt.has(dataCentre)) {
				answeredAt.set(dataCentre, clock.now());
			}
		},
		unaware(program) {
			const notice = notices.get(program);
			return notice ? dataCentres().filter(dataCentre => !isCaughtUp(dataCentre, notice)) : [];
		},
		retain(known) {
			for (const program of notices.keys()) {
				if (!known.has(program)) {
					notices.delete(program);
				}
			}
		},
	};
}
