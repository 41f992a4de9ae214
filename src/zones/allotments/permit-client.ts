/**
Permits of an instance for its own requests: asks the coordinator of a workspace for all requests that wait, one ask at a
time. If the coordinator does not answer, the next instance in order is asked. A coordinator that is late, but replies, is waited
for instead: no other can grant the allotment meanwhile. Until a coordinator answers, the slack of the data centre is asked for
the requests that wait and those that arrive, also while an ask is under way, so that none is refused without an answer. A
request waits no longer than it can; it is refused at once if the coordinator's answer shows that no permit comes in time, and
so are later ones until that time, without a message.
*/
import {type AllotmentBounds, maximumPermitAge} from '../../contracts/allotment.js';
import {type Clock} from '../../contracts/clock.js';
import {createDeferred} from '../../contracts/deferred.js';
import {
	as, type DataCentreId, type Incarnation, type Milliseconds,
} from '../../contracts/id.js';
import {type WorkspaceName} from '../../contracts/workspace.js';
import {type TenureId} from '../../machines/allotment-lease.js';
import {type AllotmentOutcome, type AllotmentRequest, type RequestAllotments} from '../../machines/request-allotments.js';
import {type Member} from '../membership.js';
import {type ReplyBounds} from '../reply-times.js';
import {createUnresponsivePeers} from '../unresponsive-peers.js';
import {type AllotmentEvent} from './allotment-event.js';
import {type CoordinatorOrder} from './coordinator-order.js';
import {
	type AllotmentPeers, type AllotmentReply, type Decision, type KnownAllotment, type PermitAsk,
} from './messages.js';
import {createPermitAges} from './permit-ages.js';

/** Maximum number of requests for which one ask asks; the ask has to fit into a datagram. */
const requestsPerAsk = 32;

/** Timeout of one of two attempts, as a fraction of the shortest patience, so that time is left for other instances. */
const timeoutFraction = 0.3;
const minimumTimeoutMs = 30;
const maximumTimeoutMs = 150;

/** Limits of an ask of the delegate of the own data centre, which replies in less than a millisecond if it is not late. */
const slackBounds: ReplyBounds = {
	minimum: as<Milliseconds>(25), maximum: as<Milliseconds>(200), attempts: 1, lateAttempts: 1,
};

/** Number of instances that are asked in one go: the coordinator and the next one. */
const maximumAsked = 2;
const attempts = 2;

/** Time by which a permit may come later than its coordinator counts: that of the messages. */
const messageMarginMs = 5;

/** Maximum time for which an ask waits for an instance that is late, and a request beyond its patience. */
const longestWaitMs = 400;

/** Maximum time for which a request that would be refused waits for the reply of the slack. */
const lastSlackAskMs = 100;

/** Age at which a permit is not given back any more, because it may have been granted in an earlier window. */
const maximumReturnAgeMs = 500;

/** Time for which returned permits wait for an ask that carries them. */
const returnDelayMs = 50;

/** Time between two searches for a coordinator while requests wait for one. */
const searchIntervalMs = 30;

/** Time between two asks for permits from the slack, for the requests that arrived meanwhile. */
const slackIntervalMs = 30;

/** Time after which a caller without a coordinator retries, and maximum time for which an instance looks for none. */
const unavailableRetryMs = 300;

type Waiting = {
	/** When the allotment has to have a permit. */
	readonly deadline: Milliseconds;
	/** Whether it is known when the request gets a permit. */
	isDecided: boolean;
	/** Whether the slack has had no permit for the request. */
	isRefusedBySlack: boolean;
	readonly isSettled: () => boolean;
	readonly settle: (outcome: AllotmentOutcome) => void;
};

type Queue = {
	readonly workspace: WorkspaceName;
	known: KnownAllotment;
	readonly waiting: Set<Waiting>;
	isServing: boolean;
	/** Whether an instance has been asked that is not silent, so that requests wait for its reply. */
	isAwaiting: boolean;
	/** Whether no coordinator has answered since one was asked that did not answer in time. */
	isUnanswered: boolean;
	/** The ask for permits from the slack that is under way; there is one at a time. */
	slackAsk: Promise<void> | undefined;
	/** Whether requests that arrive are passed on to the slack at intervals. */
	isFollowingArrivals: boolean;
	/** Time before which there is no permit. */
	usedUpUntil: number;
	/** Time before which no coordinator is looked for. */
	noCoordinatorUntil: number;
	returned: {readonly tenure: TenureId; readonly count: number} | undefined;
};

type CandidateAsk = {readonly candidate: Member; readonly isFirst: boolean};

