/**
Lease on the allotment of a workspace. Only its holder, the coordinator, grants the whole allotment, so at most one instance
may hold it at a time, whatever instances believe about each other. In each data centre one instance, the delegate, votes; a
candidate holds the lease while delegates with more than half of the votes have voted for it and not for another since.
A vote lasts for a fixed time. The candidate counts it from when it asked, the delegate from when it was asked, so the
holder stops before the delegate votes for another.

A vote also tells for how long no other bucket can have been in use. A new coordinator fills its bucket for that time only.
*/
import {
	as, type Address, type Brand, type DataCentreId, type InstanceId, type Milliseconds,
} from '../contracts/id.js';
import {rankByRendezvous} from '../contracts/rendezvous.js';

/** Time for which a vote is valid. Bounds how long a workspace has no coordinator after one was lost. */
export const leaseMs = 1200;

/** Vote that the first data centre has in addition, so that one half of an even number of them can prevail. */
const tieBreakingVote = 0.5;

/** One use of a bucket by one life of an instance. It ends when the bucket is handed over. */
export type TenureId = Brand<string, 'TenureId'>;

export type Coordinator = {readonly id: InstanceId; readonly address: Address; readonly tenure: TenureId};

/** What a delegate knows about the lease on one workspace's allotment. */
export type LeaseRecord = {
	/** Undefined if the delegate has voted for nobody, or does not remember. */
	readonly holder: Coordinator | undefined;
	readonly round: number;
	/** End of the vote; without a holder, the time from which the delegate may vote. */
	readonly until: Milliseconds;
	/** Time up to which another bucket than the holder's may have been in use. */
	readonly othersUntil: Milliseconds;
};

export type VoteRequest = {
	readonly candidate: Coordinator;
	/** Number of the candidate's round of votes. */
	readonly round: number;
	/** Whether the candidate holds the lease, and renews it. */
	readonly isHeld: boolean;
	/** The tenure whose bucket was handed to the candidate. */
	readonly predecessor: TenureId | undefined;
	/** Whether the candidate has asked the last holder for its bucket, or cannot reach it. */
	readonly isTakeover: boolean;
};

export type Vote
	/** `undisputed` is the time for which no other bucket can have been in use. */
	= | {readonly kind: 'granted'; readonly undisputed: Milliseconds}
	/** Another holder's vote lasts for `remaining`, or the delegate may not vote before; with zero, the last holder has to be asked first. */
		| {readonly kind: 'refused'; readonly holder: Coordinator | undefined; readonly remaining: Milliseconds};

/** Record of a delegate that has been the one since a time, and remembers no vote: the delegate before it may have voted until then. */
export function emptyRecord(since: Milliseconds): LeaseRecord {
	const until = as<Milliseconds>(since + leaseMs);
	return {
		holder: undefined, round: 0, until, othersUntil: until,
	};
}

/** Decides on the vote of a delegate. */
export function decideVote(record: LeaseRecord, request: VoteRequest, now: Milliseconds): {readonly record: LeaseRecord; readonly vote: Vote} {
	const {holder} = record;
	const remaining = as<Milliseconds>(Math.max(0, record.until - now));
	const isSameBucket = holder !== undefined && (holder.tenure === request.candidate.tenure || holder.tenure === request.predecessor);
	const isFree = holder === undefined ? remaining === 0 || request.isHeld : remaining === 0 && request.isTakeover;
	if (!isSameBucket && !isFree) {
		return {record, vote: {kind: 'refused', holder, remaining}};
	}

	const othersUntil = isSameBucket || holder === undefined ? record.othersUntil : record.until;
	return {
		record: {
			holder: request.candidate, round: request.round, until: as<Milliseconds>(now + leaseMs), othersUntil,
		},
		vote: {kind: 'granted', undisputed: as<Milliseconds>(Math.max(0, now - othersUntil))},
	};
}

/** Ends the vote for a candidate that has not become the holder in that round. */
export function withdrawVote(record: LeaseRecord, tenure: TenureId, round: number, now: Milliseconds): LeaseRecord {
	const isCurrent = record.holder?.tenure === tenure && record.round === round;
	return isCurrent ? {...record, until: as<Milliseconds>(Math.min(record.until, now))} : record;
}

/** Votes of each data centre on a workspace, whose `key` says which of them breaks ties. */
export function voteWeights(dataCentres: readonly DataCentreId[], key: string): ReadonlyMap<DataCentreId, number> {
	const ranked = rankByRendezvous(dataCentres, dataCentre => dataCentre, key);
	return new Map(ranked.map((dataCentre, index) => [dataCentre, index === 0 && ranked.length % 2 === 0 ? 1 + tieBreakingVote : 1]));
}

export type GrantedVote = {readonly weight: number; readonly undisputed: Milliseconds};

/** The time for which more than half of the votes prove that no other bucket was in use; undefined without such a majority. */
export function undisputedTime(granted: readonly GrantedVote[], totalWeight: number): Milliseconds | undefined {
	let weight = 0;
	for (const vote of granted.toSorted((left, right) => right.undisputed - left.undisputed)) {
		weight += vote.weight;
		if (weight > totalWeight / 2) {
			return vote.undisputed;
		}
	}

	return undefined;
}
