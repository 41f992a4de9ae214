/**
Ages of permits when they arrive. A permit was granted after it was asked for, so each exchange bounds by how much the clock of
its coordinator differs from the own one; the tightest bound also tells the age of permits that were asked for long before they
were granted, because the coordinator was late.
*/
import {type Clock} from '../../contracts/clock.js';
import {as, type Milliseconds} from '../../contracts/id.js';
import {type TenureId} from '../../machines/allotment-lease.js';

/** Time for which a bound is used. Clocks differ by a few milliseconds more after that time. */
const boundLifeMs = 20_000;

/** Maximum number of tenures whose clocks are remembered. */
const maximumTenures = 1000;

export type Grant = {
	readonly tenure: TenureId | undefined;
	/** Time of the grant on the clock of the coordinator; undefined if that runs an older build. */
	readonly at: Milliseconds | undefined;
	/** When the permits were asked for, on the own clock. */
	readonly askedAt: Milliseconds;
};

export type PermitAges = {
	/** The maximum age of permits that have just arrived. */
	readonly record: (grant: Grant) => Milliseconds;
};

/** Creates the ages as known to an instance that has got no permits yet. */
export function createPermitAges(clock: Clock): PermitAges {
	/** The least time by which the own clock is ahead of that of each tenure, and when it was found. */
	const leads = new Map<TenureId, {readonly least: number; readonly foundAt: Milliseconds}>();

	return {
		record({tenure, at, askedAt}) {
			const now = clock.now();
			if (tenure === undefined || at === undefined) {
				return as<Milliseconds>(now - askedAt);
			}

			const known = leads.get(tenure);
			const isUsable = known !== undefined && now - known.foundAt < boundLifeMs && known.least <= now - at;
			if (!isUsable || askedAt - at >= known.least) {
				leads.delete(tenure);
				leads.set(tenure, {least: askedAt - at, foundAt: now});
			}

			const [oldest] = leads.keys();
			if (leads.size > maximumTenures && oldest !== undefined) {
				leads.delete(oldest);
			}

			return as<Milliseconds>(now - at - (leads.get(tenure)?.least ?? askedAt - at));
		},
	};
}
