/**
Who watches the store: the first member of each of two data centres by rendezvous hashing, among those
that the store last answered. Everyone with the same view names the same watchers.
*/
import {type InstanceId} from '../contracts/id.js';
import {type Member} from './membership.js';
import {
	candidatesIn, dataCentresOf, ownerOf, rankDataCentres,
} from './ownership.js';

/** Watchers in all: one more than needed, so that the loss of one delays nothing. */
const watchers = 2;

const key = 'store-watch';

/** Whether the member has to watch the store. */
export function isStoreWatcher(self: Member, members: readonly Member[], isReachableFrom: (member: InstanceId) => boolean): boolean {
	const reaching = members.filter(member => isReachableFrom(member.id));
	const candidates = reaching.length > 0 ? reaching : members;
	const dataCentres = dataCentresOf(candidates).filter(dataCentre => candidatesIn(dataCentre, candidates).length > 0);
	const chosen = rankDataCentres(key, dataCentres).slice(0, watchers).map(dataCentre => ownerOf(key, candidatesIn(dataCentre, candidates))?.id);
	return chosen.includes(self.id);
}
