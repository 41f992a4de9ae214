/**
Which connections and requests of clients are given up when there are too many, and the limits that follow from a machine.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {as, type Bytes, type Milliseconds} from '../src/contracts/id.js';
import {callerLimits, peerLimits} from '../src/machines/client-limits.js';
import {createHeldRequests} from '../src/machines/held-requests.js';
import {createOpenConnections} from '../src/machines/open-connections.js';
import {parseRelaySettings} from '../src/programs/relay-settings.js';

const at = (time: number) => as<Milliseconds>(time);

/** Opens connections named by their numbers, a millisecond apart. Returns the names of those that are closed. */
function openMany(connections: ReturnType<typeof createOpenConnections<string>>, names: readonly string[], from: number): string[] {
	return names.flatMap((name, index) => connections.open(name, at(from + index)).map(closed => closed.connection));
}

const named = (prefix: string, count: number) => Array.from({length: count}, (_, index) => `${prefix}${index}`);

// Guards against callers that are kept out by connections that only wait.
test('heads that stay incomplete make room for the newest connection, the oldest first', () => {
	const connections = createOpenConnections<string>({connections: 10, incompleteHeads: 4});
	assert.deepEqual(openMany(connections, named('c', 6), 0), ['c0', 'c1']);
	assert.deepEqual(connections.counts(), {
		head: 4, body: 0, running: 0, idle: 0, closing: 0,
	});
});

// Guards against a burst of honest callers that close each other's connections while idle ones stay.
test('callers that connect at once displace idle connections, the longest idle first, and not each other', () => {
	const connections = createOpenConnections<string>({connections: 8, incompleteHeads: 6});
	openMany(connections, named('idle', 6), 0);
	for (const [index, name] of named('idle', 6).entries()) {
		connections.enter(name, 'idle', at(10 + index));
	}

	assert.deepEqual(openMany(connections, named('c', 5), 100), ['idle0', 'idle1', 'idle2']);
});

test('the least useful connection is closed first', () => {
	const connections = createOpenConnections<string>({connections: 6, incompleteHeads: 6});
	openMany(connections, ['running', 'idle', 'body', 'young', 'closing', 'head'], 0);
	connections.enter('running', 'running', at(10));
	connections.enter('idle', 'idle', at(10));
	connections.enter('body', 'body', at(10));
	connections.enter('closing', 'closing', at(10));
	connections.enter('young', 'body', at(1900));
	const closed = openMany(connections, named('new', 6), 2000);
	assert.deepEqual(closed, ['closing', 'head', 'body', 'idle', 'new0', 'new1']);
});

test('a connection is refused when requests run on all others', () => {
	const connections = createOpenConnections<string>({connections: 2, incompleteHeads: 2});
	openMany(connections, ['a', 'b'], 0);
	connections.enter('a', 'running', at(1));
	connections.enter('b', 'running', at(1));
	assert.deepEqual(connections.open('c', at(5000)), [{connection: 'c', phase: 'head', exceeded: 'connections'}]);
});

test('no history exceeds the limits of connections', () => {
	const step = fc.record({name: fc.nat(20), change: fc.constantFrom('open', 'body', 'running', 'idle', 'closing', 'close'), wait: fc.nat(800)});
	fc.assert(fc.property(fc.array(step, {maxLength: 120}), steps => {
		const connections = createOpenConnections<number>({connections: 5, incompleteHeads: 3});
		const open = new Set<number>();
		let time = 0;
		for (const {name, change, wait} of steps) {
			time += wait;
			if (change === 'close') {
				connections.close(name);
				open.delete(name);
			} else if (change !== 'open') {
				connections.enter(name, change, at(time));
			} else if (!open.has(name)) {
				open.add(name);
				for (const closed of connections.open(name, at(time))) {
					assert.ok(open.delete(closed.connection));
				}
			}

			const counts = connections.counts();
			const total = counts.head + counts.body + counts.running + counts.idle + counts.closing;
			assert.equal(total, open.size);
			assert.ok(total <= 5 && counts.head <= 3);
		}
	}), {seed: 1});
});

/** Creates requests that record which of them were given up. */
function createRequests(limits: {readonly requests?: number; readonly bytes: number}) {
	const givenUp: string[] = [];
	const requests = createHeldRequests({requests: limits.requests ?? Infinity, bytes: () => as<Bytes>(limits.bytes)});
	return {
		...requests,
		givenUp,
		add: (name: string, bytes: number) => requests.open(bytes, cause => {
			givenUp.push(`${name} ${cause.kind}`);
		}),
	};
}

test('the largest incomplete body is given up when all together exceed the limit', () => {
	const {add, givenUp, total} = createRequests({bytes: 100});
	const large = add('large', 10);
	const small = add('small', 10);
	large.set(80);
	small.set(20);
	assert.deepEqual(givenUp, []);
	small.set(21);
	assert.deepEqual(givenUp, ['large memory']);
	large.set(500);
	assert.equal(total(), 21);
	small.release();
	assert.equal(total(), 0);
});

