/**
Directory of endpoints, built from lists that are out of date, lack expired entries and come from several sources.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	as, type EndpointId, type Milliseconds, type ObjectVersion,
} from '../src/contracts/id.js';
import {createEndpointDirectory, type DirectoryEntry, removalGraceMs} from '../src/zones/endpoint-directory.js';
import {endpointWith} from './fixtures/relay-harness.js';

const at = (ms: number) => as<Milliseconds>(ms);
const heartbeat = at(1200);
const revision = (number: number) => as<ObjectVersion>(number);

function listed(id: string, number: number, isLeaving = false): DirectoryEntry {
	return {kind: 'listed', revision: revision(number), endpoint: endpointWith(id, {isLeaving})};
}

function removed(id: string, number: number): DirectoryEntry {
	return {kind: 'removed', revision: revision(number), id: as<EndpointId>(id)};
}

function idsOf(entries: readonly DirectoryEntry[]): string[] {
	return entries.filter(entry => entry.kind === 'listed').map(entry => entry.endpoint.id);
}

test('the newer of two changes wins in whatever order they arrive', () => {
	const directory = createEndpointDirectory(heartbeat);
	directory.merge([listed('a', 5, true)], at(0));
	assert.deepEqual(directory.merge([listed('a', 4)], at(0)), []);
	directory.merge([removed('b', 8)], at(0));
	assert.deepEqual(directory.merge([listed('b', 7)], at(0)), []);
	assert.deepEqual(idsOf(directory.merge([listed('b', 9)], at(0))), ['b']);
});

test('an entry missing from a full list is removed', () => {
	const directory = createEndpointDirectory(heartbeat);
	directory.applyList([listed('a', 1), listed('b', 2)], revision(3), at(10_000));
	directory.applyList([listed('a', 1)], revision(6), at(20_000));
	assert.deepEqual(idsOf(directory.entries()), ['a']);
});

test('a list older than an entry does not remove it', () => {
	const directory = createEndpointDirectory(heartbeat);
	directory.merge([listed('a', 9)], at(10_000));
	directory.applyList([], revision(6), at(20_000));
	assert.deepEqual(idsOf(directory.entries()), ['a']);
});

test('entries that expire during a store outage are kept, and removed when they are not listed again', () => {
	const directory = createEndpointDirectory(heartbeat);
	directory.recordContact(at(10_000), at(10_000));
	directory.applyList([listed('a', 1), listed('b', 2)], revision(3), at(10_000));
	directory.recordContact(at(20_000), at(20_000));
	directory.applyChange(removed('a', 4), at(20_100));
	directory.applyChange(removed('b', 5), at(20_100));
	assert.deepEqual(idsOf(directory.entries()), ['a', 'b']);
	directory.applyChange(listed('b', 6), at(21_000));
	directory.expire(at(20_000 + removalGraceMs - 1));
	assert.deepEqual(idsOf(directory.entries()), ['a', 'b']);
	directory.expire(at(20_000 + removalGraceMs));
	assert.deepEqual(idsOf(directory.entries()), ['b']);
});

test('an outage too short for entries to expire does not keep a removed one', () => {
	const directory = createEndpointDirectory(heartbeat);
	directory.recordContact(at(10_000), at(10_000));
	directory.applyList([listed('a', 1), listed('b', 2)], revision(3), at(10_000));
	directory.recordContact(at(20_000), at(20_000));
	directory.recordContact(at(23_000), at(23_000));
	directory.recordContact(at(25_000), at(25_000));
	directory.applyChange(removed('a', 4), at(25_700));
	assert.deepEqual(idsOf(directory.entries()), ['b']);
});

test('an entry missing at a peer that read a later list is removed', () => {
	const directory = createEndpointDirectory(heartbeat);
	directory.applyList([listed('a', 1), listed('b', 5)], revision(5), at(10_000));
	directory.mergeSnapshot([listed('c', 7)], revision(4), at(20_000));
	assert.deepEqual(idsOf(directory.entries()), ['b', 'c']);
});

test('an entry missing from a full list is not restored from a peer with an older list', () => {
	const directory = createEndpointDirectory(heartbeat);
	directory.applyList([listed('a', 1)], revision(6), at(10_000));
	assert.deepEqual(directory.merge([listed('b', 2)], at(10_100)), []);
	assert.deepEqual(idsOf(directory.merge([listed('c', 7)], at(10_100))), ['c']);
});
