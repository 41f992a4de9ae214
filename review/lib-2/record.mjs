/**
Record of a run: what was sent, answered and run, with the time since the start in seconds.
*/
import {writeFileSync} from 'node:fs';

/** Creates the record in a file. */
export function createRecord(file) {
	const startedAt = Date.now();
	const lines = [];
	return {
		note(text) {
			lines.push(`${((Date.now() - startedAt) / 1000).toFixed(3)} ${text}`);
			writeFileSync(file, `${lines.join('\n')}\n`);
		},
	};
}