// Guards against ordinary callers that are refused because many others hold similar amounts.
test('of many similar bodies the oldest is given up, not the one that has just arrived', () => {
	const {add, givenUp} = createRequests({bytes: 1000});
	for (let index = 0; index < 10; index++) {
		add(`stalled${index}`, 90 + index);
	}

	add('ordinary', 100);
	assert.deepEqual(givenUp, ['stalled0 memory']);
});

// Guards against requests that are broken off while they run, for others that have not begun.
test('a complete request is given up only for a much smaller one', () => {
	const {add, givenUp} = createRequests({bytes: 1000});
	const running = add('running', 500);
	running.complete();
	add('similar', 501);
	assert.deepEqual(givenUp, ['similar memory']);
	const other = add('other', 500);
	other.complete();
	add('small', 10);
	assert.deepEqual(givenUp, ['similar memory', 'running memory']);
});

test('beyond the number of requests the oldest incomplete one is given up', () => {
	const {add, givenUp, count} = createRequests({requests: 2, bytes: 1000});
	add('running', 500).complete();
	add('stalled', 10);
	add('ordinary', 10);
	assert.deepEqual(givenUp, ['stalled requests']);
	assert.equal(count(), 2);
});

test('what is held never exceeds the limit, and adds up', () => {
	const step = fc.record({request: fc.nat(8), bytes: fc.integer({min: 1, max: 700}), change: fc.constantFrom('set', 'complete', 'release')});
	fc.assert(fc.property(fc.array(step, {maxLength: 120}), steps => {
		const requests = createHeldRequests({requests: 6, bytes: () => as<Bytes>(1000)});
		const held = new Map<number, {readonly entry: ReturnType<typeof requests.open>; bytes: number}>();
		const ended = new Set<number>();
		for (const {request, bytes, change} of steps) {
			const existing = held.get(request);
			if (!existing) {
				ended.delete(request);
				const entry = requests.open(bytes, () => {
					ended.add(request);
				});
				held.set(request, {entry, bytes});
			} else if (change === 'set') {
				existing.bytes = bytes;
				existing.entry.set(bytes);
			} else {
				existing.entry[change]();
				ended.add(change === 'release' ? request : -1);
			}

			for (const name of ended) {
				held.delete(name);
			}

			let sum = 0;
			for (const other of held.values()) {
				sum += other.bytes;
			}

			assert.equal(requests.total(), sum);
			assert.ok(requests.total() <= 1000 && requests.count() <= 6);
		}
	}), {seed: 1});
});

test('limits leave descriptors for endpoints, peers and the store, on every machine of the users', () => {
	for (const descriptors of [256, 2069, 8192]) {
		const machine = {memory: as<Bytes>(186_000_000), descriptors};
		const callers = callerLimits(machine);
		const peers = peerLimits(machine);
		assert.ok(callers.connections + callers.requests + peers.connections < descriptors - 32);
		assert.ok(callers.incompleteHeads < callers.connections);
	}
});

// Guards against a limit that an honest burst meets: Node.js accepts 511 connections at once.
test('on the smallest entry machine 511 callers may connect at once', () => {
	assert.ok(callerLimits({memory: as<Bytes>(186_000_000), descriptors: 2069}).incompleteHeads >= 511);
});

test('settings replace what follows from the machine', () => {
	const replaced = {
		connections: 100, incompleteHeads: undefined, requests: 7, pipelinedRequests: undefined, requestBytes: as<Bytes>(5), bodyTime: undefined,
	};
	const limits = callerLimits({memory: undefined, descriptors: 2069}, replaced);
	assert.deepEqual([limits.connections, limits.incompleteHeads, limits.requests, limits.requestBytes], [100, 75, 7, 5]);
});

const settings = `
[instance]
id = "a-1"
dataCentre = "a"
[platform]
address = "127.0.0.1:9000"
heartbeatMs = 1000
[stop]
graceMs = 6000
`;

test('settings without limits bound the memory of requests only, and those with limits derive the others', () => {
	const {callers, peers} = parseRelaySettings('entry.toml', settings)._unsafeUnwrap().limits;
	assert.deepEqual([callers.connections, callers.incompleteHeads, callers.requests, peers.connections, callers.requestBytes], [Infinity, Infinity, Infinity, Infinity, 64 * 1024 * 1024]);
	const limited = parseRelaySettings('entry.toml', `${settings}[limits]\nmemoryMb = 186\ndescriptors = 2069\nconnections = 300\n`)._unsafeUnwrap().limits;
	assert.deepEqual([limited.callers.connections, limited.callers.incompleteHeads, limited.callers.requests, limited.peers.connections], [300, 225, 611, 203]);
	assert.match(parseRelaySettings('entry.toml', `${settings}[limits]\ndescriptors = 0\n`)._unsafeUnwrapErr().message, /limits\.descriptors/v);
});
