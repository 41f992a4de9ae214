/**
What a response says about the endpoint that sent it, beside the answer itself.
*/
import {type RateLimit} from './rate-limit.js';

export type EndpointNotice
	/** The endpoint is about to stop: it ends what it runs, and is to get nothing new. */
	= | {readonly kind: 'leaving'}
	/** Number of calls that the endpoint has, its answer to this one included. */
		| {readonly kind: 'load'; readonly calls: number}
	/** The endpoint has this rate limit from now on. */
		| {readonly kind: 'rate-limit'; readonly limit: RateLimit}
	/** The endpoint's rate limit cannot be read; the previous one stays in force. */
		| {readonly kind: 'rate-limit-unreadable'; readonly text: string};
