/**
Fingerprints: a short digest that is equal for requests of equal content.
*/
import {createHash} from 'node:crypto';
import {type Request} from './call.js';
import {type RouteName} from './id.js';

/** Digest of a request on a route. Letter case and white space do not count. */
export function fingerprintOf(route: RouteName, request: Request): string {
	const content = JSON.stringify([route, request]).toLowerCase().replaceAll(/\\n|\\t|\s+/gv, ' ');
	return createHash('sha256').update(content).digest('base64url').slice(0, 22);
}
