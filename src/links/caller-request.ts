/**
Validation of callers' requests: headers, bodies and stream positions.
*/
import {type IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {type RoutedRequest} from 'polka';
import {z} from 'zod';
import {type Position, answerStart} from '../contracts/call.js';
import {type Failure, failure} from '../contracts/failure.js';
import {
	as, type AttemptId, type IdempotencyKey, type Milliseconds,
} from '../contracts/id.js';

export const defaultBudgetTokens = 100_000;
const defaultCalls = 600;
const defaultDurationMs = 3_600_000;
export const defaultCallTimeoutMs = 120_000;
const defaultCompletionTokens = 1024;
const maximumKeyLength = 128;

export const budgetBody = z.strictObject({
	budget: z.strictObject({
		tokens: z.number().int().positive().max(100_000_000).default(defaultBudgetTokens),
		calls: z.number().int().positive().max(100_000).default(defaultCalls),
		duration_ms: z.number().int().positive().max(86_400_000).default(defaultDurationMs),
	}).prefault({}),
});

export const completionBody = z.object({
	model: z.string().min(1).max(63),
	messages: z.array(z.object({role: z.enum(['system', 'user', 'assistant', 'tool']), content: z.string()})).min(1),
	max_tokens: z.number().int().positive().max(100_000).default(defaultCompletionTokens),
	stream: z.boolean().default(false),
});

export const methods = z.enum(['GET', 'POST', 'PUT', 'DELETE']);

/** Headers that a caller sends with a call, with defaults applied. */
export type CallHeaders = {readonly key: IdempotencyKey; readonly timeout: Milliseconds; readonly turn?: number};

export function invalidRequest(message: string): Failure {
	return failure('invalid-request', message, {step: 'validate', peer: 'caller'});
}

export function headerOf(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[name];
	return typeof value === 'string' ? value : undefined;
}

function integerHeader(request: IncomingMessage, name: string, maximum: number): Result<number | undefined, Failure> {
	const text = headerOf(request, name);
	if (text === undefined) {
		return ok(undefined);
	}

	const value = Number(text);
	const isValid = Number.isInteger(value) && value >= 0 && value <= maximum;
	return isValid ? ok(value) : err(invalidRequest(`Header ${name} must be a whole number from 0 to ${maximum}`));
}

/** Returns the position at which a stream starts: after the event that `Last-Event-ID` names, or at the start. Fails with `invalid-request`. */
export function positionOf(request: IncomingMessage): Result<Position, Failure> {
	const lastEventId = headerOf(request, 'last-event-id');
	if (lastEventId === undefined) {
		return ok(answerStart);
	}

	const match = /^([a-z\d]{1,64})\.(\d{1,9})$/v.exec(lastEventId);
	return match ? ok({stream: as<AttemptId>(match[1] ?? ''), index: Number(match[2]) + 1}) : err(invalidRequest('Last-Event-ID is malformed'));
}

/** The part of the path that is forwarded to the service: everything after `/v1/programs/ID/services/ROUTE`. */
export function servicePathOf(request: RoutedRequest): string {
	return `/${request.path.split('/').slice(6).join('/')}`;
}

/** Reads the headers of a call; `createKey` generates an idempotency key if the caller sent none. Fails with `invalid-request`. */
export function readCallHeaders(request: IncomingMessage, createKey: () => string): Result<CallHeaders, Failure> {
	const key = headerOf(request, 'idempotency-key');
	if (key !== undefined && (key.length === 0 || key.length > maximumKeyLength)) {
		return err(invalidRequest(`Idempotency-Key must have 1 to ${maximumKeyLength} characters`));
	}

	return integerHeader(request, 'hickoryfork-timeout-ms', 3_600_000).andThen(timeout =>
		integerHeader(request, 'hickoryfork-turn', 1_000_000).map(turn => ({
			key: as<IdempotencyKey>(key ?? createKey()),
			timeout: as<Milliseconds>(timeout ?? defaultCallTimeoutMs),
			...(turn !== undefined && {turn}),
		})));
}
