/**
Digests of requests: an exact one, which shows whether a key is reused for the same request, and a
fingerprint that ignores letter case and white space, which recognises a harmful request that is sent again.
*/
import {createHash} from 'node:crypto';
import {type Call, type Request} from './call.js';
import {type RouteName} from './id.js';

const digestLength = 22;

function hash(value: unknown): string {
	return createHash('sha256').update(JSON.stringify(value)).digest('base64url').slice(0, digestLength);
}

function normalize(text: string): string {
	return text.trim().toLowerCase().replaceAll(/\s+/gv, ' ');
}

/** Digest that is equal only for equal requests on the same route. */
export function digestOf(route: RouteName, request: Request): string {
	return hash([route, request]);
}

/** Digest of a customer's request that ignores letter case and white space. */
export function fingerprintOf({customer, route, request}: Pick<Call, 'customer' | 'route' | 'request'>): string {
	switch (request.kind) {
		case 'model': {
			return hash([customer, route, request.messages.map(message => [message.role, normalize(message.content)])]);
		}

		case 'service': {
			return hash([customer, route, request.method, request.path, normalize(request.body)]);
		}
	}
}
