/**
Permits of an instance for its own requests: asks the coordinator of a workspace for all requests that wait, one ask at a
time. If the coordinator does not answer, the next instance in order is asked. A coordinator that is late, but replies, is waited
for instead: no other can grant the allotment meanwhile. Until a coordinator answers, the slack of the data centre is asked for
the requests that wait and those that arrive, also while an ask is under way, so that none is refused without an answer. A
request waits no longer than it can; it is refused at once if the coordinator's answer shows that no permit comes in time, and
so are later ones until that time, without a message.
*/
import {type AllotmentBounds} from '../../contracts/allotment.js';
import {type Clock} from '../../contracts/clock.js';
import {createDeferred} from '../../contracts/deferred.js';
import {as, type Incarnation, type Milliseconds} from '../../contracts/id.js';
import {type WorkspaceName} from '../../contracts/workspace.js';
import {type AllotmentOutcome, type AllotmentRequest, type RequestAllotments} from '../../machines/request-allotments.js';
import {type Member} from '../membership.js';
import {type AllotmentEvent} from './allotment-event.js';
import {createCoordinatorAsks, longestWaitMs, unavailableRetryMs} from './coordinator-asks.js';
import {type CoordinatorOrder} from './coordinator-order.js';
import {type AllotmentPeers, type KnownAllotment} from './messages.js';
import {createPermitGrants} from './permit-grants.js';
import {
	createQueue, type Queue, requestsPerAsk, type Waiting,
} from './permit-queue.js';
import {createSlackAsks} from './slack-asks.js';

/** Maximum time for which a request that would be refused waits for the reply of the slack. */
const lastSlackAskMs = 100;

/** Time between two searches for a coordinator while requests wait for one. */
const searchIntervalMs = 30;

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
	const {clock} = options;
	const queues = new Map<WorkspaceName, Queue>();
	const grants = createPermitGrants({
		clock,
		onReturned(queue) {
			void serve(queue);
		},
	});
	const slack = createSlackAsks({...options, grants});
	const coordinators = createCoordinatorAsks({...options, grants, slack});

	function queueOf(workspace: WorkspaceName, known: KnownAllotment): Queue {
		const queue = queues.get(workspace) ?? createQueue(workspace, known);
		queue.known = known;
		queues.set(workspace, queue);
		return queue;
	}

	/** Serves all requests that wait, one ask after the other. */
	async function serve(queue: Queue): Promise<void> {
		if (queue.isServing) {
			return;
		}

		queue.isServing = true;
		while (queue.waiting.size > 0 || queue.returned) {
			const left = await coordinators.ask(queue, [...queue.waiting].slice(0, requestsPerAsk));
			const now = clock.now();
			const mayHaveSlack = slack.mayHavePermits(queue);
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
			await Promise.race([slack.ask(queue), sleepUntilAge(longest)]);
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
				void slack.followArrivals(queue);
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
