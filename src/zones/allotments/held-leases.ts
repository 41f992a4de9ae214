/**
Leases of an instance on the allotments of workspaces: acquires one when the instance is asked for permits, renews it while
the workspace sends requests, and hands its bucket to the instance that takes over. A workspace without requests
costs no messages.
*/
import {type Clock} from '../../contracts/clock.js';
import {
	as, type Incarnation, type Milliseconds,
} from '../../contracts/id.js';
import {type WorkspaceName} from '../../contracts/workspace.js';
import {type AllotmentBucket, type BucketLimit, createAllotmentBucket} from '../../machines/allotment-bucket.js';
import {
	type Coordinator, leaseMs, type TenureId,
} from '../../machines/allotment-lease.js';
import {type Member} from '../membership.js';
import {type ReplyBounds} from '../reply-times.js';
import {type AllotmentEvent} from './allotment-event.js';
import {type CoordinatorOrder, isBefore} from './coordinator-order.js';
import {type AllotmentPeers, type AllotmentReply, type HandedBucket} from './messages.js';
import {type RoundResult, type VoteRound} from './vote-round.js';

/** Age of a lease at which a request lets it be renewed: leaves time for an attempt that gets no answer. */
const renewalAgeMs = 500;

/** Limits of votes: for a lease that requests wait for, and for one that is renewed in time. */
const acquisition: ReplyBounds = {
	minimum: as<Milliseconds>(50), maximum: as<Milliseconds>(300), attempts: 1, lateAttempts: 1,
};
const renewal: ReplyBounds = {
	minimum: as<Milliseconds>(150), maximum: as<Milliseconds>(300), attempts: 3, lateAttempts: 2,
};

/** Limits of a request for a bucket. */
const yieldBounds: ReplyBounds = {
	minimum: as<Milliseconds>(25), maximum: as<Milliseconds>(200), attempts: 1, lateAttempts: 1,
};

/** The same for a bucket that is handed over unasked. */
const handOverBounds: ReplyBounds = {
	minimum: as<Milliseconds>(100), maximum: as<Milliseconds>(300), attempts: 3, lateAttempts: 2,
};

/** Time after which an instance that failed to become the coordinator tries again, at least and at most. */
const minimumRetryMs = 20;
const maximumRetryMs = 300;

export type HeldLease = {readonly bucket: AllotmentBucket; readonly tenure: TenureId; readonly validUntil: Milliseconds};

export type LeaseOutcome
	= | {readonly kind: 'held'; readonly lease: HeldLease}
		| {readonly kind: 'held-elsewhere'; readonly holder: Coordinator; readonly remaining: Milliseconds}
		| {readonly kind: 'unavailable'; readonly wait: Milliseconds};

type State = {
	tenure: number;
	round: number;
	bucket: AllotmentBucket | undefined;
	/** Limit by which the bucket was used last. */
	limit: BucketLimit;
	validUntil: Milliseconds;
	/** When the round of votes began that the lease rests on. */
	renewedAt: Milliseconds;
	/** The tenure that handed its bucket over, until the delegates know. */
	predecessor: TenureId | undefined;
	/** The tenure whose bucket was received last. */
	received: TenureId | undefined;
	/** The rounds under way; there is one at a time. */
	acquiring: Promise<LeaseOutcome> | undefined;
	/** The last outcome without a lease, and the time until which it stands. */
	failure: {readonly outcome: Exclude<LeaseOutcome, {kind: 'held'}>; readonly until: number} | undefined;
	/** The bucket that this instance gave away last, should the reply have been lost. */
	yielded: {readonly to: TenureId; readonly tenure: TenureId; readonly level: number; readonly until: Milliseconds} | undefined;
};

export type HeldLeasesOptions = {
	readonly self: () => Member;
	readonly members: () => readonly Member[];
	readonly startedAt: Incarnation;
	readonly order: CoordinatorOrder;
	readonly peers: AllotmentPeers;
	readonly holdRound: (round: VoteRound) => Promise<RoundResult>;
	readonly clock: Clock;
	readonly onEvent: (event: AllotmentEvent) => void;
};

