/**
Allotments: how many requests a workspace may send to endpoints, across all instances. The bound that must hold is wider than
the allotment; the difference, the slack, is what data centres grant that do not reach the workspace's coordinator.
*/
import {as, type Milliseconds} from './id.js';
import {type RequestsPerSecond} from './rate-limit.js';

export type Allotment
	= | {readonly kind: 'unlimited'}
		| {readonly kind: 'limited'; readonly rate: RequestsPerSecond; readonly burst: number};

export type LimitedAllotment = Extract<Allotment, {kind: 'limited'}>;

export const unlimitedAllotment: Allotment = {kind: 'unlimited'};

/**
The bound on the requests of a workspace at endpoints: within any window, at most the allotment of the window, exceeded by
the fraction `overrun` and by `slack` requests.
*/
export type AllotmentBounds = {
	readonly window: Milliseconds;
	readonly overrun: number;
	readonly slack: number;
};

export const defaultAllotmentBounds: AllotmentBounds = {window: as<Milliseconds>(5000), overrun: 0.1, slack: 20};

/** Maximum number of requests that the allotment itself allows within one window. */
function allottedPerWindow({rate, burst}: LimitedAllotment, {window}: AllotmentBounds): number {
	return (rate * window / 1000) + burst;
}

/** Fraction of the slack that covers permits that are used later than they were granted, and views that differ for a moment. */
const reservedSlackFraction = 0.2;

/** Number of requests beyond the allotment that the bound tolerates within one window. */
export function slackPerWindow(allotment: LimitedAllotment, bounds: AllotmentBounds): number {
	return (bounds.overrun * allottedPerWindow(allotment, bounds)) + bounds.slack;
}

/** The part of the slack of a window that data centres may grant. */
export function grantableSlack(allotment: LimitedAllotment, bounds: AllotmentBounds): number {
	return slackPerWindow(allotment, bounds) * (1 - reservedSlackFraction);
}

/**
Time by which a permit may be used later than it was granted. A window may contain the permits of this much more time than its
own, which the reserved slack has to cover.
*/
export function maximumPermitAge(allotment: LimitedAllotment, bounds: AllotmentBounds): Milliseconds {
	return as<Milliseconds>(slackPerWindow(allotment, bounds) * reservedSlackFraction * 1000 / allotment.rate);
}
