/**
Files of the routes and pools tables: TOML, with the version of the object that the table was read from in
a comment on the first line, so that `apply` can reject an edit of an outdated version.
*/
import {readFileSync} from 'node:fs';
import {err, ok, type Result} from 'neverthrow';
import {parse, stringify} from 'smol-toml';
import {describeError, type Failure, failure} from '../contracts/failure.js';
import {as, type ObjectVersion} from '../contracts/id.js';

const versionLine = /^# version (\d+)$/mv;

export type TableFile = {
	readonly value: unknown;
	/** Version of the object that the file was read from; undefined without the comment. */
	readonly version: ObjectVersion | undefined;
};

/** Reads a table file. Fails with the file's name and the reason. */
export function readTableFile(file: string): Result<TableFile, Failure> {
	try {
		const text = readFileSync(file, 'utf8');
		const version = versionLine.exec(text)?.[1];
		return ok({value: parse(text), version: version === undefined ? undefined : as<ObjectVersion>(Number(version))});
	} catch (error) {
		return err(failure('invalid-request', `${file}: ${describeError(error)}`, {step: 'configure', peer: file}));
	}
}

/** Formats a table as the text of a file. */
export function formatTable(value: unknown, version: ObjectVersion): string {
	const table = typeof value === 'object' && value !== null ? value : {};
	return `# version ${version}\n${stringify(table)}`;
}
