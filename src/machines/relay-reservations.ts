/**
Reservations of relayed requests: the maximum number of tokens of a model call is reserved before it is sent.
*/
import {type Refusal} from '../contracts/relay-request.js';
import {type RelayFleet} from './relay-fleet.js';
import {type RelayJob} from './relay-job.js';
import {type GrantedReservation, type TokenBudgets} from './token-budgets.js';

export type RelayReservationsOptions = {
	readonly budgets: TokenBudgets;
	readonly fleet: Pick<RelayFleet, 'recordPromptLocations'>;
	readonly refuse: (job: RelayJob, refusal: Refusal) => void;
};

/** Reserves the tokens of a request, which may need none. Resolves to undefined if the request was refused. */
export type RelayReservations = (job: RelayJob) => Promise<GrantedReservation['settle'] | undefined>;

/** Creates the reservations of an instance. */
export function createRelayReservations({budgets, fleet, refuse}: RelayReservationsOptions): RelayReservations {
	return async job => {
		const {program, maximumAnswerTokens, attempt} = job.request;
		if (program?.budget === undefined || !job.route.isStream) {
			return () => undefined;
		}

		const reservation = await budgets.reserve({
			program: program.id, attempt, budget: program.budget, most: maximumAnswerTokens, retention: job.route.retention,
		});
		switch (reservation.kind) {
			case 'granted': {
				fleet.recordPromptLocations(job.request.prompt, reservation.places);
				return reservation.settle;
			}

			case 'exhausted': {
				refuse(job, {kind: 'budget-exhausted'});
				return undefined;
			}

			case 'unknown': {
				refuse(job, {kind: 'not-run', retryAfter: reservation.retryAfter});
				return undefined;
			}
		}
	};
}
