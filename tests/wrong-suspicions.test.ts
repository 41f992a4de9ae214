/**
Instances with too little processor time reply late. Their peers neither take them for dead nor send them everything again.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {err, ok} from 'neverthrow';
import {failure} from '../src/contracts/failure.js';
import {
	as, type Address, type AttemptId, type ConfigurationGeneration, type CounterId, type DataCentreId, type Incarnation, type InstanceId, type Milliseconds, type ProgramId,
	type Tokens,
} from '../src/contracts/id.js';
import {createTokenLedger} from '../src/contracts/token-ledger.js';
import {createBudgetReplication} from '../src/zones/budget-replication.js';
import {createGossipProtocol} from '../src/zones/gossip-protocol.js';
import {processOf} from '../src/zones/member-identity.js';
import {createMembership, type Member} from '../src/zones/membership.js';
import {createOwnerRanks} from '../src/zones/owner-ranks.js';
import {createReplyTimes} from '../src/zones/reply-times.js';
import {createUnresponsivePeers} from '../src/zones/unresponsive-peers.js';
import {createFakeClock, createSeededRandom} from './fixtures/fake-clock.js';

const dataCentre = as<DataCentreId>('a');
const programCount = 40;

function memberNamed(id: string): Member {
	return {
		id: as<InstanceId>(id), dataCentre, address: as<Address>(id), incarnation: as<Incarnation>(1000), startedAs: as<Incarnation>(1000), status: 'alive',
	};
}

function createScene() {
	const clock = createFakeClock();
	const ledger = createTokenLedger(as<CounterId>('a1@1000'), dataCentre);
	const members = new Map(['a1', 'a2', 'a3'].map(id => [id, memberNamed(id)]));
	const self = memberNamed('a1');
	let sent = 0;
	const replication = createBudgetReplication({
		self: () => self,
		members: () => [...members.values()],
		dataCentres: () => [dataCentre],
		unresponsive: createUnresponsivePeers(clock),
		replyTimes: createReplyTimes(() => undefined, clock),
		peers: {
			async request(_address, message) {
				sent += message.kind === 'accounts' ? message.accounts.length : 0;
				return {kind: 'done'};
			},
			post: () => undefined,
		},
		ranks: createOwnerRanks(),
		receive: () => undefined,
		ledger,
		clock,
		onEvent: () => undefined,
	});
	for (let index = 0; index < programCount; index++) {
		const program = as<ProgramId>(`program-${index}`);
		ledger.claim({
			program, attempt: as<AttemptId>(`attempt-${index}`), budget: as<Tokens>(1000), most: as<Tokens>(100), retention: as<Milliseconds>(60_000),
		}, dataCentre, clock.now());
		replication.markDirty(program);
	}

	/** Applies a change of a2 and returns the number of accounts that are sent because of it. */
	async function change(parts: Partial<Member>): Promise<number> {
		const before = sent;
		members.set('a2', {...memberNamed('a2'), ...parts});
		replication.rebalance();
		await clock.advance(500);
		return sent - before;
	}

	return {clock, change, sent: () => sent};
}

test('a member that was wrongly suspected is not sent the accounts again', async () => {
	const {clock, change, sent} = createScene();
	await clock.advance(500);
	assert.equal(sent(), 2 * programCount);
	assert.equal(await change({}), 0);
	assert.equal(await change({status: 'suspect'}), 0);
	assert.equal(await change({incarnation: as<Incarnation>(1001)}), 0);
	assert.equal(await change({incarnation: as<Incarnation>(1001), status: 'dead'}), 0);
	assert.equal(await change({incarnation: as<Incarnation>(1002)}), 0);
});

test('a member that has started again is sent the accounts, also when its clock went back', async () => {
	const {clock, change} = createScene();
	await clock.advance(500);
	assert.equal(await change({}), 0);
	assert.equal(await change({incarnation: as<Incarnation>(5000), startedAs: as<Incarnation>(5000)}), programCount);
	assert.equal(await change({incarnation: as<Incarnation>(5001), startedAs: as<Incarnation>(900)}), programCount);
});

test('a process that starts with an earlier clock replaces the one before it in the view of its peers', () => {
	const random = createSeededRandom(1);
	const observer = createMembership({
		id: as<InstanceId>('a1'), dataCentre, address: as<Address>('a1'), incarnation: as<Incarnation>(1000),
	}, random);
	const own = {id: as<InstanceId>('a2'), dataCentre, address: as<Address>('a2')};
	const earlier = createMembership({...own, incarnation: as<Incarnation>(5000)}, random);
	const later = createMembership({...own, incarnation: as<Incarnation>(900)}, random);
	const now = as<Milliseconds>(0);
	observer.handle({
		kind: 'updates', reporter: dataCentre, members: [earlier.self()], now,
	});
	later.handle({
		kind: 'updates', reporter: dataCentre, members: observer.members(), now,
	});
	observer.handle({
		kind: 'updates', reporter: dataCentre, members: [later.self()], now,
	});
	assert.deepEqual(observer.members().filter(({id}) => id === own.id).map(member => processOf(member)), ['a2@900']);
});

const probeLimitMs = 500;

/** Lets an instance probe a peer that does not reply in time. Returns what it then takes the peer for. */
async function probeSilentPeer({replyAt, probeTook}: {readonly replyAt: number | undefined; readonly probeTook: number}): Promise<string | undefined> {
	const clock = createFakeClock();
	const membership = createMembership({
		id: as<InstanceId>('a1'), dataCentre, address: as<Address>('a1'), incarnation: as<Incarnation>(1000),
	}, createSeededRandom(1));
	const peer = memberNamed('a2');
	membership.handle({
		kind: 'updates', reporter: dataCentre, members: [peer], now: clock.now(),
	});
	const stopped = new AbortController();
	const protocol = createGossipProtocol({
		membership,
		peers: {
			async gossip() {
				await clock.sleep(as<Milliseconds>(probeTook));
				return err(failure('peer-unreachable', 'no reply', {step: 'forward', peer: peer.id}));
			},
			members: async () => ok([]),
		},
		clock,
		seeds: [],
		generation: () => as<ConfigurationGeneration>(1),
		onMember: () => undefined,
		onPause: () => undefined,
		onEndpointUpdate: () => undefined,
		onCrash: () => undefined,
		nextPoolLatencies: () => [],
		onPoolLatency: () => undefined,
		evidence: {probeLimit: as<Milliseconds>(probeLimitMs), repliedAt: () => replyAt === undefined ? undefined : as<Milliseconds>(replyAt)},
		onNewerConfiguration: () => undefined,
	});
	void protocol.run(stopped.signal);
	await clock.advance(probeTook + 10);
	stopped.abort();
	return membership.members().find(({id}) => id === peer.id)?.status;
}

test('a peer that replies to nothing is suspected', async () => {
	assert.equal(await probeSilentPeer({replyAt: undefined, probeTook: probeLimitMs}), 'suspect');
	assert.equal(await probeSilentPeer({replyAt: -1, probeTook: probeLimitMs}), 'suspect');
});

test('a peer whose reply to another request arrives during the probe is not suspected', async () => {
	assert.equal(await probeSilentPeer({replyAt: 300, probeTook: probeLimitMs}), 'alive');
});

test('an instance that is itself late does not suspect a peer', async () => {
	assert.equal(await probeSilentPeer({replyAt: undefined, probeTook: 2 * probeLimitMs}), 'alive');
});
