/**
Delegate of a data centre for a workspace's allotment: the first of its instances in the order of the workspace. It votes
on the lease for its data centre, and grants the data centre's share of the slack to instances that find no coordinator.

Where the delegate's vote alone is a majority, a neighbour has to acknowledge it: an instance that is cut off from its
neighbours, or stood still, does not know that another is the delegate.

A delegate that is new asks the one before it for its record; if that one does not answer, it votes only once the votes
of that one have expired. The share of the slack is further divided by which part of the data centre is live as the
delegate sees it, so that instances that are cut off from each other do not all grant the whole share.
*/
import {
	type Allotment, type AllotmentBounds, grantableSlack, type LimitedAllotment,
} from '../../contracts/allotment.js';
import {type Clock} from '../../contracts/clock.js';
import {
	as, type DataCentreId, type Milliseconds,
} from '../../contracts/id.js';
import {type RequestsPerSecond} from '../../contracts/rate-limit.js';
import {type WorkspaceName} from '../../contracts/workspace.js';
import {type AllotmentBucket, type BucketLimit, createAllotmentBucket} from '../../machines/allotment-bucket.js';
import {
	decideVote, emptyRecord, type LeaseRecord, leaseMs, type TenureId, type VoteRequest, withdrawVote,
} from '../../machines/allotment-lease.js';
import {type Member} from '../membership.js';
import {type ReplyBounds} from '../reply-times.js';
import {type CoordinatorOrder} from './coordinator-order.js';
import {
	type AllotmentPeers, type AllotmentReply, fromRelativeRecord, type InstanceAddress, type RelativeRecord, toRelativeRecord,
} from './messages.js';

/** Fraction of its share that a data centre may grant at once; the rest of a window's share accrues during the window. */
const burstFraction = 0.7;

/** Limits of a request for the record of the delegate before. */
const inheritBounds: ReplyBounds = {
	minimum: as<Milliseconds>(25), maximum: as<Milliseconds>(200), attempts: 1, lateAttempts: 1,
};

/** Limits of a request to acknowledge a vote, and the number of neighbours that are asked. */
const witnessBounds: ReplyBounds = {
	minimum: as<Milliseconds>(20), maximum: as<Milliseconds>(200), attempts: 1, lateAttempts: 1,
};
const maximumWitnesses = 2;

/** Time for which an instance names the delegate that inherited its record: its own view shows the new one by then. */
const passedOnMs = 3000;

type Kept = {readonly record: LeaseRecord; readonly since: Milliseconds};

export type DelegateOptions = {
	readonly self: () => Member;
	readonly dataCentres: () => readonly DataCentreId[];
	readonly order: CoordinatorOrder;
	readonly peers: AllotmentPeers;
	readonly bounds: AllotmentBounds;
	readonly clock: Clock;
};

export type Delegate = {
	readonly vote: (workspace: WorkspaceName, request: VoteRequest) => Promise<AllotmentReply>;
	readonly withdraw: (workspace: WorkspaceName, tenure: TenureId, round: number) => void;
	/** Acknowledges a vote of a neighbour, unless this instance knows of a valid vote for another. */
	readonly witness: (workspace: WorkspaceName, record: RelativeRecord, predecessor: TenureId | undefined) => AllotmentReply;
	/** Gives the record to the instance that is the delegate from now on. */
	readonly passOn: (workspace: WorkspaceName, to: InstanceAddress, age: Milliseconds) => AllotmentReply;
	/** Grants permits from the slack. */
	readonly grantSlack: (workspace: WorkspaceName, allotment: Allotment, patience: readonly number[]) => AllotmentReply;
	readonly prune: (isKnown: (workspace: WorkspaceName) => boolean) => void;
};

