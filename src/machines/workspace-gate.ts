/**
First decision on a request: which workspace it belongs to, by its key, and whether the workspace's allotment lets it go to an
endpoint. A key that is not known is refused for good only while the tables are fresh, because that ends the
caller's program, and the key may have been added since.
*/
import {type Clock, type Random} from '../contracts/clock.js';
import {as, type Milliseconds} from '../contracts/id.js';
import {type RelayRoute} from '../contracts/relay.js';
import {type Refusal, type RelayRequest} from '../contracts/relay-request.js';
import {type RoutingTable} from '../contracts/routing-table.js';
import {type Workspace, type WorkspaceName} from '../contracts/workspace.js';
import {placementTimeoutFraction} from './endpoint-choice.js';
import {type RelayEvent} from './relay-event.js';
import {type RequestAllotments} from './request-allotments.js';

/** Age of the tables above which keys may exist that this instance does not know. */
const maximumTablesAgeMs = 1000;

/** Time after which a caller with an unknown key retries: the tables are fresh again by then, or another instance's are. */
const staleTablesRetryMs = 300;

/** Minimum time after which a caller without a permit retries. */
const minimumRetryMs = 150;

export type Entry
	= | {
		readonly kind: 'entered';
		readonly workspace: WorkspaceName | undefined;
		readonly rank: number;
		/** Called when the request has ended. */
		readonly leave: (hasReachedEndpoint: boolean) => void;
	}
	| {readonly kind: 'refused'; readonly refusal: Refusal; readonly workspace: WorkspaceName | undefined}
	| {readonly kind: 'cancelled'};

export type WorkspaceGateOptions = {
	readonly allotments: RequestAllotments;
	/** Time since the instance last knew everything that the store had acknowledged. */
	readonly tablesAge: () => Milliseconds;
	readonly clock: Clock;
	readonly random: Random;
	readonly onEvent: (event: RelayEvent) => void;
};

export type WorkspaceGate = {
	readonly enter: (request: RelayRequest, route: RelayRoute, table: RoutingTable, signal: AbortSignal) => Promise<Entry>;
};

/** Creates the gate of an instance. */
export function createWorkspaceGate({allotments, tablesAge, clock, random, onEvent}: WorkspaceGateOptions): WorkspaceGate {
	function refuseUnknown(): Entry {
		const isStale = tablesAge() > maximumTablesAgeMs;
		return {
			kind: 'refused', workspace: undefined, refusal: isStale ? {kind: 'not-run', retryAfter: as<Milliseconds>(staleTablesRetryMs)} : {kind: 'unauthorized'},
		};
	}

	/** Time after which a refused caller retries. It is spread, so that the callers of a workspace do not all return for the same permit. */
	function retryAfter(wait: Milliseconds): Milliseconds {
		return as<Milliseconds>(Math.max(minimumRetryMs, wait * (1 + random.fraction())));
	}

	async function takePermit(request: RelayRequest, route: RelayRoute, table: RoutingTable, {workspace, signal}: {readonly workspace: Workspace; readonly signal: AbortSignal}): Promise<Entry> {
		const {name, allotment} = workspace;
		const entered = {kind: 'entered', workspace: name, rank: table.rankOf(route, workspace)} as const;
		if (allotment.kind === 'unlimited') {
			onEvent({kind: 'permitted', workspace: name, isPermitted: true});
			return {...entered, leave: () => undefined};
		}

		const timeLeft = as<Milliseconds>(request.timeLeft ?? route.timeout);
		const outcome = await allotments.acquire({
			workspace: name,
			allotment,
			generation: table.configuration.generation,
			patience: as<Milliseconds>(Math.min(route.latencyGoal * placementTimeoutFraction, timeLeft)),
			timeLeft,
		}, signal);
		switch (outcome.kind) {
			case 'granted': {
				onEvent({kind: 'permitted', workspace: name, isPermitted: true});
				return {
					...entered,
					leave(hasReachedEndpoint) {
						if (!hasReachedEndpoint) {
							outcome.giveBack();
						}
					},
				};
			}

			case 'used-up':
			case 'unavailable': {
				onEvent({kind: 'permitted', workspace: name, isPermitted: false});
				const kind = outcome.kind === 'used-up' ? 'over-allotment' : 'not-run';
				return {kind: 'refused', workspace: name, refusal: {kind, retryAfter: retryAfter(outcome.wait)}};
			}

			case 'cancelled': {
				return outcome;
			}
		}
	}

	return {
		async enter(request, route, table, signal) {
			if (table.configuration.workspaces === undefined || route.isPublic) {
				return {
					kind: 'entered', workspace: undefined, rank: route.rank, leave: () => undefined,
				};
			}

			const workspace = request.key === undefined ? undefined : table.workspaceOf(request.key);
			return workspace ? takePermit(request, route, table, {workspace, signal}) : refuseUnknown();
		},
	};
}
