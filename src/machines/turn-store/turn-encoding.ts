/**
Binary form of a turn, the same on disks and between entries and archives: a head of fixed size, the names, the input, and
the output up to the end.
*/
import {Buffer, isUtf8} from 'node:buffer';
import {
	as, type Address, type AttemptId, type CounterId, type DataCentreId, type Milliseconds, type ProgramId, type Tokens,
} from '../../contracts/id.js';
import {
	type TurnContent, type TurnRecord, type UsedTokens, usedRecordId,
} from '../../contracts/turn.js';
import {type WorkspaceName} from '../../contracts/workspace.js';

/** Maximum size of an encoded turn: the longest request body of 4 MB, and an answer. */
export const maximumTurnBytes = 6 * 1024 * 1024;

/** Size of the head: kind, retention, last event or used tokens, and the lengths of three names and of the input. */
const headBytes = 1 + 8 + 8 + 2 + 2 + 2 + 4;

/** Longer names than callers can send in a header. */
const maximumNameBytes = 16_384;

/** Length of a name that is absent, as opposed to empty. */
const absentName = 0xFF_FF;

const kindNumbers = {whole: 1, partial: 2, used: 3} as const;

/** Separates the writer of a record of used tokens from its data centre. */
const separator = '\n';

function toBytes(name: string | undefined): Uint8Array | undefined {
	return name === undefined ? undefined : Buffer.from(name, 'utf8');
}

/** Size of what a record holds. */
export function contentBytes(content: TurnContent): number {
	switch (content.kind) {
		case 'whole': {
			return content.input.length + content.output.length;
		}

		case 'partial': {
			return content.output.length;
		}

		case 'used': {
			return content.program.length;
		}
	}
}

type ContentParts = {readonly number: number; readonly input: Uint8Array; readonly output: Uint8Array};

function partsOf(content: TurnContent): ContentParts {
	switch (content.kind) {
		case 'whole': {
			return {number: 0, input: content.input, output: content.output};
		}

		case 'partial': {
			return {number: content.lastEvent, input: new Uint8Array(), output: content.output};
		}

		case 'used': {
			const {program, tokens, dataCentre, writer} = content;
			return {number: tokens, input: Buffer.from(program, 'utf8'), output: Buffer.from(`${writer}${separator}${dataCentre}`, 'utf8')};
		}
	}
}

/** The origin of a record of used tokens takes the place of the previous turn, which it never has. Earlier builds ignore it there. */
function encodeOrigin({origin}: UsedTokens): string | undefined {
	return origin && `${origin.version}${separator}${origin.counter}`;
}

function decodeOrigin(text: string | undefined): UsedTokens['origin'] {
	const end = text?.indexOf(separator) ?? -1;
	const version = Number(text?.slice(0, end));
	return text !== undefined && end > 0 && Number.isFinite(version) ? {version, counter: as<CounterId>(text.slice(end + 1))} : undefined;
}

/** Encodes a turn; undefined if one of its names or the whole is too long. */
export function encodeTurn(record: TurnRecord): Uint8Array | undefined {
	const {content} = record;
	const previous = content.kind === 'used' ? encodeOrigin(content) : record.previous;
	const names = [toBytes(record.turn), toBytes(previous), toBytes(record.workspace)];
	const {number, input, output} = partsOf(content);
	const parts = [...names.map(name => name ?? new Uint8Array()), input, output];
	const size = parts.reduce((sum, part) => sum + part.length, headBytes);
	if (size > maximumTurnBytes || names.some(name => name !== undefined && name.length > maximumNameBytes)) {
		return undefined;
	}

	// Not from the shared pool of Buffer: the result stays in the cache and would keep its slab alive.
	const bytes = Buffer.allocUnsafeSlow(size);
	let at = bytes.writeUInt8(kindNumbers[content.kind], 0);
	at = bytes.writeDoubleLE(record.retention, at);
	at = bytes.writeDoubleLE(number, at);
	for (const name of names) {
		at = bytes.writeUInt16LE(name?.length ?? absentName, at);
	}

	at = bytes.writeUInt32LE(input.length, at);
	for (const part of parts) {
		bytes.set(part, at);
		at += part.length;
	}

	return bytes;
}

function usedTokensOf(tokens: number, input: Uint8Array, output: Uint8Array): TurnContent | undefined {
	const text = isUtf8(output) ? Buffer.from(output).toString('utf8') : '';
	const end = text.indexOf(separator);
	return end !== -1 && isUtf8(input) && Number.isFinite(tokens) && tokens >= 0
		? {
			kind: 'used',
			program: as<ProgramId>(Buffer.from(input).toString('utf8')),
			tokens: as<Tokens>(tokens),
			dataCentre: as<DataCentreId>(text.slice(end + 1)),
			writer: as<Address>(text.slice(0, end)),
		}
		: undefined;
}

function contentOf(kind: number, lastEvent: number, input: Uint8Array, output: Uint8Array): TurnContent | undefined {
	switch (kind) {
		case kindNumbers.whole: {
			return {kind: 'whole', input, output};
		}

		case kindNumbers.partial: {
			return Number.isFinite(lastEvent) && input.length === 0 ? {kind: 'partial', lastEvent, output} : undefined;
		}

		case kindNumbers.used: {
			return usedTokensOf(lastEvent, input, output);
		}

		default: {
			return undefined;
		}
	}
}

/** Decodes names that lie one after the other; undefined if one is not valid text. */
function decodeNames(bytes: Uint8Array, lengths: readonly number[]): ReadonlyArray<string | undefined> | undefined {
	let at = headBytes;
	const names = lengths.map(length => {
		if (length === absentName) {
			return undefined;
		}

		at += length;
		return bytes.subarray(at - length, at);
	});
	return names.every(name => name === undefined || isUtf8(name)) ? names.map(name => name && Buffer.from(name).toString('utf8')) : undefined;
}

/** Decodes a turn, whose input and output are views of the bytes; undefined if the bytes are not a turn. */
export function decodeTurn(bytes: Uint8Array): TurnRecord | undefined {
	if (bytes.length < headBytes) {
		return undefined;
	}

	const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.length);
	const retention = view.getFloat64(1, true);
	const lengths = [17, 19, 21].map(at => view.getUint16(at, true));
	const inputStart = lengths.reduce((sum, length) => sum + (length === absentName ? 0 : length), headBytes);
	const inputEnd = inputStart + view.getUint32(23, true);
	const names = inputEnd <= bytes.length ? decodeNames(bytes, lengths) : undefined;
	const content = contentOf(view.getUint8(0), view.getFloat64(9, true), bytes.subarray(inputStart, inputEnd), bytes.subarray(inputEnd));
	const [turn, previous, workspace] = names ?? [];
	if (turn === undefined || !content || !(retention >= 0) || !Number.isFinite(retention)) {
		return undefined;
	}

	if (content.kind === 'used' && turn !== usedRecordId(content)) {
		return undefined;
	}

	if (content.kind === 'used') {
		const origin = decodeOrigin(previous);
		return {
			turn: as<AttemptId>(turn), previous: undefined, workspace: undefined, retention: as<Milliseconds>(retention), content: origin ? {...content, origin} : content,
		};
	}

	return {
		turn: as<AttemptId>(turn),
		previous: previous === undefined ? undefined : as<AttemptId>(previous),
		workspace: workspace === undefined ? undefined : as<WorkspaceName>(workspace),
		retention: as<Milliseconds>(retention),
		content,
	};
}
