/**
Admission of requests: those without a route, those that cannot end before the process stops, and those that overload the instance are
refused before anything is done for them.
*/
import {type Clock} from '../contracts/clock.js';
import {as, type Milliseconds, type ProgramId} from '../contracts/id.js';
import {type RelayRoute} from '../contracts/relay.js';
import {pathOf, type Refusal, type RelayRequest} from '../contracts/relay-request.js';
import {type RoutingTable} from '../contracts/routing-table.js';
import {type Arrival, type Overload} from './overload.js';
import {minimumRetryAfterMs} from './relay-endings.js';

/** The process ends at `end`; requests that arrive from `from` on and may not end before are refused. Both are times of the clock. */
export type Stop = {readonly end: Milliseconds; readonly from: Milliseconds};

export type Admission
	= | {readonly kind: 'admitted'; readonly table: RoutingTable; readonly route: RelayRoute}
		| {readonly kind: 'refused'; readonly refusal: Refusal};

export type RelayAdmission = {
	readonly admit: (request: RelayRequest) => Admission;
	/** Announces when the process ends. */
	readonly endBy: (stop: Stop) => void;
};

export type RelayAdmissionOptions = {
	readonly table: () => RoutingTable | undefined;
	readonly overload: Pick<Overload, 'admit'>;
	/** Whether a program has begun, as far as this instance knows. */
	readonly hasBegun: (program: ProgramId) => boolean;
	readonly clock: Clock;
};

/** Creates the admission of an instance that does not stop. */
export function createRelayAdmission(options: RelayAdmissionOptions): RelayAdmission {
	const {clock} = options;
	let stop: Stop | undefined;

	/** Whether the request is the first model call of a program. */
	function arrivalOf({program, previousTurn, lastEvent}: RelayRequest, {isStream}: RelayRoute): Arrival {
		const isContinued = previousTurn !== undefined || lastEvent !== undefined;
		const isFirst = isStream && program !== undefined && !isContinued && !options.hasBegun(program.id);
		return {kind: isFirst ? 'begins-program' : 'other'};
	}

	/** Whether the request may still be under way when the process ends. */
	function mayOutlastProcess({timeLeft}: RelayRequest, {timeout}: RelayRoute): boolean {
		const mayTake = Math.min(timeout, timeLeft ?? timeout);
		return stop !== undefined && clock.now() >= stop.from && clock.now() + mayTake > stop.end;
	}

	return {
		admit(request) {
			const table = options.table();
			const route = table?.routeOf(request.host, pathOf(request));
			if (!table || !route) {
				return {kind: 'refused', refusal: {kind: table ? 'no-route' : 'not-ready'}};
			}

			if (mayOutlastProcess(request, route)) {
				return {kind: 'refused', refusal: {kind: 'not-run', retryAfter: as<Milliseconds>(minimumRetryAfterMs)}};
			}

			const arrival = options.overload.admit(arrivalOf(request, route));
			return arrival.kind === 'refused'
				? {kind: 'refused', refusal: {kind: 'overloaded', retryAfter: arrival.retryAfter}}
				: {kind: 'admitted', table, route};
		},
		endBy(announced) {
			stop = announced;
		},
	};
}
