/**
Search for an instance with newer tables, while neither the store nor a neighbour keeps those of this instance up to date.
Gossip brings news from other data centres only by chance, so the instance asks for digests itself, one peer at a time.

Load that it answers: the store turns away every live instance of a data centre, and the configuration changes.
*/
import {type Clock, type Random} from '../contracts/clock.js';
import {as, type InstanceId, type Milliseconds} from '../contracts/id.js';
import {type Member} from './membership.js';
import {createUnresponsivePeers} from './unresponsive-peers.js';

/** Interval between two questions, in ms. */
const intervalMs = 250;

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
	const unresponsive = createUnresponsivePeers<InstanceId>(clock);
	let current: {asked: number; unanswered: number; readonly since: Milliseconds} | undefined;

	/** A random member, if possible one that replies and that the store answers. */
	function choose(): Member | undefined {
		const others = options.others();
		const responsive = others.filter(({id}) => !unresponsive.has(id));
		const inContact = responsive.filter(({id}) => options.isStoreReachableFrom(id));
		const candidates = [inContact, responsive, others].find(members => members.length > 0) ?? [];
		return candidates[Math.floor(random.fraction() * candidates.length)];
	}

	async function ask(member: Member): Promise<void> {
		const search = current;
		if (search) {
			search.asked++;
		}

		if (!await options.ask(member)) {
			unresponsive.add(member.id);
			if (search) {
				search.unanswered++;
			}
		}
	}

	function advance(): void {
		if (!options.isNeeded()) {
			if (current) {
				const {asked, unanswered, since} = current;
				options.onEnd({asked, unanswered, took: as<Milliseconds>(clock.now() - since)});
			}

			current = undefined;
			return;
		}

		current ??= {asked: 0, unanswered: 0, since: clock.now()};
		const member = choose();
		if (member) {
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
