/**
Messages between instances about allotments.
*/
import {type Allotment} from '../../contracts/allotment.js';
import {
	as, type Address, type ConfigurationGeneration, type Incarnation, type InstanceId, type Milliseconds,
} from '../../contracts/id.js';
import {type WorkspaceName} from '../../contracts/workspace.js';
import {type BucketLimit} from '../../machines/allotment-bucket.js';
import {
	type Coordinator, type LeaseRecord, type TenureId, type Vote, type VoteRequest,
} from '../../machines/allotment-lease.js';
import {type MessageOptions, type RelayPeers} from '../relay-peers.js';

/** An allotment, and the generation of the configuration that states it. */
export type KnownAllotment = {readonly generation: ConfigurationGeneration; readonly allotment: Allotment};

/** An instance asks for permits. It may send the same ask several times, which counts once. */
export type PermitAsk = {
	readonly workspace: WorkspaceName;
	readonly known: KnownAllotment;
	readonly asker: {readonly id: InstanceId; readonly startedAt: Incarnation};
	/** Higher for each further ask of the asker. */
	readonly number: number;
	/** For each request that needs a permit, the time for which it waits. */
	readonly patience: readonly number[];
	/** Permits that were not used, and the tenure that granted them. */
	readonly returned?: {readonly tenure: TenureId; readonly count: number} | undefined;
};

/** A lease record as sent to another instance, with durations in place of times. */
export type RelativeRecord = Pick<LeaseRecord, 'holder' | 'round'> & {readonly remaining: Milliseconds; readonly undisputed: Milliseconds};

export type AllotmentMessage
	/** `isFirstUnreachable` says that the instances before this one in the order did not answer the asker. */
	= | {readonly kind: 'ask'; readonly ask: PermitAsk; readonly isFirstUnreachable: boolean; readonly isForwarded: boolean}
	/** Asks the delegate of the own data centre for permits from the slack. */
		| ({readonly kind: 'ask-slack'} & Pick<PermitAsk, 'workspace' | 'known' | 'patience'>)
		| {readonly kind: 'vote'; readonly workspace: WorkspaceName; readonly vote: VoteRequest}
		| {readonly kind: 'withdraw'; readonly workspace: WorkspaceName; readonly tenure: TenureId; readonly round: number}
	/** An instance that has been the delegate for `age` asks the one before it for its record, which votes no more. */
		| {readonly kind: 'inherit'; readonly workspace: WorkspaceName; readonly to: InstanceAddress; readonly age: Milliseconds}
	/** Asks an instance to acknowledge a vote of the sender, unless it knows of another. */
		| {readonly kind: 'witness'; readonly workspace: WorkspaceName; readonly record: RelativeRecord; readonly predecessor: TenureId | undefined}
	/** Asks the holder of a lease for its bucket. */
		| {readonly kind: 'yield'; readonly workspace: WorkspaceName; readonly to: Coordinator}
	/** An instance that leaves hands its bucket to its successor. */
		| {readonly kind: 'hand-over'; readonly workspace: WorkspaceName; readonly handed: HandedBucket};

/** A bucket as its last tenure left it. */
export type HandedBucket = {readonly limit: BucketLimit; readonly from: TenureId; readonly level: number};

export type InstanceAddress = {readonly id: InstanceId; readonly address: Address};

export type AllotmentReply
	/** For each request, the time after which it may be sent; `wait` is the time until there is a permit that nobody waits for. */
	= | {readonly kind: 'decided'; readonly tenure: TenureId | undefined; readonly delays: ReadonlyArray<Milliseconds | 'none'>; readonly wait: Milliseconds}
	/** No coordinator is known to the instance; one may be after `wait`. */
		| {readonly kind: 'no-coordinator'; readonly wait: Milliseconds}
		| {readonly kind: 'voted'; readonly vote: Vote}
		| {readonly kind: 'other-delegate'; readonly delegate: InstanceAddress | undefined}
		| {readonly kind: 'record'; readonly record: RelativeRecord | undefined}
	/** The bucket with its level, and the time for which the lease that goes with it is still valid. */
		| {readonly kind: 'yielded'; readonly tenure: TenureId; readonly level: number; readonly remaining: Milliseconds}
	/** The instance keeps the lease that it holds. */
		| {readonly kind: 'kept'}
	/** The instance has no bucket. */
		| {readonly kind: 'no-bucket'}
		| {readonly kind: 'done'};

export type AllotmentPeers = {
	/** Resolves to undefined when no attempt was answered. */
	readonly request: (to: InstanceAddress, message: AllotmentMessage, options: MessageOptions) => Promise<AllotmentReply | undefined>;
	readonly post: (to: InstanceAddress, message: AllotmentMessage) => void;
};

/** Adapts the messaging between instances; `answer` handles the messages that an instance sends to itself. */
export function createAllotmentPeers(peers: Pick<RelayPeers, 'request' | 'post'>, self: () => InstanceAddress, answer: (message: AllotmentMessage) => Promise<AllotmentReply>): AllotmentPeers {
	return {
		async request(to, allotment, options) {
			if (to.id === self().id) {
				return answer(allotment);
			}

			const reply = await peers.request(to.address, {kind: 'allotment', allotment}, options);
			return reply?.kind === 'allotment' ? reply.reply : undefined;
		},
		post(to, allotment) {
			if (to.id === self().id) {
				void answer(allotment);
			} else {
				peers.post(to.address, {kind: 'allotment', allotment});
			}
		},
	};
}

export function fromRelativeRecord({holder, round, remaining, undisputed}: RelativeRecord, now: Milliseconds): LeaseRecord {
	return {
		holder, round, until: as<Milliseconds>(now + remaining), othersUntil: as<Milliseconds>(now - undisputed),
	};
}

export function toRelativeRecord({holder, round, until, othersUntil}: LeaseRecord, now: Milliseconds): RelativeRecord {
	return {
		holder, round, remaining: as<Milliseconds>(Math.max(0, until - now)), undisputed: as<Milliseconds>(now - othersUntil),
	};
}
