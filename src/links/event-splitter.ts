/**
Splits the bytes of a server-sent event stream into complete events. Only the id of an event is parsed,
and an incomplete event is never returned.
*/
import {Buffer} from 'node:buffer';
import {type StreamEvent} from '../contracts/relay-request.js';

const idLine = /^id: ?(\d{1,15})\r?$/mv;

/** Maximum size of an event; a stream with more bytes before the next blank line is rejected. */
const maximumEventBytes = 1024 * 1024;

export type EventSplitter = {
	/** Returns the events that the bytes complete, or undefined if an event has no numeric id or is too large. */
	readonly push: (bytes: Uint8Array) => readonly StreamEvent[] | undefined;
	/** Whether an incomplete event is buffered. */
	readonly hasPartialEvent: () => boolean;
	/** Memory that the incomplete event takes, in bytes. */
	readonly heldBytes: () => number;
};

const lfBlankLine = '\n\n';
const crlfBlankLine = '\r\n\r\n';

/** Creates a splitter at the start of a stream. */
export function createEventSplitter(): EventSplitter {
	let remainder = Buffer.alloc(0);

	/** Length of the first complete block in bytes, including its blank line, or -1. */
	function firstBlockLength(): number {
		const lfIndex = remainder.indexOf(lfBlankLine);
		const crlfIndex = remainder.indexOf(crlfBlankLine);
		if (crlfIndex !== -1 && (lfIndex === -1 || crlfIndex < lfIndex)) {
			return crlfIndex + crlfBlankLine.length;
		}

		return lfIndex === -1 ? -1 : lfIndex + lfBlankLine.length;
	}

	return {
		push(bytes) {
			remainder = Buffer.concat([remainder, bytes]);
			const events: StreamEvent[] = [];
			for (let length = firstBlockLength(); length !== -1; length = firstBlockLength()) {
				const block = remainder.subarray(0, length);
				const id = idLine.exec(block.toString('latin1'))?.[1];
				if (id === undefined) {
					return undefined;
				}

				events.push({id: Number(id), bytes: block});
				remainder = remainder.subarray(length);
			}

			return remainder.length > maximumEventBytes ? undefined : events;
		},
		hasPartialEvent: () => remainder.length > 0,
		heldBytes: () => remainder.length,
	};
}
