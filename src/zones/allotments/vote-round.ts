/**
One round of votes on the lease of a workspace's allotment: asks the delegate of each data centre and counts what they say.
*/
import {type Clock} from '../../contracts/clock.js';
import {createDeferred} from '../../contracts/deferred.js';
import {as, type DataCentreId, type Milliseconds} from '../../contracts/id.js';
import {type WorkspaceName} from '../../contracts/workspace.js';
import {
	type Coordinator, type GrantedVote, undisputedTime, type Vote, type VoteRequest,
} from '../../machines/allotment-lease.js';
import {type ReplyBounds} from '../reply-times.js';
import {type CoordinatorOrder} from './coordinator-order.js';
import {type AllotmentPeers, type AllotmentReply, type InstanceAddress} from './messages.js';

/** Time for which a round waits for further votes that may show that the bucket need not be restricted. */
const furtherVotesMs = 20;

/** Number of instances of a data centre that are asked: the delegate, and the one that it names. */
const maximumAsked = 2;

export type RoundResult
	= | {readonly kind: 'majority'; readonly undisputed: Milliseconds}
	/**
	`holder` and `remaining` are those of the vote for another that lasts longest; `remaining` is zero if nobody refused. A
	majority is possible if more than half of the votes answered.
	*/
		| {readonly kind: 'minority'; readonly holder: Coordinator | undefined; readonly remaining: Milliseconds; readonly isMajorityPossible: boolean};

export type VoteRoundOptions = {
	readonly order: CoordinatorOrder;
	readonly peers: AllotmentPeers;
	readonly clock: Clock;
};

export type VoteRound = {
	readonly workspace: WorkspaceName;
	readonly request: VoteRequest;
	/** Time without which a bucket is restricted: a round that has a majority may end once this much is undisputed. */
	readonly sufficient: Milliseconds;
	readonly bounds: ReplyBounds;
};

/** Creates the function that holds a round of votes. */
export function createVoteRounds({order, peers, clock}: VoteRoundOptions): (round: VoteRound) => Promise<RoundResult> {
	/** Asks a delegate, and a second time, with a longer limit, if it is late. */
	async function askDelegate(delegate: InstanceAddress, {workspace, request, bounds}: VoteRound): Promise<AllotmentReply | undefined> {
		const send = async () => peers.request(delegate, {kind: 'vote', workspace, vote: request}, bounds);
		const reply = await send();
		return reply ?? (peers.isSilent(delegate) ? undefined : send());
	}

	/** Asks a data centre's delegate, and the one that it names if their views differ. */
	async function ask(dataCentre: DataCentreId, round: VoteRound): Promise<Vote | undefined> {
		let delegate: InstanceAddress | undefined = order.delegateOf(dataCentre, round.workspace);
		for (let asked = 0; delegate && asked < maximumAsked; asked++) {
			const reply: AllotmentReply | undefined = await askDelegate(delegate, round);
			if (reply?.kind !== 'other-delegate') {
				return reply?.kind === 'voted' ? reply.vote : undefined;
			}

			delegate = reply.delegate;
		}

		return undefined;
	}

	return async round => {
		const weights = order.weights(round.workspace);
		const total = [...weights.values()].reduce((sum, weight) => sum + weight, 0);
		const granted: GrantedVote[] = [];
		const result = createDeferred<RoundResult>();
		let pendingWeight = total;
		let answeredWeight = 0;
		let holder: Coordinator | undefined;
		let remaining = as<Milliseconds>(0);

		function conclude(isFinal: boolean): void {
			const undisputed = undisputedTime(granted, total);
			if (undisputed !== undefined && (isFinal || undisputed >= round.sufficient)) {
				result.resolve({kind: 'majority', undisputed});
			} else if (undisputed === undefined && granted.reduce((sum, vote) => sum + vote.weight, pendingWeight) <= total / 2) {
				result.resolve({
					kind: 'minority', holder, remaining, isMajorityPossible: answeredWeight + pendingWeight > total / 2,
				});
			}
		}

		async function count(dataCentre: DataCentreId, weight: number): Promise<void> {
			const vote = await ask(dataCentre, round);
			pendingWeight -= weight;
			answeredWeight += vote ? weight : 0;
			if (vote?.kind === 'granted') {
				granted.push({weight, undisputed: vote.undisputed});
			} else if (vote && (vote.remaining >= remaining || !holder)) {
				({holder = holder, remaining} = vote);
			}

			conclude(pendingWeight <= 0);
			await clock.sleep(as<Milliseconds>(furtherVotesMs));
			conclude(true);
		}

		for (const [dataCentre, weight] of weights) {
			void count(dataCentre, weight);
		}

		return result.promise;
	};
}
