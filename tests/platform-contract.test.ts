/**
Contract tests of the platform client against the stand-in.
*/
import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {
	as, type Address, type Milliseconds, type ObjectName, type ObjectVersion,
} from '../src/contracts/id.js';
import {type Platform} from '../src/contracts/platform.js';
import {createPlatform} from '../src/links/platform.js';
import {type PlatformStandIn, startPlatform} from '../standins/platform.js';

const name = as<ObjectName>('shard/padova/1/slot/2');
const version = (number: number) => as<ObjectVersion>(number);
const closing = new AbortController();
let standIn: PlatformStandIn;
let platform: Platform;

before(async () => {
	standIn = await startPlatform();
	platform = createPlatform({address: as<Address>(standIn.address), signal: closing.signal, timeout: as<Milliseconds>(300)});
});

after(async () => {
	closing.abort();
	await standIn.close();
});

type Case = {
	readonly name: string;
	readonly faults: Parameters<PlatformStandIn['setFaults']>[0];
	readonly expected: (current: number) => number;
	readonly value?: unknown;
	readonly kind: 'written' | 'conflict' | 'unavailable' | 'doubtful';
	readonly isStored: boolean;
};

const cases: readonly Case[] = [
	{
		name: 'a write at the current version', faults: {}, expected: current => current, kind: 'written', isStored: true,
	},
	{
		name: 'a write at an old version', faults: {}, expected: current => current - 1, kind: 'conflict', isStored: false,
	},
	{
		name: 'a write at a version that does not exist yet', faults: {}, expected: current => current + 1, kind: 'conflict', isStored: false,
	},
	{
		name: 'a write during an outage', faults: {down: true}, expected: current => current, kind: 'unavailable', isStored: false,
	},
	{
		name: 'a write whose response is lost', faults: {loseAnswers: 1}, expected: current => current, kind: 'doubtful', isStored: true,
	},
	{
		name: 'a write that times out', faults: {delayMs: 600}, expected: current => current, kind: 'doubtful', isStored: false,
	},
	{
		name: 'a write above the rate limit of the platform', faults: {callsPerSecond: 0.5}, expected: current => current, kind: 'unavailable', isStored: false,
	},
	{
		name: 'a value above one megabyte', faults: {}, expected: current => current, value: 'x'.repeat(1_100_000), kind: 'unavailable', isStored: false,
	},
];

async function checkCase(entry: Case): Promise<void> {
	const target = as<ObjectName>(`case/${entry.name.replaceAll(' ', '-')}`);
	standIn.put(target, 'before');
	const current = standIn.put(target, 'before');
	standIn.setFaults(entry.faults);
	const update = await platform.update(target, version(entry.expected(current)), entry.value ?? 'after');
	const stored = standIn.object(target);
	standIn.setFaults({});
	assert.equal(update.kind, entry.kind);
	assert.equal(stored?.value === 'after', entry.isStored);
}

for (const entry of cases) {
	test(`${entry.name} is ${entry.kind}`, async () => checkCase(entry));
}

async function read(object: ObjectName) {
	const result = await platform.read(object);
	return result._unsafeUnwrap();
}

async function update(object: ObjectName, expected: number, value: unknown): Promise<string> {
	const result = await platform.update(object, version(expected), value);
	return result.kind;
}

async function revisionAfter(since: number, wait: number): Promise<number> {
	const result = await platform.watch('configuration/', since, as<Milliseconds>(wait), closing.signal);
	return result._unsafeUnwrap().revision;
}

test('an absent object has version zero, and the first write expects it', async () => {
	assert.deepEqual(await read(name), {version: 0, value: undefined});
	assert.equal(await update(name, 0, {batch: 1}), 'written');
	assert.deepEqual(await read(name), {version: 1, value: {batch: 1}});
	assert.equal(await update(name, 0, {batch: 2}), 'conflict');
});

test('a watch responds when an object under its prefix changes, and not for others', async () => {
	const since = await revisionAfter(0, 1);
	const watching = revisionAfter(since, 10_000);
	standIn.put('other/object', 1);
	standIn.put('configuration/routes', {routes: []});
	assert.ok(await watching > since);
});

test('a write to an unreachable platform is reported as not written', async () => {
	const gone = await startPlatform();
	const unreachable = createPlatform({address: as<Address>(gone.address), signal: closing.signal});
	await gone.close();
	const written = await unreachable.update(name, version(0), 1);
	assert.equal(written.kind, 'unavailable');
	const failed = await unreachable.read(name);
	assert.equal(failed._unsafeUnwrapErr().code, 'platform-unavailable');
	assert.equal(failed._unsafeUnwrapErr().peer, 'platform');
});

test('the instance list contains live and leaving instances', async () => {
	standIn.list({
		id: 'entry-1', role: 'entry', dataCentre: 'padova', address: '127.0.0.1:1', state: 'live',
	});
	standIn.list({
		id: 'engine-1', role: 'engine', dataCentre: 'padova', address: '127.0.0.1:2', state: 'leaving',
	});
	const listing = await platform.instances();
	assert.deepEqual(listing._unsafeUnwrap().map(entry => [entry.id, entry.state]), [['entry-1', 'live'], ['engine-1', 'leaving']]);
});
