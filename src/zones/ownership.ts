/**
Ownership by rendezvous hashing: instances with the same membership view choose the same owner.
*/
import {type Random} from '../contracts/clock.js';
import {type DataCentreId, type Home} from '../contracts/id.js';
import {ownerByRendezvous, rankByRendezvous} from '../contracts/rendezvous.js';
import {type Member} from './membership.js';

/** The member that owns a key among those given, or undefined when there is none. */
export function ownerOf(key: string, members: readonly Member[]): Member | undefined {
	return ownerByRendezvous(members, member => member.id, key);
}

/** Members in the order in which they would own a key. */
export function rankOwners(key: string, members: readonly Member[]): readonly Member[] {
	return rankByRendezvous(members, member => member.id, key);
}

/** Data centres in the order in which they would own a key. */
export function rankDataCentres(key: string, dataCentres: readonly DataCentreId[]): readonly DataCentreId[] {
	return rankByRendezvous(dataCentres, dataCentre => dataCentre, key);
}

/** Data centres that the members are in. */
export function dataCentresOf(members: readonly Member[]): readonly DataCentreId[] {
	return [...new Set(members.map(member => member.dataCentre))];
}

/** Members of a data centre that can own something: neither dead nor leaving. */
export function candidatesIn(dataCentre: DataCentreId, members: readonly Member[]): readonly Member[] {
	return members.filter(member => member.dataCentre === dataCentre && (member.status === 'alive' || member.status === 'suspect'));
}

/** Up to `count` members of each other data centre, in random order. */
export function contactsOutside(dataCentre: DataCentreId, members: readonly Member[], count: number, random: Random): readonly Member[] {
	const others = dataCentresOf(members).filter(other => other !== dataCentre);
	return others.flatMap(other => candidatesIn(other, members)
		.map(member => ({member, rank: random.fraction()}))
		.toSorted((left, right) => left.rank - right.rank)
		.slice(0, count)
		.map(({member}) => member));
}

/** Whether the member would own a key in its own data centre. */
export function isOwner(member: Member, key: string, members: readonly Member[]): boolean {
	return ownerOf(key, candidatesIn(member.dataCentre, members))?.id === member.id;
}

/** Whether the member is among the first `count` that would own a key in its own data centre. */
export function isAmongOwners(member: Member, key: string, members: readonly Member[], count: number): boolean {
	return rankOwners(key, candidatesIn(member.dataCentre, members)).slice(0, count).some(({id}) => id === member.id);
}

/** Key under which the owner of a shard is chosen. */
export function shardKey(home: Home): string {
	return `shard/${home.dataCentre}/${home.shard}`;
}
