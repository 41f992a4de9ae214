/**
Splits the bytes of a server-sent event stream into complete events. Only the id of an event is parsed,
and an incomplete event is never returned.
*/
import {Buffer} from 'node:buffer';
import {type StreamEvent} from '../contracts/relay-request.js';
import {createByteBuffer} from './byte-buffer.js';

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
	const buffer = createByteBuffer();

	/** Length of the first complete block in bytes, including its blank line, or -1. The first `searched` bytes hold no blank line. */
	function firstBlockLength(searched: number): number {
		const from = Math.max(0, searched - crlfBlankLine.length);
		const lfIndex = buffer.indexOf(lfBlankLine, from);
		const crlfIndex = buffer.indexOf(crlfBlankLine, from);
		if (crlfIndex !== -1 && (lfIndex === -1 || crlfIndex < lfIndex)) {
			return crlfIndex + crlfBlankLine.length;
		}

		return lfIndex === -1 ? -1 : lfIndex + lfBlankLine.length;
	}

	return {
		push(bytes) {
			const searched = buffer.size();
			buffer.append(bytes);
			const events: StreamEvent[] = [];
			for (let length = firstBlockLength(searched); length !== -1; length = firstBlockLength(0)) {
				const block = buffer.take(length);
				const id = idLine.exec(Buffer.from(block).toString('latin1'))?.[1];
				if (id === undefined) {
					return undefined;
				}

				events.push({id: Number(id), bytes: block});
			}

			return buffer.size() > maximumEventBytes ? undefined : events;
		},
		hasPartialEvent: () => buffer.size() > 0,
		heldBytes: buffer.capacity,
	};
}