/** Creates the part of an instance as a delegate. */
export function createDelegate(options: DelegateOptions): Delegate {
	const {self, order, peers, clock} = options;
	const records = new Map<WorkspaceName, Kept>();
	const inheriting = new Map<WorkspaceName, Promise<void>>();
	const passedOn = new Map<WorkspaceName, {readonly to: InstanceAddress; readonly until: number}>();
	const witnessed = new Map<WorkspaceName, LeaseRecord>();
	const slack = new Map<WorkspaceName, {readonly bucket: AllotmentBucket; readonly since: Milliseconds}>();

	/**
	The time since which this instance is the delegate, or else the instance to ask instead. One that leaves is the delegate until
	another has inherited its record.
	*/
	function standing(workspace: WorkspaceName): {readonly since: Milliseconds} | {readonly other: InstanceAddress | undefined} {
		const passed = passedOn.get(workspace);
		if (passed && passed.until > clock.now()) {
			return {other: passed.to};
		}

		const since = order.delegateSince(workspace);
		return since === undefined ? {other: order.delegateOf(self().dataCentre, workspace)} : {since};
	}

	/** The record, unless another instance has been the delegate since it was written. */
	function recordOf(workspace: WorkspaceName, since: Milliseconds): LeaseRecord {
		const kept = records.get(workspace);
		return kept && kept.since >= since ? kept.record : emptyRecord(since);
	}

	async function inherit(workspace: WorkspaceName, since: Milliseconds): Promise<void> {
		const previous = order.precedingDelegate(workspace);
		const {id, address} = self();
		const reply = previous && await peers.request(previous, {
			kind: 'inherit', workspace, to: {id, address}, age: as<Milliseconds>(clock.now() - since),
		}, inheritBounds);
		const now = clock.now();
		if (reply?.kind === 'record' && reply.record && !isRecorded(workspace, since)) {
			records.set(workspace, {since, record: fromRelativeRecord(reply.record, now)});
		}
	}

	function isRecorded(workspace: WorkspaceName, since: Milliseconds): boolean {
		return (records.get(workspace)?.since ?? -Infinity) >= since;
	}

	/** Inherits the record if votes of the delegate before may still be valid. */
	async function prepare(workspace: WorkspaceName, since: Milliseconds): Promise<void> {
		if (isRecorded(workspace, since) || clock.now() >= since + leaseMs) {
			return;
		}

		const running = inheriting.get(workspace) ?? inherit(workspace, since);
		inheriting.set(workspace, running);
		await running;
		inheriting.delete(workspace);
	}

	/** Whether a neighbour has acknowledged the vote, or none has to. Adopts the record of one that knows of another vote. */
	async function isWitnessed(workspace: WorkspaceName, {record, since}: Kept, predecessor: TenureId | undefined): Promise<boolean> {
		const weights = order.weights(workspace);
		const total = [...weights.values()].reduce((sum, weight) => sum + weight, 0);
		const {isKnown, live} = order.neighbours(workspace);
		if (!isKnown || (weights.get(self().dataCentre) ?? 0) <= total / 2) {
			return true;
		}

		for (const neighbour of live.filter(other => !peers.isPassedOver(other)).slice(0, maximumWitnesses)) {
			const reply = await peers.request(neighbour, {
				kind: 'witness', workspace, record: toRelativeRecord(record, clock.now()), predecessor,
			}, witnessBounds);
			if (reply?.kind === 'done') {
				return true;
			}

			if (reply?.kind === 'record' && reply.record) {
				records.set(workspace, {record: fromRelativeRecord(reply.record, clock.now()), since});
				return false;
			}
		}

		return false;
	}

	/** Limit of the bucket from which the delegate grants its share of the slack. */
	function slackLimit(allotment: LimitedAllotment): BucketLimit {
		const {bounds} = options;
		const share = grantableSlack(allotment, bounds) * order.liveFraction() / options.dataCentres().length;
		return {
			capacity: Math.max(1, share * burstFraction),
			rate: as<RequestsPerSecond>(share * (1 - burstFraction) * 1000 / bounds.window),
		};
	}

	return {
		async vote(workspace, request) {
			const own = standing(workspace);
			if ('other' in own) {
				return {kind: 'other-delegate', delegate: own.other && {id: own.other.id, address: own.other.address}};
			}

			const {since} = own;
			await prepare(workspace, since);
			const {record, vote} = decideVote(recordOf(workspace, since), request, clock.now());
			const kept = {record, since};
			records.set(workspace, kept);
			if (vote.kind === 'granted' && !await isWitnessed(workspace, kept, request.predecessor)) {
				return {kind: 'voted', vote: {kind: 'refused', holder: undefined, remaining: as<Milliseconds>(0)}};
			}

			return {kind: 'voted', vote};
		},
		withdraw(workspace, tenure, round) {
			const kept = records.get(workspace);
			if (kept) {
				records.set(workspace, {...kept, record: withdrawVote(kept.record, tenure, round, clock.now())});
			}
		},
		witness(workspace, proposed, predecessor) {
			const now = clock.now();
			const record = fromRelativeRecord(proposed, now);
			for (const known of [records.get(workspace)?.record, witnessed.get(workspace)]) {
				const isOther = known?.holder !== undefined && known.holder.tenure !== record.holder?.tenure && known.holder.tenure !== predecessor;
				if (known && isOther && known.until > now) {
					return {kind: 'record', record: toRelativeRecord(known, now)};
				}
			}

			witnessed.set(workspace, record);
			return {kind: 'done'};
		},
		passOn(workspace, to, age) {
			const now = clock.now();
			const since = order.delegateSince(workspace, {id: to.id, at: as<Milliseconds>(now - age)});
			const isRemembered = since !== undefined && (isRecorded(workspace, since) || now >= since + leaseMs);
			const record = isRemembered ? toRelativeRecord(recordOf(workspace, since), now) : undefined;
			passedOn.set(workspace, {to, until: now + passedOnMs});
			records.set(workspace, {record: emptyRecord(now), since: now});
			return {kind: 'record', record};
		},
		grantSlack(workspace, allotment, patience) {
			const now = clock.now();
			if (allotment.kind === 'unlimited') {
				return {
					kind: 'decided', tenure: undefined, delays: patience.map(() => as<Milliseconds>(0)), wait: as<Milliseconds>(0),
				};
			}

			const own = standing(workspace);
			if ('other' in own) {
				return {kind: 'no-coordinator', wait: as<Milliseconds>(leaseMs)};
			}

			const {since} = own;
			const limit = slackLimit(allotment);
			const known = slack.get(workspace);
			const {bucket} = known && known.since >= since ? known : {bucket: createAllotmentBucket(Math.max(0, now - since) * limit.rate / 1000, now)};
			slack.set(workspace, {bucket, since});
			return {
				kind: 'decided', tenure: undefined, delays: patience.map(time => bucket.take(limit, time, now) ?? 'none'), wait: bucket.wait(limit, now),
			};
		},
		prune(isKnown) {
			for (const map of [records, witnessed, passedOn, slack]) {
				for (const workspace of map.keys()) {
					if (!isKnown(workspace)) {
						map.delete(workspace);
					}
				}
			}
		},
	};
}
