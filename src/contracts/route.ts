/**
A route defines which pool serves a kind of request, and whether its calls may be repeated.
*/
import {
	type Milliseconds, type PoolName, type RouteName, type Tokens,
} from './id.js';

export type Route
	= | {
		readonly kind: 'model';
		readonly name: RouteName;
		readonly pool: PoolName;
		readonly timeout: Milliseconds;
		/** Maximum size of a completion that a call may request. */
		readonly limit: Tokens;
	}
	| {
		readonly kind: 'service';
		readonly name: RouteName;
		readonly pool: PoolName;
		readonly timeout: Milliseconds;
		/** Whether a request may run more than once. */
		readonly repeatable: boolean;
	};

/** Whether calls on this route may be sent again after an attempt that may have run. */
export function isRepeatable(route: Route): boolean {
	return route.kind === 'model' || route.repeatable;
}
