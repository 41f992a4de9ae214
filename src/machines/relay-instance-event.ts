/**
Events of an instance that relays requests, for logs and metrics.
*/
import {type EndpointId, type Milliseconds} from '../contracts/id.js';
import {type AllotmentEvent} from '../zones/allotments/allotment-event.js';
import {type BudgetEvent} from '../zones/budget-event.js';
import {type TurnEvent} from '../zones/conversations/turn-event.js';
import {type EndpointPathsEvent} from '../zones/endpoint-paths/endpoint-paths.js';
import {type EndedSearch} from '../zones/contact-search.js';
import {type Member} from '../zones/membership.js';
import {type RateLimitEvent} from '../zones/rate-limits.js';
import {type SharedTablesEvent} from '../zones/shared-tables.js';
import {type VersionHistoryEvent} from '../zones/version-history.js';
import {type WarmUpEvent} from '../zones/warm-up.js';
import {type ClientEvent} from './client-problem.js';
import {type RelayEvent} from './relay-event.js';

export type RelayInstanceEvent
	= | {readonly kind: 'relay'; readonly relay: RelayEvent}
		| {readonly kind: 'tables'; readonly tables: SharedTablesEvent}
		| {readonly kind: 'budget'; readonly budget: BudgetEvent}
		| {readonly kind: 'warm-up'; readonly warmUp: WarmUpEvent}
		| {readonly kind: 'versions'; readonly versions: VersionHistoryEvent}
		| {readonly kind: 'turns'; readonly turns: TurnEvent}
		| {readonly kind: 'path'; readonly path: EndpointPathsEvent}
		| {readonly kind: 'member'; readonly member: Member}
		| {readonly kind: 'contact-searched'; readonly search: EndedSearch}
		| {readonly kind: 'paused'; readonly gap: Milliseconds}
		/** A peer reported that an endpoint leaves. */
		| {readonly kind: 'leaving-reported'; readonly endpoint: EndpointId}
		| RateLimitEvent
		| AllotmentEvent
		| ClientEvent;

