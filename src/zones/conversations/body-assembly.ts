/**
Body that an endpoint receives for a turn: for each turn of its chain, the oldest first, the input and then the output; after
all of these, the new input.
*/
import {Buffer} from 'node:buffer';
import {type WholeTurn} from './chain-cache.js';

/** Maximum size of an assembled body, in bytes; the largest body that a caller may send at once has the same size. */
export const maximumBodyBytes = 4 * 1024 * 1024;

/** Assembles the body; `chain` has the newest turn first. */
export function assembleBody(chain: readonly WholeTurn[], input: Uint8Array): Uint8Array {
	if (chain.length === 0) {
		return input;
	}

	return Buffer.concat([...chain.toReversed().flatMap(({content}) => [content.input, content.output]), input]);
}