export type HeldLeases = {
	/** The lease if this instance holds it now. */
	readonly current: (workspace: WorkspaceName, limit: BucketLimit) => HeldLease | undefined;
	/** Whether this instance has the bucket, with a lease or without. */
	readonly hasBucket: (workspace: WorkspaceName) => boolean;
	readonly acquire: (workspace: WorkspaceName, limit: BucketLimit) => Promise<LeaseOutcome>;
	/** Answers an instance that asks for the bucket. */
	readonly yieldTo: (workspace: WorkspaceName, to: Coordinator) => AllotmentReply;
	/** Takes over the bucket of an instance that leaves. */
	readonly receive: (workspace: WorkspaceName, handed: HandedBucket) => void;
	/** Hands all buckets to the instances that come next. */
	readonly handOverAll: () => Promise<void>;
	/** The workspaces that this instance coordinates now, with the levels of their buckets. */
	readonly held: () => ReadonlyArray<{readonly workspace: WorkspaceName; readonly level: number}>;
	/** Drops workspaces that are not known any more. */
	readonly prune: (isKnown: (workspace: WorkspaceName) => boolean) => void;
};

const never = as<Milliseconds>(-Infinity);

/** Creates the leases of an instance, which holds none yet. */
export function createHeldLeases(options: HeldLeasesOptions): HeldLeases {
	const {clock, order, peers, self} = options;
	const states = new Map<WorkspaceName, State>();

	function stateOf(workspace: WorkspaceName, limit: BucketLimit): State {
		const state: State = states.get(workspace) ?? {
			tenure: 1, round: 0, bucket: undefined, limit, validUntil: never, renewedAt: never, predecessor: undefined, received: undefined, acquiring: undefined, failure: undefined, yielded: undefined,
		};
		state.limit = limit;
		states.set(workspace, state);
		return state;
	}

	function identity(state: State): Coordinator {
		const {id, address} = self();
		return {id, address, tenure: as<TenureId>(`${id}@${options.startedAt}.${state.tenure}`)};
	}

	function leaseOf(state: State): HeldLease | undefined {
		return state.bucket && state.validUntil > clock.now() ? {bucket: state.bucket, tenure: identity(state).tenure, validUntil: state.validUntil} : undefined;
	}

	/** Ends the tenure: from now on this instance knows nothing of the bucket. */
	function endTenure(state: State): void {
		state.tenure++;
		state.round = 0;
		state.bucket = undefined;
		state.validUntil = never;
		state.renewedAt = never;
		state.predecessor = undefined;
	}

	/** Begins a tenure with the bucket of another. */
	function install(workspace: WorkspaceName, state: State, handed: {readonly from: TenureId; readonly level: number; readonly validUntil: Milliseconds}): void {
		endTenure(state);
		state.bucket = createAllotmentBucket(handed.level, clock.now());
		state.validUntil = handed.validUntil;
		state.predecessor = handed.from;
		state.failure = undefined;
		options.onEvent({
			kind: 'allotment-received', workspace, from: handed.from, level: handed.level,
		});
	}

	/** Extends the lease after a round that was won, or begins to hold it with what its bucket is certain to contain. */
	function extend(workspace: WorkspaceName, state: State, {sentAt, undisputed}: {readonly sentAt: Milliseconds; readonly undisputed: Milliseconds}): void {
		if (!leaseOf(state)) {
			const {limit} = state;
			const maximum = undisputed * limit.rate / 1000;
			state.bucket ??= createAllotmentBucket(maximum, clock.now());
			state.bucket.restrict(limit, maximum, clock.now());
			options.onEvent({
				kind: 'allotment-held', workspace, undisputed, level: state.bucket.level(limit, clock.now()),
			});
		}

		state.validUntil = as<Milliseconds>(Math.max(state.validUntil, sentAt + leaseMs));
		state.renewedAt = sentAt;
		state.predecessor = undefined;
		state.failure = undefined;
	}

	function withdraw(workspace: WorkspaceName, tenure: TenureId, round: number): void {
		for (const dataCentre of order.weights(workspace).keys()) {
			const delegate = order.delegateOf(dataCentre, workspace);
			if (delegate) {
				peers.post(delegate, {
					kind: 'withdraw', workspace, tenure, round,
				});
			}
		}
	}

	/** Holds a round of votes. Resolves to undefined if the tenure has ended meanwhile. */
	async function hold(workspace: WorkspaceName, state: State, {isTakeover, bounds}: {readonly isTakeover: boolean; readonly bounds: ReplyBounds}): Promise<RoundResult | undefined> {
		const candidate = identity(state);
		const round = ++state.round;
		const sentAt = clock.now();
		const isHeld = leaseOf(state) !== undefined;
		const level = state.bucket?.level(state.limit, sentAt) ?? state.limit.capacity;
		const result = await options.holdRound({
			workspace,
			bounds,
			sufficient: as<Milliseconds>(isHeld ? 0 : Math.max(0, level) * 1000 / state.limit.rate),
			request: {
				candidate, round, isHeld, predecessor: state.predecessor, isTakeover,
			},
		});
		if (identity(state).tenure !== candidate.tenure) {
			return undefined;
		}

		if (result.kind === 'majority') {
			extend(workspace, state, {sentAt, undisputed: result.undisputed});
		} else if (!leaseOf(state)) {
			withdraw(workspace, candidate.tenure, round);
		}

		return result;
	}

	/** Asks the holder of the last lease for its bucket, which it gives away only if it need not keep it. */
	async function askForBucket(workspace: WorkspaceName, state: State, holder: Coordinator): Promise<AllotmentReply['kind'] | undefined> {
		const askedAt = clock.now();
		const {tenure} = state;
		const reply = await peers.request(holder, {kind: 'yield', workspace, to: identity(state)}, yieldBounds);
		if (reply?.kind === 'yielded' && state.tenure === tenure) {
			install(workspace, state, {from: reply.tenure, level: reply.level, validUntil: as<Milliseconds>(askedAt + reply.remaining)});
		}

		return reply?.kind;
	}

	function isOtherAndLive(holder: Coordinator): boolean {
		return holder.id !== self().id && options.members().some(member => member.id === holder.id && member.status !== 'dead');
	}

	/** Whether this instance takes the place of the holder of a lease that is still valid. */
	function replaces(holder: Coordinator, workspace: WorkspaceName): boolean {
		return isBefore(self().id, holder.id, workspace) || options.members().some(member => member.id === holder.id && member.status === 'leaving');
	}

	async function acquireNow(workspace: WorkspaceName, state: State): Promise<LeaseOutcome> {
		const first = await hold(workspace, state, {isTakeover: false, bounds: acquisition});
		if (first?.kind === 'minority' && first.holder && first.isMajorityPossible) {
			const {holder, remaining} = first;
			const isPassedOver = remaining <= 0 || replaces(holder, workspace);
			const reply = isPassedOver && isOtherAndLive(holder) ? await askForBucket(workspace, state, holder) : undefined;
			if (reply === 'kept' || !isPassedOver) {
				return {kind: 'held-elsewhere', holder, remaining};
			}

			if (!leaseOf(state) && (remaining <= 0 || reply === 'yielded')) {
				await hold(workspace, state, {isTakeover: true, bounds: acquisition});
			}
		}

		const lease = leaseOf(state);
		if (lease) {
			return {kind: 'held', lease};
		}

		const isRefused = first?.kind === 'minority' && first.remaining > 0;
		return {kind: 'unavailable', wait: isRefused ? first.remaining : as<Milliseconds>(maximumRetryMs)};
	}

	/** Lets one acquisition or renewal run at a time. */
	async function start(state: State, run: () => Promise<LeaseOutcome>): Promise<LeaseOutcome> {
		const running = run();
		state.acquiring = running;
		const outcome = await running;
		state.acquiring = undefined;
		if (outcome.kind !== 'held') {
			const wait = outcome.kind === 'held-elsewhere' ? outcome.remaining : outcome.wait;
			state.failure = {outcome, until: clock.now() + Math.min(maximumRetryMs, Math.max(minimumRetryMs, wait))};
		}

		return outcome;
	}

	function renewIfDue(workspace: WorkspaceName, state: State): void {
		const isDue = clock.now() - state.renewedAt >= renewalAgeMs || state.predecessor !== undefined;
		if (!isDue || state.acquiring) {
			return;
		}

		void start(state, async () => {
			const result = await hold(workspace, state, {isTakeover: true, bounds: renewal});
			const lease = leaseOf(state);
			if (result?.kind === 'minority') {
				options.onEvent({kind: 'allotment-not-renewed', workspace, holder: result.holder?.id});
			}

			return lease ? {kind: 'held', lease} : {kind: 'unavailable', wait: as<Milliseconds>(minimumRetryMs)};
		});
	}

	return {
		current(workspace, limit) {
			const state = stateOf(workspace, limit);
			const lease = leaseOf(state);
			if (lease) {
				renewIfDue(workspace, state);
			}

			return lease;
		},
		hasBucket: workspace => states.get(workspace)?.bucket !== undefined,
		async acquire(workspace, limit) {
			const state = stateOf(workspace, limit);
			if (state.acquiring) {
				return state.acquiring;
			}

			return state.failure && state.failure.until > clock.now() ? state.failure.outcome : start(state, async () => acquireNow(workspace, state));
		},
		yieldTo(workspace, to) {
			const state = states.get(workspace);
			if (!state?.bucket) {
				const {yielded} = state ?? {};
				return yielded?.to === to.tenure
					? {
						kind: 'yielded', tenure: yielded.tenure, level: yielded.level, remaining: as<Milliseconds>(Math.max(0, yielded.until - clock.now())),
					}
					: {kind: 'no-bucket'};
			}

			const lease = leaseOf(state);
			if (lease && self().status !== 'leaving' && !isBefore(to.id, self().id, workspace)) {
				return {kind: 'kept'};
			}

			state.yielded = {
				to: to.tenure, tenure: identity(state).tenure, level: state.bucket.level(state.limit, clock.now()), until: lease?.validUntil ?? clock.now(),
			};
			endTenure(state);
			options.onEvent({kind: 'allotment-yielded', workspace, to: to.id});
			return {
				kind: 'yielded', tenure: state.yielded.tenure, level: state.yielded.level, remaining: as<Milliseconds>(state.yielded.until - clock.now()),
			};
		},
		receive(workspace, {limit, from, level}) {
			const state = stateOf(workspace, limit);
			if (state.received !== from && !leaseOf(state)) {
				state.received = from;
				install(workspace, state, {from, level, validUntil: never});
			}
		},
		async handOverAll() {
			await Promise.all([...states].map(async ([workspace, state]) => {
				const successor = order.candidates(workspace).find(({id}) => id !== self().id);
				if (!state.bucket || !successor) {
					return;
				}

				const {limit} = state;
				const {tenure: from} = identity(state);
				const level = state.bucket.level(limit, clock.now());
				endTenure(state);
				options.onEvent({kind: 'allotment-yielded', workspace, to: successor.id});
				const reply = await peers.request(successor, {
					kind: 'hand-over', workspace, handed: {limit, from, level},
				}, handOverBounds);
				if (!reply) {
					options.onEvent({kind: 'allotment-unanswered', workspace, instance: successor.id});
				}
			}));
		},
		held: () => [...states].flatMap(([workspace, state]) => {
			const lease = leaseOf(state);
			return lease ? [{workspace, level: lease.bucket.level(state.limit, clock.now())}] : [];
		}),
		prune(isKnown) {
			for (const [workspace, state] of states) {
				if (!isKnown(workspace) && !state.acquiring) {
					states.delete(workspace);
				}
			}
		},
	};
}
