/**
Requests to archives and their replies: POST requests with binary bodies, each of which begins with a checksum of the rest.
A reply repeats the number of its request, so that one that belongs to another request on the same connection is noticed.
*/
import {Buffer} from 'node:buffer';
import {crc32} from 'node:zlib';
import {type HeldTurn, type InventoryPage, type TurnCopies} from '../contracts/archive.js';
import {as, type AttemptId, type Milliseconds} from '../contracts/id.js';
import {
	type ChainReply, isUsedRecord, type TurnRecord, type UsedReply,
} from '../contracts/turn.js';
import {maximumPageTurns} from '../machines/turn-store/inventory.js';
import {decodeTurn, encodeTurn, maximumTurnBytes} from '../machines/turn-store/turn-encoding.js';
import {maximumUsedRecords} from '../machines/turn-store/used-reply.js';

export const archivePath = {
	keep: '/1/keep', chain: '/1/chain', used: '/1/used', holds: '/1/holds', copy: '/1/copy', inventory: '/1/inventory', copies: '/1/copies',
} as const;

export const requestNumberHeader = 'hickoryfork-request';

const checksumBytes = 4;

/** Largest body of a request: one turn of maximum size with checksum and length. */
export const maximumRequestBytes = checksumBytes + 4 + maximumTurnBytes;

/** Largest body of a reply: a store ends a chain at 1 MB and one more turn, plus the lengths. */
export const maximumReplyBytes = (2 * 1024 * 1024) + maximumTurnBytes;

/** Parts of a body, such as the turns that a request names; one that consists of empty parts would take many times its size when it is split. */
export const maximumParts = 256;

/** Statuses of replies. */
export const archiveStatus = {
	answered: 200,
	invalid: 400,
	tooLarge: 413,
	/** The record is not stored, or the archive cannot answer yet. */
	refused: 503,
} as const;

/** Joins the parts of a body and puts their checksum in front. */
export function sealBody(parts: readonly Uint8Array[]): Uint8Array {
	const body = Buffer.concat([Buffer.alloc(checksumBytes), ...parts]);
	body.writeUInt32LE(crc32(body.subarray(checksumBytes)), 0);
	return body;
}

/** The parts of a body; undefined if it is damaged. */
export function openBody(body: Uint8Array): Uint8Array | undefined {
	if (body.length < checksumBytes) {
		return undefined;
	}

	const content = body.subarray(checksumBytes);
	return new DataView(body.buffer, body.byteOffset).getUint32(0, true) === crc32(content) ? content : undefined;
}

/** Puts the length of a part in front of it. */
function withLength(part: Uint8Array): readonly Uint8Array[] {
	const length = Buffer.alloc(4);
	length.writeUInt32LE(part.length);
	return [length, part];
}

/** Splits parts that have their lengths in front; undefined if they do not end with the last one, or are too many. */
function splitParts(bytes: Uint8Array, limit = maximumParts): readonly Uint8Array[] | undefined {
	const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.length);
	const parts: Uint8Array[] = [];
	let at = 0;
	while (at + 4 <= bytes.length && parts.length < limit) {
		const start = at + 4;
		at = start + view.getUint32(at, true);
		parts.push(bytes.subarray(start, at));
	}

	return at === bytes.length ? parts : undefined;
}

/** Body of a request to keep a record; undefined if the record is too large. */
export function encodeKeepRequest(record: TurnRecord): Uint8Array | undefined {
	const bytes = encodeTurn(record);
	return bytes && sealBody([bytes]);
}

export function decodeKeepRequest(body: Uint8Array): TurnRecord | undefined {
	const content = openBody(body);
	return content && decodeTurn(content);
}

/** Body of a request to copy records; undefined if one of them is too large. */
export function encodeCopyRequest(records: readonly TurnRecord[]): Uint8Array | undefined {
	const parts = records.map(record => encodeTurn(record)).filter(part => part !== undefined);
	return parts.length === records.length ? sealBody(parts.flatMap(part => withLength(part))) : undefined;
}

export function decodeCopyRequest(body: Uint8Array): readonly TurnRecord[] | undefined {
	const content = openBody(body);
	const parts = content && splitParts(content);
	const records = parts?.map(part => decodeTurn(part)).filter(record => record !== undefined);
	return records?.length === parts?.length ? records : undefined;
}

/** Body that consists of turn names, as in requests for chains and inventories, and the replies to requests to copy. */
export function encodeTurnNames(turns: readonly AttemptId[]): Uint8Array {
	return sealBody(turns.flatMap(turn => withLength(Buffer.from(turn, 'utf8'))));
}

export function decodeTurnNames(body: Uint8Array): readonly AttemptId[] | undefined {
	const content = openBody(body);
	return content && splitParts(content)?.map(part => as<AttemptId>(Buffer.from(part).toString('utf8')));
}

/** Body of a reply with records. */
function encodeRecords({records, isComplete}: ChainReply): Uint8Array {
	const parts = records.map(record => encodeTurn(record)).filter(part => part !== undefined);
	return sealBody([Uint8Array.of(isComplete ? 1 : 0), ...parts.flatMap(part => withLength(part))]);
}

export function encodeChainReply(reply: ChainReply): Uint8Array {
	return encodeRecords(reply);
}

export function encodeUsedReply(reply: UsedReply): Uint8Array {
	return encodeRecords(reply);
}

