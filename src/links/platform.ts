/**
Client of the platform's object service and instance list: HTTP with JSON bodies. An object's version is
in the response body; an update sends the expected version as `If-Match`.
*/
import {err, ok, type Result} from 'neverthrow';
import {Agent, type Dispatcher} from 'undici';
import {z} from 'zod';
import {describeError, type Failure, failure} from '../contracts/failure.js';
import {
	as, type Address, type DataCentreId, type EndpointId, type Milliseconds, type ObjectName, type ObjectVersion,
} from '../contracts/id.js';
import {type ListedInstance, type Platform, type UpdateResult} from '../contracts/platform.js';
import {isNotSent, readJson} from './http.js';
import {withinTimeLimit} from './time-limit.js';

const defaultTimeoutMs = 2000;
const connections = 16;

const objectBody = z.object({version: z.number(), value: z.unknown().optional()});
const versionBody = z.object({version: z.number()});
const revisionBody = z.object({revision: z.number()});
const listingBody = z.array(z.object({
	id: z.string(),
	role: z.enum(['entry', 'engine', 'service']),
	dataCentre: z.string(),
	address: z.string(),
	state: z.enum(['live', 'leaving']),
}));

export type PlatformOptions = {
	readonly address: Address;
	readonly signal: AbortSignal;
	/** Request timeout; 2 s by default. */
	readonly timeout?: Milliseconds;
};

function unavailable(message: string): Failure {
	return failure('platform-unavailable', message, {step: 'commit', peer: 'platform'});
}

/** Creates a client of the platform. Connections close when the signal aborts. */
export function createPlatform(options: PlatformOptions): Platform {
	const requestTimeoutMs = options.timeout ?? defaultTimeoutMs;
	const agent = new Agent({connections, connect: {timeout: requestTimeoutMs}});
	options.signal.addEventListener('abort', () => {
		void agent.destroy();
	}, {once: true});
	const origin = `http://${options.address}`;

	async function request(method: 'GET' | 'PUT' | 'DELETE', path: string, extra: Partial<Dispatcher.RequestOptions> = {}): Promise<Dispatcher.ResponseData> {
		return agent.request({
			origin, path, method, signal: AbortSignal.timeout(requestTimeoutMs), ...extra,
		});
	}

	async function get<Body>(path: string, schema: z.ZodType<Body>, extra: Partial<Dispatcher.RequestOptions> = {}): Promise<Result<Body, Failure>> {
		try {
			const response = await request('GET', path, extra);
			const body = await readJson(response);
			if (response.statusCode !== 200) {
				return err(unavailable(`GET ${path} returned status ${response.statusCode}`));
			}

			return ok(schema.parse(body));
		} catch (error) {
			return err(unavailable(`GET ${path}: ${describeError(error)}`));
		}
	}

	async function readUpdate(response: Dispatcher.ResponseData, path: string): Promise<UpdateResult> {
		const body = await readJson(response);
		switch (response.statusCode) {
			case 200: {
				return {kind: 'written', version: as<ObjectVersion>(versionBody.parse(body).version)};
			}

			case 412: {
				return {kind: 'conflict'};
			}

			case 413:
			case 429:
			case 503: {
				return {kind: 'unavailable', failure: unavailable(`${path} returned status ${response.statusCode}`)};
			}

			default: {
				return {kind: 'doubtful', failure: unavailable(`${path} returned status ${response.statusCode}`)};
			}
		}
	}

	async function change(method: 'PUT' | 'DELETE', name: ObjectName, expected: ObjectVersion, body?: string): Promise<UpdateResult> {
		const path = `/v1/objects/${encodeURI(name)}`;
		try {
			const response = await request(method, path, {
				headers: {'content-type': 'application/json', 'if-match': String(expected)}, ...(body !== undefined && {body}),
			});
			return await readUpdate(response, `${method} ${path}`);
		} catch (error) {
			const reason = unavailable(`${method} ${path}: ${describeError(error)}`);
			return isNotSent(error) ? {kind: 'unavailable', failure: reason} : {kind: 'doubtful', failure: reason};
		}
	}

	return {
		async read(name) {
			const body = await get(`/v1/objects/${encodeURI(name)}`, objectBody);
			return body.map(({version, value}) => ({version: as<ObjectVersion>(version), value}));
		},
		update: async (name, expected, value) => change('PUT', name, expected, JSON.stringify(value)),
		remove: async (name, expected) => change('DELETE', name, expected),
		async watch(prefix, since, wait, signal) {
			const query = new URLSearchParams({prefix, since: String(since), wait: String(wait)});
			return withinTimeLimit(as<Milliseconds>(wait + requestTimeoutMs), signal, async limit => get(`/v1/watch?${query.toString()}`, revisionBody, {signal: limit}));
		},
		async instances() {
			const body = await get('/v1/instances', listingBody);
			return body.map(entries => entries.map<ListedInstance>(entry => ({
				id: as<EndpointId>(entry.id),
				role: entry.role,
				dataCentre: as<DataCentreId>(entry.dataCentre),
				address: as<Address>(entry.address),
				state: entry.state,
			})));
		},
	};
}
