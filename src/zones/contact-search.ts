/**
Search for an instance with newer tables, while neither the store nor a neighbour keeps those of this instance up to date.
Gossip brings news from other data centres only by chance, so the instance asks for digests itself: a few peers at a time
until one replies that the store answers, and then that one and another.

Load that it answers: the store turns away every live instance of a data centre, most others do not respond, and the
configuration changes.
*/
import {type Clock, type Random} from '../contracts/clock.js';
import {as, type InstanceId, type Milliseconds} from '../contracts/id.js';
import {type Member} from './membership.js';

/** Interval between two rounds of questions, in ms. */
const intervalMs = 250;

/** Number of peers asked in a round. */
const searchWidth = 3;

/** The same while a peer that the store answers replies. */
const confirmedWidth = 2;

export type ContactSearchOptions = {
	/** Whether the tables may be older than allowed. */
	readonly isNeeded: () => boolean;
	/** The other live members. */
	readonly others: () => readonly Member[];
	/** Whether the store answers the member, as far as this instance knows. */
	readonly isStoreReachableFrom: (member: InstanceId) => boolean;
	/** Asks for the digest of a member and handles it. Resolves to whether it replied. */
	readonly ask: (member: Member) => Promise<boolean>;
	readonly clock: Clock;
	readonly random: Random;
	/** Called when the search is no longer needed. */
	readonly onEnd: (search: EndedSearch) => void;
};

/** Number of peers that were asked, how many of them did not reply, and how long the search took. */
export type EndedSearch = {readonly asked: number; readonly unanswered: number; readonly took: Milliseconds};

export type ContactSearch = {
	/** Searches while it is needed, until the signal aborts. */
	readonly run: (signal: AbortSignal) => Promise<void>;
};

/** Creates a search that has asked nobody yet. */
export function createContactSearch(options: ContactSearchOptions): ContactSearch {
	const {clock, random} = options;
	/** When each peer last did not reply; absent once it has replied. */
	const silentSince = new Map<InstanceId, Milliseconds>();
	/** The peer that replied last, if the store answers it. */
	let source: InstanceId | undefined;
	let current: {asked: number; unanswered: number; readonly since: Milliseconds} | undefined;

	/** Members in the order in which to ask them: the source first, then those that the store answers, and last those that did not reply lately. */
	function candidates(): readonly Member[] {
		return options.others()
			.map(member => ({
				member,
				isSource: member.id === source,
				silence: silentSince.get(member.id) ?? 0,
				isInContact: options.isStoreReachableFrom(member.id),
				tie: random.fraction(),
			}))
			.toSorted((left, right) => Number(right.isSource) - Number(left.isSource)
				|| left.silence - right.silence
				|| Number(right.isInContact) - Number(left.isInContact)
				|| left.tie - right.tie)
			.map(({member}) => member);
	}

	async function ask(member: Member): Promise<void> {
		const search = current;
		if (search) {
			search.asked++;
		}

		const isAnswered = await options.ask(member);
		if (isAnswered) {
			silentSince.delete(member.id);
		} else {
			silentSince.set(member.id, clock.now());
			if (search) {
				search.unanswered++;
			}
		}

		if (isAnswered && options.isStoreReachableFrom(member.id)) {
			source = member.id;
		} else if (source === member.id) {
			source = undefined;
		}
	}

	function advance(): void {
		if (!options.isNeeded()) {
			if (current) {
				const {asked, unanswered, since} = current;
				options.onEnd({asked, unanswered, took: as<Milliseconds>(clock.now() - since)});
			}

			current = undefined;
			source = undefined;
			silentSince.clear();
			return;
		}

		current ??= {asked: 0, unanswered: 0, since: clock.now()};
		for (const member of candidates().slice(0, source === undefined ? searchWidth : confirmedWidth)) {
			void ask(member);
		}
	}

	return {
		async run(signal) {
			while (!signal.aborted) {
				advance();
				await clock.sleep(as<Milliseconds>(intervalMs), signal);
			}
		},
	};
}
