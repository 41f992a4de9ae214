/**
A data centre that is cut off is taken for dead member by member, and returns in the same way. What an instance does about the accounts of
programs then must not grow with the number of members: with little processor time it would reply to nobody for seconds.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	as, type Address, type AttemptId, type CounterId, type DataCentreId, type Incarnation, type InstanceId, type Milliseconds, type ProgramId,
	type Tokens,
} from '../src/contracts/id.js';
import {withStoreSlotOnly} from '../src/contracts/token-account.js';
import {createTokenLedger} from '../src/contracts/token-ledger.js';
import {createBudgetReplication} from '../src/zones/budget-replication.js';
import {type Member, type MemberStatus} from '../src/zones/membership.js';
import {createOwnerRanks} from '../src/zones/owner-ranks.js';
import {createReplyTimes} from '../src/zones/reply-times.js';
import {createUnresponsivePeers} from '../src/zones/unresponsive-peers.js';
import {createFakeClock} from './fixtures/fake-clock.js';
import {knownRed} from './fixtures/known-red.js';

const dataCentres = ['a', 'b', 'c', 'd', 'e'];
const membersPerDataCentre = 20;
const lostDataCentre = 'e';
const own = as<DataCentreId>('a');

/** Time between two members of which an instance hears that they are dead. */
const changeIntervalMs = 20;

/** Time after which everything that a change starts is over. */
const settleMs = 3000;

/** Programs whose accounts the instance holds, and those of its data centre of which it knows no more than that. */
const heldCount = 30;
const knownCount = 200;

/** Passes over the programs that the loss of a whole data centre may cost, in work of the loss of one of its members. */
const maximumPasses = 4;

/** Creates the replication of one instance, and counts how often the rank of a member for a program is computed. */
function createScene() {
	const clock = createFakeClock();
	const ledger = createTokenLedger(as<CounterId>('a0@1'), own);
	let ranked = 0;
	const ids = dataCentres.flatMap(dataCentre => Array.from({length: membersPerDataCentre}, (_, index) => `${dataCentre}${index}`));
	const memberNamed = (id: string, status: MemberStatus): Member => ({
		get id() {
			ranked++;
			return as<InstanceId>(id);
		},
		dataCentre: as<DataCentreId>(id.slice(0, 1)),
		address: as<Address>(id),
		incarnation: as<Incarnation>(1),
		startedAs: as<Incarnation>(1),
		status,
	});
	const members = new Map(ids.map(id => [id, memberNamed(id, 'alive')]));
	const self = memberNamed('a0', 'alive');
	const replication = createBudgetReplication({
		self: () => self,
		members: () => [...members.values()],
		dataCentres: () => dataCentres.map(dataCentre => as<DataCentreId>(dataCentre)),
		unresponsive: createUnresponsivePeers(clock),
		replyTimes: createReplyTimes(() => clock.now(), clock),
		peers: {
			async request(address) {
				return members.get(address)?.status === 'dead' ? undefined : {kind: 'done'};
			},
			post: () => undefined,
		},
		ranks: createOwnerRanks(),
		receive: () => undefined,
		ledger,
		clock,
		onEvent: () => undefined,
	});

	function claim(program: string, holder: typeof ledger): void {
		holder.claim({
			program: as<ProgramId>(program), attempt: as<AttemptId>(`${program}-1`), budget: as<Tokens>(1000), most: as<Tokens>(100), retention: as<Milliseconds>(60_000),
		}, own, clock.now());
	}

	/** Adds programs whose accounts the instance holds. */
	function hold(count: number): void {
		for (let index = 0; index < count; index++) {
			claim(`held-${index}`, ledger);
			replication.markDirty(as<ProgramId>(`held-${index}`));
		}
	}

	/** Adds programs that a neighbour has announced. */
	function learn(count: number): void {
		const neighbour = createTokenLedger(as<CounterId>('a1@1'), own);
		for (let index = 0; index < count; index++) {
			claim(`known-${index}`, neighbour);
		}

		for (const account of neighbour.accounts()) {
			ledger.merge(withStoreSlotOnly(account), clock.now());
		}
	}

	/** Returns how many ranks were computed because members changed their status, one after the other. */
	async function change(changed: readonly string[], status: MemberStatus): Promise<number> {
		const before = ranked;
		for (const id of changed) {
			members.set(id, memberNamed(id, status));
			replication.rebalance();
			await clock.advance(changeIntervalMs);
		}

		await clock.advance(settleMs);
		return ranked - before;
	}

	return {
		hold, learn, change, settle: async () => clock.advance(settleMs), membersOf: (dataCentre: string) => ids.filter(id => id.startsWith(dataCentre)),
	};
}

const lossOfDataCentre = 'the loss and the return of a data centre cost a few passes over the accounts, however many members it has';

test(lossOfDataCentre, knownRed(lossOfDataCentre), async () => {
	const {hold, change, settle, membersOf} = createScene();
	hold(heldCount);
	await settle();
	const [first = '', ...others] = membersOf(lostDataCentre);
	const one = await change([first], 'dead');
	const all = await change(others, 'dead');
	const back = await change([first, ...others], 'alive');
	assert.ok(all <= maximumPasses * one, `${all} ranks computed for ${others.length} losses, ${one} for one`);
	assert.ok(back <= maximumPasses * one, `${back} ranks computed for ${others.length + 1} returns, ${one} for one loss`);
});

const knownOnly = 'an instance does nothing about programs of which it only knows the home when members change';

test(knownOnly, knownRed(knownOnly), async () => {
	const {learn, change, settle, membersOf} = createScene();
	await settle();
	const before = await change(membersOf('e').slice(0, 1), 'dead');
	learn(knownCount);
	await settle();
	const after = await change(membersOf('e').slice(1, 2), 'dead');
	assert.ok(after <= 2 * before, `${after} ranks computed with ${knownCount} programs, ${before} without any`);
});
