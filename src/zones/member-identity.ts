/**
What identifies a member: the process that it is, and its state as part of the digest of a view.
*/
import {as, type CounterId, type ProcessId} from '../contracts/id.js';
import {type Member} from './membership.js';

/** Hash of a member's state, one part of the digest of a view. */
export function memberDigest(member: Member): number {
	let hash = 17;
	for (const character of `${member.id}|${member.incarnation}|${member.status}`) {
		hash = Math.imul(hash, 31) + (character.codePointAt(0) ?? 0);
	}

	return hash;
}

/** Identifies the process of a member: it changes when the member starts again, and not when it refutes a wrong report. */
export function processOf(member: Member): ProcessId {
	return as<ProcessId>(`${member.id}@${member.startedAs ?? member.incarnation}`);
}

/** Counter under which the process of a member counts tokens. */
export function counterOf(member: Member): CounterId {
	return as<CounterId>(processOf(member));
}
