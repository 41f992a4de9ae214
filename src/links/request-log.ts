/**
Log lines of relayed requests: one for each attempt at an endpoint and each outcome, and what responses said.
*/
import {type RelayRequest} from '../contracts/relay-request.js';
import {type RelayEvent} from '../machines/relay-event.js';
import {describeLimit} from './endpoint-log.js';
import {type Log} from './log.js';

function requestFields(request: RelayRequest) {
	return {request: request.attempt, program: request.program?.id};
}

/** Logs an event of a request. */
export function logRelay(log: Log, event: RelayEvent): void {
	switch (event.kind) {
		case 'attempted': {
			const {
				result, endpoint, path, version, resumeAfter, load, expected, rateLimit, generation, took,
			} = event.attempt;
			log.info({
				event: 'attempt', ...requestFields(event.request), endpoint, version, result: result.kind, load, expectedMs: expected, generation, tookMs: Math.round(took),
				...(resumeAfter !== undefined && {resumeAfter, firstAttempt: event.request.firstAttempt}),
				...(rateLimit.kind === 'limited' && {limit: rateLimit.rate}),
				...(path.kind === 'tunnel' && {gateway: path.gateway}),
				...(result.kind === 'answered' && {status: result.head.status}),
				...(result.kind === 'rejected' && {status: result.status}),
				...('reason' in result && {reason: result.reason}),
			}, `attempt at ${endpoint} ended after ${Math.round(took)} ms: ${result.kind}`);
			return;
		}

		case 'served': {
			log.info({
				event: 'served', ...requestFields(event.request), attempts: event.attempts, elapsedMs: Math.round(event.elapsed),
			}, `response delivered to the caller after ${Math.round(event.elapsed)} ms`);
			return;
		}

		case 'refused': {
			log.warn({
				event: 'refused', ...requestFields(event.request), workspace: event.workspace, target: event.request.target, firstAttempt: event.request.firstAttempt,
				refusal: event.refusal.kind, attempts: event.attempts, elapsedMs: Math.round(event.elapsed),
				...('retryAfter' in event.refusal && {retryAfterMs: Math.round(event.refusal.retryAfter)}),
			}, `request refused after ${Math.round(event.elapsed)} ms: ${event.refusal.kind}`);
			return;
		}

		case 'cancelled': {
			log.info({
				event: 'cancelled', ...requestFields(event.request), attempts: event.attempts, elapsedMs: Math.round(event.elapsed),
			}, `caller disconnected after ${Math.round(event.elapsed)} ms, before the response was complete`);
			return;
		}

		case 'permitted': {
			// A refusal has a line of its own, and so has every other ending of a request.
			return;
		}

		case 'leaving': {
			log.info({event: 'leaving', ...requestFields(event.request), endpoint: event.endpoint}, `${event.endpoint} said in a response that it leaves`);
			return;
		}

		case 'rate-limit': {
			const {endpoint, limit} = event;
			log.info({
				event: 'rate-limit', ...requestFields(event.request), endpoint, ...(limit.kind === 'limited' && {limit: limit.rate}),
			}, `rate limit of ${endpoint} is now ${describeLimit(limit)}`);
			return;
		}

		case 'rate-limit-unreadable': {
			log.warn({
				event: 'rate-limit-unreadable', ...requestFields(event.request), endpoint: event.endpoint, text: event.text,
			}, `rate limit of ${event.endpoint} cannot be read; the previous one stays in force`);
			return;
		}

		case 'no-permit': {
			log.info({
				event: 'no-permit', ...requestFields(event.request), endpoint: event.endpoint, waitMs: Math.round(event.wait),
			}, `no permit left for ${event.endpoint} for ${Math.round(event.wait)} ms`);
			return;
		}

		case 'crash-suspected': {
			log.warn({
				event: 'crash-suspected', request: event.attempt, ...event.crash,
			}, `request ${event.crash.fingerprint} may have crashed ${event.crash.endpoint}`);
		}
	}
}
