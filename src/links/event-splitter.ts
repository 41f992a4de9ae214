/**
Splits the bytes of an event stream into whole events, without reading more of them than their ids.
An event that is cut off is never handed on.
*/
import {Buffer} from 'node:buffer';
import {type StreamEvent} from '../contracts/relay-request.js';

const idLine = /^id: ?(\d{1,15})\r?$/mv;

/** Longest event that is waited for, in bytes; a longer one is not an event. */
const longestEventBytes = 1024 * 1024;

export type EventSplitter = {
	/** Whole events that the bytes complete, or undefined when they are not an event stream. */
	readonly push: (bytes: Uint8Array) => readonly StreamEvent[] | undefined;
	/** Whether part of an event is left over. */
	readonly hasPartialEvent: () => boolean;
};

const unixBlank = '\n\n';
const dosBlank = '\r\n\r\n';

/** Creates a splitter at the start of a stream. */
export function createEventSplitter(): EventSplitter {
	let rest = Buffer.alloc(0);

	/** Length of the first whole block, with its blank line, or -1. */
	function blockLength(): number {
		const unix = rest.indexOf(unixBlank);
		const dos = rest.indexOf(dosBlank);
		if (dos !== -1 && (unix === -1 || dos < unix)) {
			return dos + dosBlank.length;
		}

		return unix === -1 ? -1 : unix + unixBlank.length;
	}

	return {
		push(bytes) {
			rest = Buffer.concat([rest, bytes]);
			const events: StreamEvent[] = [];
			for (let length = blockLength(); length !== -1; length = blockLength()) {
				const block = rest.subarray(0, length);
				const id = idLine.exec(block.toString('latin1'))?.[1];
				if (id === undefined) {
					return undefined;
				}

				events.push({id: Number(id), bytes: block});
				rest = rest.subarray(length);
			}

			return rest.length > longestEventBytes ? undefined : events;
		},
		hasPartialEvent: () => rest.length > 0,
	};
}
