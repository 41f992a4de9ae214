/**
Membership: suspicion, refutation, leaving and recovery from a pause.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	as, type Address, type DataCentreId, type Incarnation, type InstanceId, type Milliseconds,
} from '../src/contracts/id.js';
import {
	createMembership, type Member, type MemberStatus, pauseThresholdMs, supersedes, suspicionTimeoutMs,
} from '../src/zones/membership.js';
import {candidatesIn, ownerOf} from '../src/zones/ownership.js';
import {createSeededRandom} from './fixtures/fake-clock.js';

const padova = as<DataCentreId>('padova');

function member(id: string, status: MemberStatus = 'alive', incarnation = 1): Member {
	return {
		id: as<InstanceId>(id), dataCentre: padova, address: as<Address>(`${id}:1`), incarnation: as<Incarnation>(incarnation), status,
	};
}

function createView() {
	const membership = createMembership(member('self'), createSeededRandom(1));
	const at = (now: number) => as<Milliseconds>(now);
	const statusOf = (id: string) => membership.members().find(known => known.id === id)?.status;
	return {membership, at, statusOf};
}

test('a member that does not respond is suspected first and declared dead only after the suspicion timeout', () => {
	const {membership, at, statusOf} = createView();
	membership.handle({
		kind: 'updates', reporter: padova, members: [member('other')], now: at(0),
	});
	membership.handle({kind: 'unanswered', member: as<InstanceId>('other'), now: at(100)});
	assert.equal(statusOf('other'), 'suspect');
	for (let now = 500; now < suspicionTimeoutMs + 100; now += 500) {
		membership.handle({kind: 'tick', now: at(now)});
		assert.equal(statusOf('other'), 'suspect');
	}

	membership.handle({kind: 'tick', now: at(suspicionTimeoutMs + 100)});
	assert.equal(statusOf('other'), 'dead');
});

test('a suspected member that acknowledges a probe is alive again', () => {
	const {membership, at, statusOf} = createView();
	membership.handle({
		kind: 'updates', reporter: padova, members: [member('other', 'suspect')], now: at(0),
	});
	membership.handle({kind: 'acknowledged', member: as<InstanceId>('other'), now: at(10)});
	assert.equal(statusOf('other'), 'alive');
});

test('an instance that is suspected refutes with a higher incarnation', () => {
	const {membership, at} = createView();
	membership.handle({
		kind: 'updates', reporter: padova, members: [member('self', 'suspect', 5)], now: at(0),
	});
	assert.equal(membership.self().status, 'alive');
	assert.equal(membership.self().incarnation, 6);
	assert.ok(membership.takeUpdates().some(update => update.id === 'self' && update.incarnation === 6));
});

test('a leaving instance stays leaving when others report it alive', () => {
	const {membership, at} = createView();
	membership.handle({kind: 'leave'});
	membership.handle({
		kind: 'updates', reporter: padova, members: [member('self', 'alive', 9)], now: at(0),
	});
	assert.equal(membership.self().status, 'leaving');
	assert.equal(membership.self().incarnation, 10);
});

test('a leaving member that stops responding is dead without suspicion', () => {
	const {membership, at, statusOf} = createView();
	membership.handle({
		kind: 'updates', reporter: padova, members: [member('other', 'leaving')], now: at(0),
	});
	membership.handle({kind: 'unanswered', member: as<InstanceId>('other'), now: at(10)});
	assert.equal(statusOf('other'), 'dead');
});

test('an instance that was paused does not count its pause towards the suspicion timeout of others', () => {
	const {membership, at, statusOf} = createView();
	membership.handle({kind: 'tick', now: at(0)});
	membership.handle({
		kind: 'updates', reporter: padova, members: [member('other', 'suspect')], now: at(0),
	});
	const effects = membership.handle({kind: 'tick', now: at(pauseThresholdMs + suspicionTimeoutMs + 1)});
	assert.deepEqual(effects.map(effect => effect.kind), ['paused']);
	assert.equal(statusOf('other'), 'suspect');
});

test('a death report counts if it comes from the local data centre or that of the member, not from a third', () => {
	const {membership, at, statusOf} = createView();
	const verona = as<DataCentreId>('verona');
	const remote: Member = {...member('remote'), dataCentre: verona};
	membership.handle({
		kind: 'updates', reporter: padova, members: [member('local'), remote], now: at(0),
	});
	membership.handle({
		kind: 'updates', reporter: verona, members: [member('local', 'dead'), {...remote, status: 'dead'}], now: at(1),
	});
	assert.equal(statusOf('local'), 'alive');
	assert.equal(statusOf('remote'), 'dead');
});

test('views converge whatever the order of their updates', () => {
	const statuses: readonly MemberStatus[] = ['alive', 'suspect', 'leaving', 'dead'];
	const update = fc.record({id: fc.constantFrom('a', 'b', 'c'), status: fc.constantFrom(...statuses), incarnation: fc.integer({min: 1, max: 3})});
	fc.assert(fc.property(fc.array(update, {minLength: 1, maxLength: 12}), fc.nat(), (updates, seed) => {
		const known = ['a', 'b', 'c'].map(id => member(id, 'alive', 0));
		const members = [...known, ...updates.map(entry => member(entry.id, entry.status, entry.incarnation))];
		const random = createSeededRandom(seed);
		const shuffled = [...known, ...members.slice(3).map(entry => ({entry, rank: random.fraction()})).toSorted((left, right) => left.rank - right.rank).map(({entry}) => entry)];
		const [left, right] = [createView(), createView()];
		left.membership.handle({
			kind: 'updates', reporter: padova, members, now: left.at(0),
		});
		right.membership.handle({
			kind: 'updates', reporter: padova, members: shuffled, now: right.at(0),
		});
		assert.equal(left.membership.digest(), right.membership.digest());
	}), {seed: 11, numRuns: 500});
});

test('of two different updates exactly one supersedes the other', () => {
	const statuses: readonly MemberStatus[] = ['alive', 'suspect', 'leaving', 'dead'];
	for (const left of statuses) {
		for (const right of statuses) {
			for (const incarnation of [1, 2]) {
				const [first, second] = [member('x', left, 1), member('x', right, incarnation)];
				const isEqual = left === right && incarnation === 1;
				assert.equal(supersedes(first, second) !== supersedes(second, first), !isEqual);
			}
		}
	}
});

test('the loss of a member moves only the shards that it owned', () => {
	const members = ['a', 'b', 'c', 'd'].map(id => member(id));
	const remaining = members.filter(entry => entry.id !== 'b');
	for (let shard = 0; shard < 64; shard++) {
		const before = ownerOf(`shard/${shard}`, candidatesIn(padova, members));
		const after = ownerOf(`shard/${shard}`, candidatesIn(padova, remaining));
		assert.ok(before && after);
		assert.ok(before.id === 'b' || before.id === after.id);
	}
});

test('an instance knows the data centres reported by a peer until they expire', () => {
	const {membership, at} = createView();
	membership.handle({kind: 'known-data-centres', dataCentres: [as<DataCentreId>('verona')], now: at(0)});
	assert.deepEqual(membership.dataCentres(), ['padova', 'verona']);
	membership.handle({kind: 'tick', now: at(600_000)});
	assert.deepEqual(membership.dataCentres(), ['padova']);
});