export type PermitClientOptions = {
	readonly self: () => Member;
	readonly startedAt: Incarnation;
	readonly order: CoordinatorOrder;
	readonly peers: AllotmentPeers;
	readonly bounds: AllotmentBounds;
	readonly clock: Clock;
	readonly onEvent: (event: AllotmentEvent) => void;
};

export type PermitClient = RequestAllotments & {
	readonly prune: (isKnown: (workspace: WorkspaceName) => boolean) => void;
};

/** Creates the permits of an instance. */
export function createPermitClient(options: PermitClientOptions): PermitClient {
	const {self, order, peers, clock} = options;
	const queues = new Map<WorkspaceName, Queue>();
	const unreachable = createUnresponsivePeers<DataCentreId>(clock);
	const ages = createPermitAges(clock);
	let lastNumber = 0;

	function queueOf(workspace: WorkspaceName, known: KnownAllotment): Queue {
		const queue: Queue = queues.get(workspace) ?? {
			workspace,
			known,
			waiting: new Set(),
			isServing: false,
			isAwaiting: false,
			isUnanswered: false,
			slackAsk: undefined,
			isFollowingArrivals: false,
			usedUpUntil: 0,
			noCoordinatorUntil: 0,
			returned: undefined,
		};
		queue.known = known;
		queues.set(workspace, queue);
		return queue;
	}

	function patienceOf(batch: readonly Waiting[]): readonly number[] {
		const now = clock.now();
		return batch.map(({deadline}) => Math.max(0, Math.floor(deadline - now - messageMarginMs)));
	}

	function createAsk(queue: Queue, batch: readonly Waiting[]): PermitAsk {
		const {workspace, known, returned} = queue;
		// If the ask is lost, so are these permits: whether they have arrived is not known.
		queue.returned = undefined;
		return {
			workspace,
			known,
			asker: {id: self().id, startedAt: options.startedAt},
			number: ++lastNumber,
			patience: patienceOf(batch),
			...(returned && {returned}),
		};
	}

	function giveBack(queue: Queue, tenure: TenureId | undefined, grantedAt: Milliseconds): void {
		if (tenure === undefined || clock.now() - grantedAt > maximumReturnAgeMs) {
			return;
		}

		const isFirst = queue.returned?.tenure !== tenure;
		queue.returned = {tenure, count: isFirst ? 1 : (queue.returned?.count ?? 0) + 1};
		if (isFirst) {
			void clock.sleep(as<Milliseconds>(returnDelayMs)).then(async () => serve(queue));
		}
	}

	/** Lets the request go when its permit may be used, or gives the permit back if the request is gone by then. */
	async function grantAfter(delay: Milliseconds, request: Waiting, giveBackPermit: () => void): Promise<void> {
		await (delay > 0 ? clock.sleep(delay) : undefined);
		if (request.isSettled()) {
			giveBackPermit();
		} else {
			request.settle({kind: 'granted', giveBack: giveBackPermit});
		}
	}

	/** Passes on the permits of a decision. Returns the requests that got none. */
	function applyGrants(queue: Queue, batch: readonly Waiting[], {tenure, delays}: Decision): readonly Waiting[] {
		const grantedAt = clock.now();
		const giveBackPermit = () => {
			giveBack(queue, tenure, grantedAt);
		};

		return batch.filter((request, index) => {
			const delay = delays[index] ?? 'none';
			if (delay === 'none') {
				return !request.isDecided;
			}

			if (request.isDecided) {
				giveBackPermit();
			} else {
				request.isDecided = true;
				queue.waiting.delete(request);
				void grantAfter(delay, request, giveBackPermit);
			}

			return false;
		});
	}

	function apply(queue: Queue, batch: readonly Waiting[], decided: Decision): void {
		const {wait} = decided;
		for (const request of applyGrants(queue, batch, decided)) {
			request.settle({kind: 'used-up', wait});
			queue.usedUpUntil = Math.max(queue.usedUpUntil, clock.now() + wait);
		}
	}

	/** The requests for which the slack may have permits, and the instance that grants them. */
	function slackAskOf(queue: Queue): {readonly delegate: Member; readonly batch: readonly Waiting[]} | undefined {
		const batch = [...queue.waiting].filter(({isRefusedBySlack}) => !isRefusedBySlack).slice(0, requestsPerAsk);
		const delegate = order.delegateOf(self().dataCentre, queue.workspace);
		return delegate && batch.length > 0 && !peers.isPassedOver(delegate) ? {delegate, batch} : undefined;
	}

	async function requestSlack(queue: Queue, {delegate, batch}: NonNullable<ReturnType<typeof slackAskOf>>): Promise<void> {
		const {workspace, known} = queue;
		const reply = await peers.request(delegate, {
			kind: 'ask-slack', workspace, known, patience: patienceOf(batch),
		}, slackBounds);
		queue.slackAsk = undefined;
		if (reply?.kind !== 'decided') {
			return;
		}

		const left = applyGrants(queue, batch, reply);
		for (const request of left) {
			request.isRefusedBySlack = true;
		}

		options.onEvent({
			kind: 'allotment-slack', workspace, asked: batch.length, granted: batch.length - left.length,
		});
	}

	/** Asks for permits from the slack of the data centre for all requests that wait, once the ask under way has ended. */
	async function askSlack(queue: Queue): Promise<void> {
		await queue.slackAsk;
		const wanted = slackAskOf(queue);
		if (wanted) {
			queue.slackAsk ??= requestSlack(queue, wanted);
		}

		await queue.slackAsk;
	}

	/** Asks for permits from the slack until a coordinator answers, also for requests that arrive meanwhile. */
	async function followArrivals(queue: Queue): Promise<void> {
		queue.isUnanswered = true;
		if (queue.isFollowingArrivals) {
			return;
		}

		queue.isFollowingArrivals = true;
		while (queue.isUnanswered && slackAskOf(queue)) {
			await askSlack(queue);
			await clock.sleep(as<Milliseconds>(slackIntervalMs));
		}

		queue.isFollowingArrivals = false;
	}

	/** Records that an instance did not answer, and passes its data centre over if two of its instances reply to nothing. */
	function recordUnanswered(workspace: WorkspaceName, {id, dataCentre}: Member): void {
		const silent = order.candidates(workspace).filter(other => other.dataCentre === dataCentre && peers.isPassedOver(other));
		if (dataCentre !== self().dataCentre && silent.length > 1) {
			unreachable.add(dataCentre);
		}

		options.onEvent({kind: 'allotment-unanswered', workspace, instance: id});
	}

	function isAsked(candidate: Member): boolean {
		return !peers.isPassedOver(candidate) && (!peers.isSilent(candidate) || !unreachable.has(candidate.dataCentre));
	}

	/** Asks an instance, and while it is late again with the same number, which counts once. */
	async function askCandidate(queue: Queue, ask: PermitAsk, {candidate, isFirst}: CandidateAsk): Promise<AllotmentReply | undefined> {
		const minimum = as<Milliseconds>(Math.min(maximumTimeoutMs, Math.max(minimumTimeoutMs, Math.min(...ask.patience) * timeoutFraction)));
		const {allotment} = queue.known;
		const maximumAge = allotment.kind === 'limited' ? Math.max(minimum * attempts, maximumPermitAge(allotment, options.bounds)) : Infinity;
		const maximum = Math.max(minimum * attempts, longestWaitMs);
		const askedAt = clock.now();
		const send = async () => peers.request(candidate, {
			kind: 'ask', ask, isFirstUnreachable: !isFirst, isForwarded: false,
		}, {
			minimum, maximum: as<Milliseconds>(Math.max(minimum, maximum - (clock.now() - askedAt))), attempts, lateAttempts: 1,
		});
		queue.isAwaiting = !peers.isSilent(candidate);
		if (!queue.isAwaiting) {
			void followArrivals(queue);
		}

		let reply = await send();
		while (!reply && !peers.isSilent(candidate) && clock.now() - askedAt < maximum) {
			queue.isAwaiting = true;
			void followArrivals(queue);
			reply = await send();
		}

		queue.isAwaiting = false;
		if (reply?.kind === 'decided') {
			queue.isUnanswered = false;
		}

		if (!reply) {
			recordUnanswered(ask.workspace, candidate);
		}

		// Older permits waited for this process, which was late or stood still: they count for an earlier time.
		const isTooOld = reply?.kind === 'decided' && ages.record({tenure: reply.tenure, at: reply.at, askedAt}) > maximumAge + messageMarginMs;
		return isTooOld ? undefined : reply;
	}

	/**
	Asks for permits once: the coordinator, and the next instance if it does not answer. The slack goes before an instance that
	has yet to become the coordinator. Returns the requests that still need a permit.
	*/
	async function ask(queue: Queue, batch: readonly Waiting[]): Promise<readonly Waiting[]> {
		const candidates = order.candidates(queue.workspace);
		const isSearching = clock.now() >= queue.noCoordinatorUntil;
		const responsive = isSearching ? candidates.filter(candidate => isAsked(candidate)) : [];
		const permitAsk = createAsk(queue, batch);
		for (const candidate of responsive.slice(0, maximumAsked)) {
			const isFirst = candidate === candidates[0];
			if (!isFirst) {
				void followArrivals(queue);
				await (queue.slackAsk ?? askSlack(queue));
			}

			if (batch.length > 0 && batch.every(request => request.isDecided)) {
				return [];
			}

			const reply = await askCandidate(queue, permitAsk, {candidate, isFirst});
			if (reply?.kind === 'decided') {
				apply(queue, batch, reply);
				return [];
			}

			if (!reply && !peers.isSilent(candidate)) {
				break;
			}

			const wait = reply?.kind === 'no-coordinator' ? reply.wait : 0;
			queue.noCoordinatorUntil = Math.max(queue.noCoordinatorUntil, clock.now() + Math.min(wait, unavailableRetryMs));
		}

		void followArrivals(queue);
		return batch.filter(request => !request.isDecided);
	}

	/** Serves all requests that wait, one ask after the other. */
	async function serve(queue: Queue): Promise<void> {
		if (queue.isServing) {
			return;
		}

		queue.isServing = true;
		while (queue.waiting.size > 0 || queue.returned) {
			const left = await ask(queue, [...queue.waiting].slice(0, requestsPerAsk));
			const now = clock.now();
			const mayHaveSlack = slackAskOf(queue) !== undefined;
			const refused = left.filter(({deadline, isRefusedBySlack}) => deadline <= Math.max(now, queue.noCoordinatorUntil) && (isRefusedBySlack || !mayHaveSlack));
			for (const request of refused) {
				request.settle({kind: 'unavailable', wait: as<Milliseconds>(unavailableRetryMs)});
			}

			if (queue.waiting.size > 0 && left.length > 0) {
				await clock.sleep(as<Milliseconds>(searchIntervalMs));
			}
		}

		queue.isServing = false;
	}

	/** Refuses a request that has got no permit in time, unless one is on its way from an instance that is late, or the slack has one. */
	async function giveUpLater(queue: Queue, request: Waiting, {patience, timeLeft}: AllotmentRequest, signal: AbortSignal): Promise<void> {
		const arrivedAt = clock.now();
		const sleepUntilAge = async (age: number) => clock.sleep(as<Milliseconds>(Math.max(0, Math.min(age, timeLeft) - (clock.now() - arrivedAt))), signal);
		await sleepUntilAge(patience);
		const isAwaited = queue.isAwaiting && !request.isDecided;
		const longest = patience + (isAwaited ? longestWaitMs : lastSlackAskMs);
		await (isAwaited ? sleepUntilAge(longest - lastSlackAskMs) : undefined);
		if (!signal.aborted && !request.isDecided && !request.isRefusedBySlack) {
			await Promise.race([askSlack(queue), sleepUntilAge(longest)]);
		}

		await (isAwaited ? sleepUntilAge(longest) : undefined);
		await (request.isDecided ? sleepUntilAge(timeLeft) : undefined);
		request.settle({kind: 'unavailable', wait: as<Milliseconds>(unavailableRetryMs)});
	}

	return {
		async acquire(wanted, signal) {
			const {workspace, allotment, generation, patience} = wanted;
			if (signal.aborted) {
				return {kind: 'cancelled'};
			}

			const queue = queueOf(workspace, {generation, allotment});
			const deadline = as<Milliseconds>(clock.now() + patience);
			if (queue.usedUpUntil > deadline) {
				return {kind: 'used-up', wait: as<Milliseconds>(queue.usedUpUntil - clock.now())};
			}

			const outcome = createDeferred<AllotmentOutcome>();
			const settled = new AbortController();
			const request: Waiting = {
				deadline,
				isDecided: false,
				isRefusedBySlack: false,
				isSettled: () => settled.signal.aborted,
				settle(result) {
					queue.waiting.delete(request);
					settled.abort();
					outcome.resolve(result);
				},
			};
			const onAbort = () => {
				request.settle({kind: 'cancelled'});
			};

			signal.addEventListener('abort', onAbort, {once: true});
			queue.waiting.add(request);
			void serve(queue);
			if (queue.isUnanswered) {
				void followArrivals(queue);
			}

			void giveUpLater(queue, request, wanted, settled.signal);
			const result = await outcome.promise;
			signal.removeEventListener('abort', onAbort);
			return result;
		},
		prune(isKnown) {
			for (const [workspace, queue] of queues) {
				if (!isKnown(workspace) && queue.waiting.size === 0) {
					queues.delete(workspace);
				}
			}
		},
	};
}
