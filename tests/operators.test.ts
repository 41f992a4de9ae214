/**
Settings and operator commands: error messages that name the cause, and concurrent edits, none of which is lost silently.
*/
import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {after, before, test} from 'node:test';
import {as, type Address} from '../src/contracts/id.js';
import {type Platform} from '../src/contracts/platform.js';
import {createPlatform} from '../src/links/platform.js';
import {
	apply, check, get, status,
} from '../src/programs/commands.js';
import {parseSettings} from '../src/programs/settings.js';
import {type PlatformStandIn, startPlatform} from '../standins/platform.js';

const closing = new AbortController();
const folder = mkdtempSync(path.join(tmpdir(), 'hickoryfork-test-'));
let standIn: PlatformStandIn;
let platform: Platform;

before(async () => {
	standIn = await startPlatform();
	platform = createPlatform({address: as<Address>(standIn.address), signal: closing.signal});
});

after(async () => {
	closing.abort();
	await standIn.close();
	rmSync(folder, {recursive: true});
});

function write(name: string, text: string): string {
	const file = path.join(folder, name);
	writeFileSync(file, text);
	return file;
}

async function text(table: 'routes' | 'pools'): Promise<string> {
	const file = await get(platform, table);
	return file._unsafeUnwrap();
}

const pools = '[[pools]]\nname = "engines"\nkind = "engine"\nconcurrency = 4\nendpoints = []\n';
const routes = '[[routes]]\nkind = "model"\nname = "quotes"\npool = "engines"\ntimeoutMs = 1000\nmaximumTokens = 10\n';

const settings = `
[instance]
id = "entry-1"
dataCentre = "padova"
[callers]
host = "127.0.0.1"
port = 8080
[peers]
host = "127.0.0.1"
port = 8081
token = "sixteen-characters"
[operators]
host = "127.0.0.1"
port = 8082
[platform]
address = "127.0.0.1:9000"
[[customers]]
name = "brenta"
keySha256 = "${'0'.repeat(64)}"
`;

const badSettings: ReadonlyArray<readonly [string, string, RegExp]> = [
	['a port that is too large', settings.replace('8080', '80800'), /entry\.toml: callers\.port/v],
	['a host name in place of an IP address', settings.replace('host = "127.0.0.1"', 'host = "localhost"'), /callers\.host: must be an IPv4 address/v],
	['a short token', settings.replace('sixteen-characters', 'short'), /peers\.token: must have at least 16 characters/v],
	['an unknown key', `${settings}\n[extra]\nkey = 1\n`, /Unrecognized key: "extra"/v],
	['a missing table', settings.replace('[platform]\naddress = "127.0.0.1:9000"\n', ''), /entry\.toml: platform/v],
	['text that is not TOML', 'instance = {', /not valid TOML/v],
	['no customer', settings.replace('[[customers]]', '[[others]]'), /customers/v],
];

for (const [name, text, reason] of badSettings) {
	test(`settings refused with file, key and reason: ${name}`, () => {
		const parsed = parseSettings('entry.toml', text);
		assert.match(parsed._unsafeUnwrapErr().message, reason);
	});
}

test('valid settings get their defaults', () => {
	const parsed = parseSettings('entry.toml', settings)._unsafeUnwrap();
	assert.deepEqual([parsed.logLevel, parsed.stopDeadline, parsed.peers.seeds], ['info', 30_000, []]);
});

test('two consistent files are valid, and inconsistent ones are refused with the name at fault', () => {
	const poolsFile = write('pools.toml', pools);
	assert.equal(check(write('routes.toml', routes), poolsFile)._unsafeUnwrap(), 'valid');
	const wrong = check(write('wrong.toml', routes.replace('engines', 'motors')), poolsFile);
	assert.match(wrong._unsafeUnwrapErr().message, /"quotes" names pool "motors"/v);
	const broken = check(write('broken.toml', '[[routes'), poolsFile);
	assert.match(broken._unsafeUnwrapErr().message, /broken\.toml/v);
});

test('of two operators who edit the same version, the second gets a conflict and no change is lost', async () => {
	const created = await apply(platform, 'pools', write('pools.toml', pools));
	assert.equal(created._unsafeUnwrap(), 'pools written as version 1');
	const before = await text('pools');
	assert.match(before, /^# version 1$/mv);
	const first = await apply(platform, 'pools', write('first.toml', before.replace('concurrency = 4', 'concurrency = 5')));
	const second = await apply(platform, 'pools', write('second.toml', before.replace('concurrency = 4', 'concurrency = 6')));
	assert.equal(first._unsafeUnwrap(), 'pools written as version 2');
	assert.equal(second._unsafeUnwrapErr().code, 'conflict');
	assert.match(second._unsafeUnwrapErr().message, /Another operator changed pools since version 1/v);
	const current = await text('pools');
	assert.match(current, /concurrency = 5/v);
});

test('a table inconsistent with the other one is not written', async () => {
	const before = standIn.object('configuration/routes');
	const result = await apply(platform, 'routes', write('wrong.toml', routes.replace('engines', 'motors')));
	assert.equal(result._unsafeUnwrapErr().code, 'configuration-refused');
	assert.deepEqual(standIn.object('configuration/routes'), before);
});

test('an edit without a base version is refused', async () => {
	const result = await apply(platform, 'pools', write('unversioned.toml', pools));
	assert.match(result._unsafeUnwrapErr().message, /does not say which version/v);
});

test('a lost response is reported as an unknown outcome', async () => {
	const before = await text('pools');
	standIn.setFaults({loseAnswers: 1});
	const result = await apply(platform, 'pools', write('lost.toml', before));
	assert.equal(result._unsafeUnwrapErr().execution, 'unknown');
});

test('status shows the generation, the last refusal and each data centre', async () => {
	standIn.put('configuration/accepted', {generation: 3, routes: [], pools: []});
	standIn.put('status/data-centre/padova', {by: 'entry-1'});
	standIn.list({
		id: 'entry-1', role: 'entry', dataCentre: 'padova', address: '127.0.0.1:1', state: 'live',
	});
	const shown = await status(platform);
	assert.deepEqual(JSON.parse(shown._unsafeUnwrap()), {generation: 3, refused: 'nothing', dataCentres: {padova: {by: 'entry-1'}}});
});
