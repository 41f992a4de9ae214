/**
Module boundary: only the `platform` folder contains headers, fields and paths of the platform's protocol, `src` none.
*/
import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {test} from 'node:test';

const headers = new RegExp([
	'attempt-id',
	'server-(?:seal|limit|leaving)',
	'expect-instance',
	'not-executed',
	'request-urgency',
	'token-count',
	'prompt-prefix',
	'program-deadline',
	'token-budget(?!s)',
	'kv-(?:from|move|backup|fetch)',
	'pin-ms',
	'previous-turn',
].join('|'), 'iv');
const fields = /PathPrefix|ApiKeys|RatePerS|Tenants|MaxAttempts|LatencyGoalMs|GapGoalMs|Serializable|RetentionS|\bRetained\b|FaultTolerance|CurrentRev|\/api\/objects|HICKORYFORK_SETTINGS/v;

function sources(folder: string): string[] {
	return readdirSync(folder, {withFileTypes: true}).flatMap(entry => {
		const file = path.join(folder, entry.name);
		return entry.isDirectory() ? sources(file) : [file];
	});
}

test('no file in src contains a header, field or path of the platform protocol', () => {
	const found = sources('src').flatMap(file => readFileSync(file, 'utf8').split('\n')
		.filter(line => headers.test(line) || fields.test(line))
		.map(line => `${file}: ${line.trim()}`));
	assert.deepEqual(found, []);
});
