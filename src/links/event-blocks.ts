/**
Splits the bytes of an event stream into whole events, without reading more of them than their ids.
An event that is cut off is never handed on.
*/
import {Buffer} from 'node:buffer';
import {type StreamEvent} from '../contracts/relay-request.js';

const idLine = /^id: ?(\d{1,15})\r?$/mv;

/** Longest event that is waited for, in bytes; a longer one is not an event. */
const longestEventBytes = 1024 * 1024;

export type EventBlocks = {
	/** Whole events that the bytes complete, or undefined when they are not an event stream. */
	readonly push: (bytes: Uint8Array) => readonly StreamEvent[] | undefined;
	/** Whether part of an event is left over. */
	readonly isPartial: () => boolean;
};

/** Length of the first block in `text`, with its blank line, or -1. */
function blockLength(text: string): number {
	const unix = text.indexOf('\n\n');
	const dos = text.indexOf('\r\n\r\n');
	if (dos !== -1 && (unix === -1 || dos < unix)) {
		return dos + 4;
	}

	return unix === -1 ? -1 : unix + 2;
}

/** Creates a splitter at the start of a stream. */
export function createEventBlocks(): EventBlocks {
	let rest = Buffer.alloc(0);
	return {
		push(bytes) {
			rest = Buffer.concat([rest, bytes]);
			const events: StreamEvent[] = [];
			for (let text = rest.toString('latin1'); blockLength(text) !== -1; text = rest.toString('latin1')) {
				const length = blockLength(text);
				const block = rest.subarray(0, length);
				const id = idLine.exec(text.slice(0, length))?.[1];
				if (id === undefined) {
					return undefined;
				}

				events.push({id: Number(id), bytes: block});
				rest = rest.subarray(length);
			}

			return rest.length > longestEventBytes ? undefined : events;
		},
		isPartial: () => rest.length > 0,
	};
}
