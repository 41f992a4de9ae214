/**
Reads request bodies up to a maximum size, so that an oversized request is not held in memory.
*/
import {type IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {type z} from 'zod';
import {describeError, type Failure, failure} from '../contracts/failure.js';
import {readBoundedText} from './bounded-body.js';

/** Maximum size of a request body from a caller. */
export const maximumRequestBytes = 256 * 1024;

function rejectBody(code: 'invalid-request' | 'too-large', message: string): Result<never, Failure> {
	return err(failure(code, message, {step: 'validate', peer: 'caller'}));
}

/** Reads a request body as text. Fails with `too-large` or `invalid-request`. */
export async function readRequestText(request: IncomingMessage): Promise<Result<string, Failure>> {
	try {
		const body = await readBoundedText(request, () => maximumRequestBytes);
		return body === undefined ? rejectBody('too-large', `The request body exceeds ${maximumRequestBytes} bytes`) : ok(body);
	} catch (error) {
		return rejectBody('invalid-request', `The request body could not be read: ${describeError(error)}`);
	}
}

/** Reads a JSON body and validates it against a schema; an empty body counts as an empty object. Fails with `too-large` or `invalid-request`. */
export async function readRequestJson<Body>(request: IncomingMessage, schema: z.ZodType<Body>): Promise<Result<Body, Failure>> {
	const text = await readRequestText(request);
	return text.andThen(content => parseBody(content, schema));
}

function parseBody<Body>(content: string, schema: z.ZodType<Body>): Result<Body, Failure> {
	let value: unknown;
	try {
		value = content === '' ? {} : JSON.parse(content);
	} catch (error) {
		return rejectBody('invalid-request', `The request body is not valid JSON: ${describeError(error)}`);
	}

	const parsed = schema.safeParse(value);
	if (parsed.success) {
		return ok(parsed.data);
	}

	const reasons = parsed.error.issues.map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`);
	return rejectBody('invalid-request', reasons.join('; '));
}
