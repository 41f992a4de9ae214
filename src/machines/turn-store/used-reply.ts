/**
Reply with all records of used tokens that a store holds, bounded in number and size. One that leaves out records is not
complete, so that nobody takes it for all of them.
*/
import {Buffer} from 'node:buffer';
import {as, type Milliseconds} from '../../contracts/id.js';
import {type UsedRecord, type UsedReply} from '../../contracts/turn.js';
import {type IndexEntry} from './turn-index.js';

/**
Limits of a reply: an outage of 10 s on the largest deployments makes about 1500 records of some hundred bytes, but the names
of programs come from callers.
*/
export const maximumUsedRecords = 8192;
const maximumUsedBytes = 2 * 1024 * 1024;

/** Encoded size of a record besides its id, at most, if the data centre has a short name. */
const recordBytes = 100;

/** The id of a record consists of the names that its content has as well. */
function sizeOf({turn, content}: UsedRecord): number {
	return recordBytes + (2 * Buffer.byteLength(turn)) + Buffer.byteLength(content.dataCentre);
}

/** Creates the reply from the entries of records of used tokens. `isComplete` tells whether these are all that were acknowledged. */
export function createUsedReply(entries: readonly IndexEntry[], now: Milliseconds, isComplete: boolean): UsedReply {
	const held = entries.flatMap(({used, expiresAt}) => used && expiresAt > now ? [{...used, retention: as<Milliseconds>(expiresAt - now)}] : []);
	let bytes = 0;
	const records = held.slice(0, maximumUsedRecords).filter(record => {
		bytes += sizeOf(record);
		return bytes <= maximumUsedBytes;
	});
	return {records, isComplete: isComplete && records.length === held.length};
}
