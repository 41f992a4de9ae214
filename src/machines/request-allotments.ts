/**
Allotments as used by the relay: before a request of a workspace with an allotment goes to an endpoint, it needs a permit.
*/
import {type LimitedAllotment} from '../contracts/allotment.js';
import {type ConfigurationGeneration, type Milliseconds} from '../contracts/id.js';
import {type WorkspaceName} from '../contracts/workspace.js';

/** A request for one permit, with the allotment as the instance's configuration states it. */
export type AllotmentRequest = {
	readonly workspace: WorkspaceName;
	readonly allotment: LimitedAllotment;
	readonly generation: ConfigurationGeneration;
	/** Maximum time for which the request waits until the allotment has a permit for it. */
	readonly patience: Milliseconds;
	/** Time that the request has left. It may wait longer than `patience` for the reply of an instance that is late. */
	readonly timeLeft: Milliseconds;
};

export type AllotmentOutcome
	/** `giveBack` returns the permit if the request has not reached any endpoint. */
	= | {readonly kind: 'granted'; readonly giveBack: () => void}
	/** The allotment is used up; a permit may be available after `wait`. */
		| {readonly kind: 'used-up'; readonly wait: Milliseconds}
	/** No instance that may grant a permit answered, or had one left. */
		| {readonly kind: 'unavailable'; readonly wait: Milliseconds}
	/** The signal was aborted. */
		| {readonly kind: 'cancelled'};

export type RequestAllotments = {
	readonly acquire: (request: AllotmentRequest, signal: AbortSignal) => Promise<AllotmentOutcome>;
};
