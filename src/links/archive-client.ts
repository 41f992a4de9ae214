/**
Stub in place of the client of archives, which is built with the archives themselves and replaces this file: no archive
answers.
*/
import {type ArchiveLink} from '../contracts/archive.js';

/** Creates a client that reaches no archive. */
export function createArchiveClient(_options: {readonly signal: AbortSignal}): ArchiveLink {
	return {
		keep: async () => ({kind: 'unreachable', reason: 'the client of archives is not part of this build'}),
		chain: async () => undefined,
	};
}
