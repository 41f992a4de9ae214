/**
Permits of a decision: each is passed on to the request that waits for it, or given back if that request is gone or already has one.
*/
import {type Clock} from '../../contracts/clock.js';
import {as, type Milliseconds} from '../../contracts/id.js';
import {type TenureId} from '../../machines/allotment-lease.js';
import {type Decision} from './messages.js';
import {type Queue, type Waiting} from './permit-queue.js';

/** Age at which a permit is not given back any more, because it may have been granted in an earlier window. */
const maximumReturnAgeMs = 500;

/** Time for which returned permits wait for an ask that carries them. */
const returnDelayMs = 50;

export type PermitGrants = {
	/** Passes on the permits of a decision. Returns the requests that got none. */
	readonly applyGrants: (queue: Queue, batch: readonly Waiting[], decision: Decision) => readonly Waiting[];
	/** The same for the decision of a coordinator: requests that got no permit are refused, as none comes in time. */
	readonly apply: (queue: Queue, batch: readonly Waiting[], decision: Decision) => void;
};

export type PermitGrantsOptions = {
	readonly clock: Clock;
	/** Called some time after a permit was returned, in case no ask has carried it. */
	readonly onReturned: (queue: Queue) => void;
};

/** Creates the grants of an instance. */
export function createPermitGrants({clock, onReturned}: PermitGrantsOptions): PermitGrants {
	function giveBack(queue: Queue, tenure: TenureId | undefined, grantedAt: Milliseconds): void {
		if (tenure === undefined || clock.now() - grantedAt > maximumReturnAgeMs) {
			return;
		}

		const isFirst = queue.returned?.tenure !== tenure;
		queue.returned = {tenure, count: isFirst ? 1 : (queue.returned?.count ?? 0) + 1};
		if (isFirst) {
			void clock.sleep(as<Milliseconds>(returnDelayMs)).then(() => {
				onReturned(queue);
			});
		}
	}

	/** Lets the request go when its permit may be used, or gives the permit back if the request is gone by then. */
	async function grantAfter(delay: Milliseconds, request: Waiting, giveBackPermit: () => void): Promise<void> {
		await (delay > 0 ? clock.sleep(delay) : undefined);
		if (request.isSettled()) {
			giveBackPermit();
		} else {
			request.settle({kind: 'granted', giveBack: giveBackPermit});
		}
	}

	/** Passes on the permits of a decision. Returns the requests that got none. */
	function applyGrants(queue: Queue, batch: readonly Waiting[], {tenure, delays}: Decision): readonly Waiting[] {
		const grantedAt = clock.now();
		const giveBackPermit = () => {
			giveBack(queue, tenure, grantedAt);
		};

		return batch.filter((request, index) => {
			const delay = delays[index] ?? 'none';
			if (delay === 'none') {
				return !request.isDecided;
			}

			if (request.isDecided) {
				giveBackPermit();
			} else {
				request.isDecided = true;
				queue.waiting.delete(request);
				void grantAfter(delay, request, giveBackPermit);
			}

			return false;
		});
	}

	function apply(queue: Queue, batch: readonly Waiting[], decided: Decision): void {
		const {wait} = decided;
		for (const request of applyGrants(queue, batch, decided)) {
			request.settle({kind: 'used-up', wait});
			queue.usedUpUntil = Math.max(queue.usedUpUntil, clock.now() + wait);
		}
	}

	return {applyGrants, apply};
}
