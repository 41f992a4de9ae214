/**
Settings files in TOML, validated against a schema before anything starts.
*/
import {readFileSync} from 'node:fs';
import {err, ok, type Result} from 'neverthrow';
import {parse} from 'smol-toml';
import {z} from 'zod';
import {describeError, type Failure, failure} from '../contracts/failure.js';

/** IPv4 address and port of a listener or a peer. */
export const addressField = z.string().regex(/^(?:\d{1,3}\.){3}\d{1,3}:\d{1,5}$/v, 'must be an IPv4 address and port');

/** Log level of a program. */
export const logField = z.strictObject({level: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info')}).prefault({});

function settingsError(file: string, message: string): Result<never, Failure> {
	return err(failure('invalid-request', `${file}: ${message}`, {step: 'settings', peer: file}));
}

/** Validates the text of a settings file. Fails with the file, the key and the reason. */
export function parseSettingsText<Parsed>(file: string, text: string, schema: z.ZodType<Parsed>): Result<Parsed, Failure> {
	let value: unknown;
	try {
		value = parse(text);
	} catch (error) {
		return settingsError(file, `not valid TOML: ${describeError(error)}`);
	}

	const parsed = schema.safeParse(value);
	if (parsed.success) {
		return ok(parsed.data);
	}

	const reasons = parsed.error.issues.map(issue => `${issue.path.join('.') || 'settings'}: ${issue.message}`);
	return settingsError(file, reasons.join('; '));
}

/** Reads a settings file and parses it with `parseText`. Fails with the file and the reason. */
export function readSettingsFile<Settings>(file: string, parseText: (file: string, text: string) => Result<Settings, Failure>): Result<Settings, Failure> {
	try {
		return parseText(file, readFileSync(file, 'utf8'));
	} catch (error) {
		return settingsError(file, describeError(error));
	}
}
