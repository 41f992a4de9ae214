/**
The data centre of this instance: the shards that the instance owns there, how it claims and
relinquishes them, and which peers hold replicas of their records.
*/
import {err, ok, type Result} from 'neverthrow';
import {type Clock, type Random} from '../contracts/clock.js';
import {type Failure, failure} from '../contracts/failure.js';
import {
	as, type DataCentreId, type EndpointId, type FencingNumber, type Home, type Incarnation, type InstanceId,
	type Milliseconds, type Nonce, type ProgramId, type ShardNumber, shardsPerDataCentre,
} from '../contracts/id.js';
import {type Platform} from '../contracts/platform.js';
import {type JournalRecord} from '../contracts/record.js';
import {type Executor} from './executor.js';
import {createReplicaStore} from './replica-store.js';
import {createJournal, type PeerReplicas} from './journal.js';
import {type Member, type Membership} from './membership.js';
import {candidatesIn, ownerOf, shardKey} from './ownership.js';
import {withTimeout} from './with-timeout.js';
import {type Peers, type ShardReply, type ShardRequest} from './peers.js';
import {createShard, type Shard} from './shard.js';

/** Time for the previous owner to finish its calls before the next owner claims the shard. */
export const relinquishTimeoutMs = 25_000;

/** Maximum time for which a call waits for its shard to be opened before it is refused. */
const openTimeoutMs = 5000;

const replicaTimeoutMs = 1000;
const sweepIntervalMs = 1000;

export type DataCentre = {
	readonly id: DataCentreId;
	/** The member that should own the shard according to this instance's view. */
	readonly owner: (home: Home) => Member | undefined;
	/** The shard, opened by this instance. Fails with `not-owner` or `platform-unavailable`, in which case nothing has run. */
	readonly shard: (home: Home) => Promise<Result<Shard, Failure>>;
	readonly answer: (request: ShardRequest) => Promise<ShardReply>;
	readonly owned: () => readonly Shard[];
	readonly heldBytes: () => number;
	/** A home for a new program in this data centre, on a shard of this instance if it owns one. */
	readonly newHome: () => Home;
	/** Ends expired programs and deletes those past their retention until the signal aborts. */
	readonly run: (signal: AbortSignal) => Promise<void>;
	/** Finishes all calls and relinquishes every shard. */
	readonly leave: () => Promise<void>;
	/** Verifies which shards are still owned; called after a pause of the process. */
	readonly verifyOwnership: () => void;
	/** Claims the shards that this instance should own and has not claimed yet. */
	readonly claimShards: () => void;
};

export type DataCentreOptions = {
	readonly id: DataCentreId;
	readonly instance: InstanceId;
	readonly incarnation: Incarnation;
	readonly membership: Membership;
	/** Whether this instance has joined; until then it owns nothing. */
	readonly isJoined: () => boolean;
	readonly peers: Peers;
	readonly platform: Platform;
	readonly executor: Executor;
	readonly clock: Clock;
	readonly random: Random;
	readonly commitWindow: Milliseconds;
	readonly release: (program: ProgramId, holders: readonly EndpointId[]) => void;
	readonly onShard: (event: {readonly kind: 'opened' | 'lost' | 'relinquished'; readonly home: Home; readonly programs: number}) => void;
};

type Ownership = {
	readonly controller: AbortController;
	readonly opening: Promise<Result<Shard, Failure>>;
	shard: Shard | undefined;
};

