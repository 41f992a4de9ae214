/**
Asks for permits from the slack of the data centre, which serves requests while no coordinator answers. One ask is under way at a
time; requests that arrive meanwhile are asked for in the next.
*/
import {type Clock} from '../../contracts/clock.js';
import {as, type Milliseconds} from '../../contracts/id.js';
import {type Member} from '../membership.js';
import {type ReplyBounds} from '../reply-times.js';
import {type AllotmentEvent} from './allotment-event.js';
import {type CoordinatorOrder} from './coordinator-order.js';
import {type AllotmentPeers} from './messages.js';
import {type PermitGrants} from './permit-grants.js';
import {
	patienceOf, type Queue, requestsPerAsk, type Waiting,
} from './permit-queue.js';

/** Limits of an ask of the delegate of the own data centre, which replies in less than a millisecond if it is not late. */
const slackBounds: ReplyBounds = {
	minimum: as<Milliseconds>(25), maximum: as<Milliseconds>(200), attempts: 1, lateAttempts: 1,
};

/** Time between two asks, for the requests that arrived meanwhile. */
const intervalMs = 30;

type SlackAsk = {readonly delegate: Member; readonly batch: readonly Waiting[]};

export type SlackAsks = {
	/** Whether the slack may have permits for requests that wait. */
	readonly mayHavePermits: (queue: Queue) => boolean;
	/** Asks for all requests that wait, once the ask under way has ended. */
	readonly ask: (queue: Queue) => Promise<void>;
	/** Asks until a coordinator answers, also for requests that arrive meanwhile. */
	readonly followArrivals: (queue: Queue) => Promise<void>;
};

export type SlackAsksOptions = {
	readonly self: () => Member;
	readonly order: CoordinatorOrder;
	readonly peers: AllotmentPeers;
	readonly grants: Pick<PermitGrants, 'applyGrants'>;
	readonly clock: Clock;
	readonly onEvent: (event: AllotmentEvent) => void;
};

/** Creates the asks of an instance. */
export function createSlackAsks(options: SlackAsksOptions): SlackAsks {
	const {self, order, peers, clock} = options;

	/** The requests for which the slack may have permits, and the instance that grants them. */
	function askOf(queue: Queue): SlackAsk | undefined {
		const batch = [...queue.waiting].filter(({isRefusedBySlack}) => !isRefusedBySlack).slice(0, requestsPerAsk);
		const delegate = order.delegateOf(self().dataCentre, queue.workspace);
		return delegate && batch.length > 0 && !peers.isPassedOver(delegate) ? {delegate, batch} : undefined;
	}

	async function request(queue: Queue, {delegate, batch}: SlackAsk): Promise<void> {
		const {workspace, known} = queue;
		const reply = await peers.request(delegate, {
			kind: 'ask-slack', workspace, known, patience: patienceOf(batch, clock),
		}, slackBounds);
		queue.slackAsk = undefined;
		if (reply?.kind !== 'decided') {
			return;
		}

		const left = options.grants.applyGrants(queue, batch, reply);
		for (const refused of left) {
			refused.isRefusedBySlack = true;
		}

		options.onEvent({
			kind: 'allotment-slack', workspace, asked: batch.length, granted: batch.length - left.length,
		});
	}

	async function ask(queue: Queue): Promise<void> {
		await queue.slackAsk;
		const wanted = askOf(queue);
		if (wanted) {
			queue.slackAsk ??= request(queue, wanted);
		}

		await queue.slackAsk;
	}

	async function followArrivals(queue: Queue): Promise<void> {
		queue.isUnanswered = true;
		if (queue.isFollowingArrivals) {
			return;
		}

		queue.isFollowingArrivals = true;
		while (queue.isUnanswered && askOf(queue)) {
			await ask(queue);
			await clock.sleep(as<Milliseconds>(intervalMs));
		}

		queue.isFollowingArrivals = false;
	}

	return {mayHavePermits: queue => askOf(queue) !== undefined, ask, followArrivals};
}
