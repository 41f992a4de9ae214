/**
Delegate of a data centre for a workspace's allotment: the first of its instances in the order of the workspace. It votes
on the lease for its data centre, and grants the data centre's share of the slack to instances that find no coordinator.

A delegate that is new asks the one before it for its record; if that one does not answer, it votes only once the votes
of that one have expired. The share of the slack is further divided by which part of the data centre is live as the
delegate sees it, so that instances that are cut off from each other do not all grant the whole share.
*/
import {
	type Allotment, type AllotmentBounds, type LimitedAllotment, slackPerWindow,
} from '../../contracts/allotment.js';
import {type Clock} from '../../contracts/clock.js';
import {as, type DataCentreId, type Milliseconds} from '../../contracts/id.js';
import {type RequestsPerSecond} from '../../contracts/rate-limit.js';
import {type WorkspaceName} from '../../contracts/workspace.js';
import {type AllotmentBucket, type BucketLimit, createAllotmentBucket} from '../../machines/allotment-bucket.js';
import {
	decideVote, emptyRecord, type LeaseRecord, leaseMs, type TenureId, type VoteRequest, withdrawVote,
} from '../../machines/allotment-lease.js';
import {type Member} from '../membership.js';
import {type CoordinatorOrder} from './coordinator-order.js';
import {
	type AllotmentPeers, type AllotmentReply, type InstanceAddress, toRelativeRecord,
} from './messages.js';

/** Fraction of the slack that data centres grant; the rest covers permits that are used late and views that differ for a moment. */
const grantedSlackFraction = 0.8;

/** Fraction of its share that a data centre may grant at once; the rest of a window's share accrues during the window. */
const burstFraction = 0.7;

/** Timeout of a request for the record of the delegate before. */
const inheritOptions = {timeout: as<Milliseconds>(25), attempts: 1};

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
	/** Gives the record to the instance that is the delegate from now on. */
	readonly passOn: (workspace: WorkspaceName, to: InstanceAddress) => AllotmentReply;
	/** Grants permits from the slack. */
	readonly grantSlack: (workspace: WorkspaceName, allotment: Allotment, patience: readonly number[]) => AllotmentReply;
	/** Drops what this instance knows as a delegate, after it stood still. */
	readonly forget: () => void;
	readonly prune: (isKnown: (workspace: WorkspaceName) => boolean) => void;
};

/** Creates the part of an instance as a delegate. */
export function createDelegate(options: DelegateOptions): Delegate {
	const {self, order, peers, clock} = options;
	const records = new Map<WorkspaceName, Kept>();
	const inheriting = new Map<WorkspaceName, Promise<void>>();
	const passedOn = new Map<WorkspaceName, {readonly to: InstanceAddress; readonly until: number}>();
	const slack = new Map<WorkspaceName, {readonly bucket: AllotmentBucket; readonly since: Milliseconds}>();

	/** The instance to ask instead of this one; undefined if this one is the delegate. */
	function otherDelegate(workspace: WorkspaceName): InstanceAddress | 'unknown' | undefined {
		const passed = passedOn.get(workspace);
		if (passed && passed.until > clock.now()) {
			return passed.to;
		}

		const delegate = order.delegateOf(self().dataCentre, workspace);
		return delegate?.id === self().id ? undefined : delegate ?? 'unknown';
	}

	/** The record, unless another instance has been the delegate since it was written. */
	function recordOf(workspace: WorkspaceName, since: Milliseconds): LeaseRecord {
		const kept = records.get(workspace);
		return kept && kept.since >= since ? kept.record : emptyRecord(since);
	}

	async function inherit(workspace: WorkspaceName, since: Milliseconds): Promise<void> {
		const previous = order.precedingDelegate(workspace);
		const {id, address} = self();
		const reply = previous && await peers.request(previous, {kind: 'inherit', workspace, to: {id, address}}, inheritOptions);
		const now = clock.now();
		if (reply?.kind === 'record' && reply.record && !isRecorded(workspace, since)) {
			const {holder, round, remaining, undisputed} = reply.record;
			records.set(workspace, {
				since, record: {
					holder, round, until: as<Milliseconds>(now + remaining), othersUntil: as<Milliseconds>(now - undisputed),
				},
			});
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

	function toReply(delegate: InstanceAddress | 'unknown'): AllotmentReply {
		return {kind: 'other-delegate', delegate: delegate === 'unknown' ? undefined : {id: delegate.id, address: delegate.address}};
	}

	/** Limit of the bucket from which the delegate grants its share of the slack. */
	function slackLimit(allotment: LimitedAllotment): BucketLimit {
		const {bounds} = options;
		const share = slackPerWindow(allotment, bounds) * grantedSlackFraction * order.liveFraction() / options.dataCentres().length;
		return {
			capacity: Math.max(1, share * burstFraction),
			rate: as<RequestsPerSecond>(share * (1 - burstFraction) * 1000 / bounds.window),
		};
	}

	return {
		async vote(workspace, request) {
			const other = otherDelegate(workspace);
			const since = order.delegateSince(workspace);
			if (other !== undefined || since === undefined) {
				return toReply(other ?? 'unknown');
			}

			await prepare(workspace, since);
			const {record, vote} = decideVote(recordOf(workspace, since), request, clock.now());
			records.set(workspace, {record, since});
			return {kind: 'voted', vote};
		},
		withdraw(workspace, tenure, round) {
			const kept = records.get(workspace);
			if (kept) {
				records.set(workspace, {...kept, record: withdrawVote(kept.record, tenure, round, clock.now())});
			}
		},
		passOn(workspace, to) {
			const now = clock.now();
			const since = order.delegateSince(workspace, to.id);
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

			const since = order.delegateSince(workspace);
			if (since === undefined || otherDelegate(workspace) !== undefined) {
				return {kind: 'no-coordinator', wait: as<Milliseconds>(leaseMs)};
			}

			const limit = slackLimit(allotment);
			const known = slack.get(workspace);
			const {bucket} = known && known.since >= since ? known : {bucket: createAllotmentBucket(Math.max(0, now - since) * limit.rate / 1000, now)};
			slack.set(workspace, {bucket, since});
			return {
				kind: 'decided', tenure: undefined, delays: patience.map(time => bucket.take(limit, time, now) ?? 'none'), wait: bucket.wait(limit, now),
			};
		},
		forget() {
			records.clear();
			slack.clear();
			passedOn.clear();
			order.forget();
		},
		prune(isKnown) {
			for (const map of [records, passedOn, slack]) {
				for (const workspace of map.keys()) {
					if (!isKnown(workspace)) {
						map.delete(workspace);
					}
				}
			}
		},
	};
}