/** Creates the data centre with no shard owned. */
export function createDataCentre(options: DataCentreOptions): DataCentre {
	const {membership, peers, clock, random} = options;
	const ownerships = new Map<string, Ownership>();
	const replicaStore = createReplicaStore();
	let isLeaving = false;

	function owner(home: Home): Member | undefined {
		return ownerOf(shardKey(home), candidatesIn(home.dataCentre, membership.members()));
	}

	function isCandidate(): boolean {
		return options.isJoined() && !isLeaving;
	}

	/** Other members of this data centre that are not dead, including leaving ones. */
	function localPeers(): readonly Member[] {
		const self = membership.self();
		return membership.members().filter(member => member.dataCentre === options.id && member.id !== self.id && member.status !== 'dead');
	}

	async function requestFromPeers(request: ShardRequest, timeoutMs: number): Promise<readonly ShardReply[]> {
		return Promise.all(localPeers().map(async peer => peers.shard(peer, request, as<Milliseconds>(timeoutMs))));
	}

	async function holdAtPeer(home: Home, epoch: FencingNumber, records: readonly JournalRecord[]): Promise<Result<void, Failure>> {
		for (const peer of localPeers()) {
			const reply = await peers.shard(peer, {
				kind: 'hold', home, epoch, records,
			}, as<Milliseconds>(replicaTimeoutMs));
			if (reply.kind === 'done') {
				return ok();
			}
		}

		return err(failure('platform-unavailable', `No peer could hold replicas of ${records.length} records of shard ${home.dataCentre}/${home.shard}`, {step: 'commit', peer: shardKey(home)}));
	}

	const peerReplicas: PeerReplicas = {
		hold: holdAtPeer,
		async collect(home) {
			const replies = await requestFromPeers({kind: 'collect', home}, replicaTimeoutMs);
			const records = replies.flatMap(reply => reply.kind === 'records' ? reply.records : []);
			return [...replicaStore.collect(home), ...records];
		},
		release(home) {
			replicaStore.release(home);
			void requestFromPeers({kind: 'release', home}, replicaTimeoutMs);
		},
	};

	async function openShard(home: Home, controller: AbortController): Promise<Result<Shard, Failure>> {
		await requestFromPeers({kind: 'relinquish', home}, relinquishTimeoutMs);
		const journal = createJournal({
			home,
			instance: options.instance,
			incarnation: options.incarnation,
			platform: options.platform,
			peerReplicas,
			clock,
			nextNonce: () => as<Nonce>(random.unique()),
			commitWindow: options.commitWindow,
			signal: controller.signal,
		});
		const programs = await journal.open();
		void journal.deposed.then(() => {
			dropOwnership(home, controller, 'lost');
		});
		return programs.map(opened => {
			options.onShard({kind: 'opened', home, programs: opened.size});
			return createShard({
				home,
				programs: opened,
				journal,
				executor: options.executor,
				clock,
				random,
				signal: controller.signal,
				release: options.release,
			});
		});
	}

	function dropOwnership(home: Home, controller: AbortController, kind: 'lost' | 'relinquished'): void {
		const ownership = ownerships.get(shardKey(home));
		if (ownership?.controller === controller) {
			ownerships.delete(shardKey(home));
			options.onShard({kind, home, programs: ownership.shard?.programs() ?? 0});
			controller.abort(new Error(`The shard was ${kind}`));
		}
	}

	function claim(home: Home): Ownership {
		const existing = ownerships.get(shardKey(home));
		if (existing) {
			return existing;
		}

		const controller = new AbortController();
		const opening = openShard(home, controller);
		const ownership: Ownership = {controller, opening, shard: undefined};
		ownerships.set(shardKey(home), ownership);
		void opening.then(result => {
			if (result.isOk()) {
				ownership.shard = result.value;
			} else {
				dropOwnership(home, controller, 'lost');
			}
		});
		return ownership;
	}

	async function shard(home: Home): Promise<Result<Shard, Failure>> {
		const isOwner = isCandidate() && owner(home)?.id === options.instance;
		const ownership = ownerships.get(shardKey(home));
		if (!isOwner && !ownership?.shard) {
			return err(failure('not-owner', `Shard ${shardKey(home)} is owned by another instance`, {step: 'admit', peer: options.instance}));
		}

		const opened = await withTimeout(clock, openTimeoutMs, claim(home).opening);
		return opened ?? err(failure('platform-unavailable', `Shard ${shardKey(home)} could not be opened within ${openTimeoutMs} ms`, {
			step: 'recover', peer: 'platform', retryAfter: as<Milliseconds>(openTimeoutMs),
		}));
	}

	async function relinquish(home: Home): Promise<void> {
		const ownership = ownerships.get(shardKey(home));
		if (ownership?.shard) {
			await ownership.shard.drain();
			dropOwnership(home, ownership.controller, 'relinquished');
		}
	}

	async function answer(request: ShardRequest): Promise<ShardReply> {
		switch (request.kind) {
			case 'hold': {
				const held = replicaStore.hold(request.home, request.epoch, request.records);
				return held.match<ShardReply>(() => ({kind: 'done'}), reason => ({kind: 'failed', failure: reason}));
			}

			case 'collect': {
				return {kind: 'records', records: replicaStore.collect(request.home)};
			}

			case 'release': {
				replicaStore.release(request.home);
				return {kind: 'done'};
			}

			case 'relinquish': {
				await relinquish(request.home);
				return {kind: 'done'};
			}

			case 'living': {
				const opened = await shard(request.home);
				return opened.match<ShardReply>(
					found => ({kind: 'living', programs: found.living(request.programs)}),
					reason => ({kind: 'failed', failure: reason}),
				);
			}
		}
	}

	function claimShards(): void {
		for (const home of homes()) {
			if (isCandidate() && owner(home)?.id === options.instance && !ownerships.has(shardKey(home))) {
				claim(home);
			}
		}
	}

	function homes(): readonly Home[] {
		return Array.from({length: shardsPerDataCentre}, (_, index) => ({dataCentre: options.id, shard: as<ShardNumber>(index)}));
	}

	async function run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			for (const ownership of ownerships.values()) {
				ownership.shard?.sweep();
			}

			await clock.sleep(as<Milliseconds>(sweepIntervalMs), signal);
		}
	}

	async function leave(): Promise<void> {
		isLeaving = true;
		await Promise.all([...ownerships.values()].map(async ({shard: owned}) => owned && relinquish(owned.home)));
	}

	return {
		id: options.id,
		owner,
		shard,
		answer,
		owned: () => [...ownerships.values()].flatMap(ownership => ownership.shard ?? []),
		heldBytes: () => replicaStore.bytes(),
		newHome() {
			const owned = homes().filter(home => owner(home)?.id === options.instance);
			const choices = owned.length > 0 ? owned : homes();
			return choices[Math.floor(random.fraction() * choices.length)] ?? {dataCentre: options.id, shard: as<ShardNumber>(0)};
		},
		run,
		leave,
		verifyOwnership() {
			for (const ownership of ownerships.values()) {
				ownership.shard?.journal.verifyOwnership();
			}
		},
		claimShards,
	};
}