/** Decodes a reply with at most `limit` records; undefined if the bytes are none. */
function decodeRecords(body: Uint8Array, limit: number): ChainReply | undefined {
	const content = openBody(body);
	const parts = content && content.length > 0 ? splitParts(content.subarray(1), limit) : undefined;
	const records = parts?.flatMap(part => decodeTurn(part) ?? []);
	return records && records.length === parts?.length ? {records, isComplete: content?.[0] === 1} : undefined;
}

/** Decodes the reply to a request for the records of used tokens; undefined if the bytes are none. */
export function decodeUsedReply(body: Uint8Array): UsedReply | undefined {
	const reply = decodeRecords(body, maximumUsedRecords);
	const records = reply?.records.filter(record => isUsedRecord(record));
	return records && records.length === reply?.records.length ? {records, isComplete: reply.isComplete} : undefined;
}

/** Decodes the reply to a request for a chain; undefined if the bytes are none, or that of another turn. */
export function decodeChainReply(body: Uint8Array, turn: AttemptId): ChainReply | undefined {
	const reply = decodeRecords(body, maximumParts);
	if (!reply) {
		return undefined;
	}

	const {records} = reply;
	const isOfTurn = records.length === 0 || records[0]?.turn === turn;
	const isChain = records.every((record, index) => index === 0 || records[index - 1]?.previous === record.turn);
	return isOfTurn && isChain ? reply : undefined;
}

/** Body of a request for a page of an inventory. */
export function encodeInventoryRequest(after: AttemptId | undefined): Uint8Array {
	return encodeTurnNames(after === undefined ? [] : [after]);
}

/** The turn after which the page begins; undefined if the bytes are no such request. */
export function decodeInventoryRequest(body: Uint8Array): {readonly after: AttemptId | undefined} | undefined {
	const names = decodeTurnNames(body);
	return names && names.length <= 1 ? {after: names[0]} : undefined;
}

/** Flags of a page, and of a turn in it. */
const pageFlag = {isLast: 1, isComplete: 2} as const;
const heldFlag = {isSynced: 1} as const;

/** Flags, extent and remaining time, in front of the name of a held turn. */
const heldHeadBytes = 1 + 8 + 8;

function encodeHeldTurn({
	turn, extent, isSynced, remaining,
}: HeldTurn): Uint8Array {
	const name = Buffer.from(turn, 'utf8');
	const part = Buffer.alloc(heldHeadBytes + name.length);
	part.writeUInt8(isSynced ? heldFlag.isSynced : 0, 0);
	part.writeDoubleLE(extent, 1);
	part.writeDoubleLE(remaining, 9);
	name.copy(part, heldHeadBytes);
	return part;
}

function decodeHeldTurn(part: Uint8Array): HeldTurn | undefined {
	if (part.length < heldHeadBytes) {
		return undefined;
	}

	const bytes = Buffer.from(part.buffer, part.byteOffset, part.length);
	return {
		turn: as<AttemptId>(bytes.toString('utf8', heldHeadBytes)),
		extent: bytes.readDoubleLE(1),
		remaining: as<Milliseconds>(bytes.readDoubleLE(9)),
		// eslint-disable-next-line no-bitwise -- Flags.
		isSynced: (bytes.readUInt8(0) & heldFlag.isSynced) !== 0,
	};
}

export function encodeInventoryReply({turns, isLast, isComplete}: InventoryPage): Uint8Array {
	const flags = (isLast ? pageFlag.isLast : 0) + (isComplete ? pageFlag.isComplete : 0);
	return sealBody([Uint8Array.of(flags), ...turns.flatMap(held => withLength(encodeHeldTurn(held)))]);
}

/** Decodes a page of an inventory; undefined if the bytes are none. */
export function decodeInventoryReply(body: Uint8Array): InventoryPage | undefined {
	const content = openBody(body);
	const [flags] = content ?? [];
	const parts = content && flags !== undefined ? splitParts(content.subarray(1), maximumPageTurns) : undefined;
	const turns = parts?.flatMap(part => decodeHeldTurn(part) ?? []);
	if (flags === undefined || !turns || turns.length !== parts?.length) {
		return undefined;
	}

	// eslint-disable-next-line no-bitwise -- Flags.
	return {turns, isLast: (flags & pageFlag.isLast) !== 0, isComplete: (flags & pageFlag.isComplete) !== 0};
}

/** Length of the number of turns that were read, in front of their records. */
const readCountBytes = 4;

export function encodeCopiesReply({read, records}: TurnCopies): Uint8Array {
	const count = Buffer.alloc(readCountBytes);
	count.writeUInt32LE(read);
	const parts = records.map(record => encodeTurn(record)).filter(part => part !== undefined);
	return sealBody([count, ...parts.flatMap(part => withLength(part))]);
}

/** Decodes the reply to a request for copies of turns; undefined if the bytes are none. */
export function decodeCopiesReply(body: Uint8Array): TurnCopies | undefined {
	const content = openBody(body);
	const parts = content && content.length >= readCountBytes ? splitParts(content.subarray(readCountBytes)) : undefined;
	const records = parts?.flatMap(part => decodeTurn(part) ?? []);
	return content && records && records.length === parts?.length
		? {read: Buffer.from(content.buffer, content.byteOffset, content.length).readUInt32LE(0), records}
		: undefined;
}
