/**
Messages between instances about allotments. How long a message waits for its reply follows how late its receiver has been; only
a receiver that replies to nothing at all is passed over for a time.
*/
import {type Allotment} from '../../contracts/allotment.js';
import {type Clock} from '../../contracts/clock.js';
import {
	as, type Address, type ConfigurationGeneration, type Incarnation, type InstanceId, type Milliseconds,
} from '../../contracts/id.js';
import {type WorkspaceName} from '../../contracts/workspace.js';
import {type BucketLimit} from '../../machines/allotment-bucket.js';
import {
	type Coordinator, type LeaseRecord, type TenureId, type Vote, type VoteRequest,
} from '../../machines/allotment-lease.js';
import {type Member} from '../membership.js';
import {type RelayPeers} from '../relay-peers.js';
import {createReplyTimes, type ReplyBounds} from '../reply-times.js';
import {createUnresponsivePeers} from '../unresponsive-peers.js';

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

/** A decision on permits. */
export type Decision = {
	readonly kind: 'decided';
	readonly tenure: TenureId | undefined;
	/** For each request, the time after which it may be sent. */
	readonly delays: ReadonlyArray<Milliseconds | 'none'>;
	/** Time until there is a permit that nobody waits for. */
	readonly wait: Milliseconds;
	/** Time of the decision on the clock of the coordinator. Builds up to 9f974eb neither send nor read it. */
	readonly at?: Milliseconds | undefined;
};

export type AllotmentReply
	= | Decision
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
	readonly request: (to: InstanceAddress, message: AllotmentMessage, bounds: ReplyBounds) => Promise<AllotmentReply | undefined>;
	readonly post: (to: InstanceAddress, message: AllotmentMessage) => void;
	/** Whether an instance has replied to nothing for so long that it is down or cut off, rather than late. */
	readonly isSilent: (to: InstanceAddress) => boolean;
	/** Whether an instance is not asked for now, because it recently failed to answer and has replied to nothing since. */
	readonly isPassedOver: (to: InstanceAddress) => boolean;
	/** Forgets instances that are gone. */
	readonly retain: (members: readonly Member[]) => void;
};

export type AllotmentPeersOptions = {
	readonly peers: Pick<RelayPeers, 'request' | 'post' | 'repliedAt'>;
	readonly self: () => Member;
	readonly members: () => readonly Member[];
	readonly answer: (message: AllotmentMessage) => Promise<AllotmentReply>;
	readonly clock: Clock;
};

/** Adapts the messaging between instances; `answer` handles the messages that an instance sends to itself. */
export function createAllotmentPeers({peers, self, members, answer, clock}: AllotmentPeersOptions): AllotmentPeers {
	/** When the first message was sent to an address that replied to none since. */
	const unansweredSince = new Map<Address, Milliseconds>();
	const hasReplied = (address: Address) => (peers.repliedAt(address) ?? -Infinity) >= (unansweredSince.get(address) ?? -Infinity);
	/** An instance of which nothing was asked is not silent. */
	const replyTimes = createReplyTimes(address => hasReplied(address) ? clock.now() : unansweredSince.get(address), clock);
	const unresponsive = createUnresponsivePeers<InstanceId>(clock);
	const isSilent = (to: InstanceAddress) => to.id !== self().id && replyTimes.isSilent(to);

	return {
		async request(to, allotment, bounds) {
			if (to.id === self().id) {
				return answer(allotment);
			}

			const receiver = members().find(({id}) => id === to.id);
			const sentAt = clock.now();
			if (hasReplied(to.address)) {
				unansweredSince.set(to.address, sentAt);
			}

			const options = receiver ? replyTimes.next(receiver, bounds) : {timeout: bounds.minimum, attempts: bounds.attempts};
			const reply = await peers.request(to.address, {kind: 'allotment', allotment}, options);
			if (reply?.kind === 'allotment') {
				if (receiver) {
					replyTimes.recordReply(receiver, as<Milliseconds>(clock.now() - sentAt));
				}

				return reply.reply;
			}

			if (receiver) {
				replyTimes.recordTimeout(receiver);
			}

			unresponsive.add(to.id);
			return undefined;
		},
		post(to, allotment) {
			if (to.id === self().id) {
				void answer(allotment);
			} else {
				peers.post(to.address, {kind: 'allotment', allotment});
			}
		},
		isSilent,
		isPassedOver: to => unresponsive.has(to.id) && isSilent(to),
		retain(members) {
			replyTimes.retain(members);
			const addresses = new Set(members.map(({address}) => address));
			for (const address of unansweredSince.keys()) {
				if (!addresses.has(address)) {
					unansweredSince.delete(address);
				}
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
