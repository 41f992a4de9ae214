/**
Decodes request bodies of callers.
*/
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {type z} from 'zod';
import {describeError, type Failure, failure} from '../contracts/failure.js';

/** Maximum size of a request body from a caller. */
export const maximumRequestBytes = 256 * 1024;

function rejectBody(message: string): Result<never, Failure> {
	return err(failure('invalid-request', message, {step: 'validate', peer: 'caller'}));
}

/** Decodes a body as UTF-8. */
export function decodeTextBody(body: Uint8Array): string {
	return Buffer.from(body.buffer, body.byteOffset, body.byteLength).toString('utf8');
}

/** Decodes a JSON body and validates it against a schema; an empty body counts as an empty object. Fails with `invalid-request`. */
export function decodeJsonBody<Body>(body: Uint8Array, schema: z.ZodType<Body>): Result<Body, Failure> {
	const content = decodeTextBody(body);
	let value: unknown;
	try {
		value = content === '' ? {} : JSON.parse(content);
	} catch (error) {
		return rejectBody(`The request body is not valid JSON: ${describeError(error)}`);
	}

	const parsed = schema.safeParse(value);
	if (parsed.success) {
		return ok(parsed.data);
	}

	const reasons = parsed.error.issues.map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`);
	return rejectBody(reasons.join('; '));
}
