/**
Data of an event of a server-sent event stream, as the format defines it: the values of the `data` fields, joined by line
feeds. The bytes are kept as they are, whether or not they are valid text.
*/
import {Buffer} from 'node:buffer';
import {createParser} from 'eventsource-parser';

/** Returns the data of one encoded event; undefined if it has no `data` field. */
export function eventData(event: Uint8Array): Uint8Array | undefined {
	let data: Uint8Array | undefined;
	const parser = createParser({
		onEvent(parsed) {
			data = Buffer.from(parsed.data, 'latin1');
		},
	});
	// Each byte is one character of this encoding, so that decoding and encoding change nothing.
	parser.feed(Buffer.from(event).toString('latin1'));
	return data;
}
