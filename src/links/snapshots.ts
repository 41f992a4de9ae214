/**
Link between relaying instances for data that does not fit into datagrams, such as complete tables, over tRPC.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {constants, gunzipSync, gzipSync} from 'node:zlib';
import {createTRPCClient, httpLink, type TRPCClient} from '@trpc/client';
import {initTRPC} from '@trpc/server';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import {err, ok, type Result} from 'neverthrow';
import {fetch as undiciFetch} from 'undici';
import {z} from 'zod';
import {type ClientLimits} from '../contracts/client-limits.js';
import {describeError, type Failure, failure} from '../contracts/failure.js';
import {
	as, type Address, type ConfigurationGeneration, type Milliseconds,
} from '../contracts/id.js';
import {type CallerLimits, type RelayConfiguration} from '../contracts/relay.js';
import {type TokenAccount} from '../contracts/token-account.js';
import {type ClientProblem} from '../machines/client-problem.js';
import {
	type Greeting, type RelayPeers, type RelayTables, type TablesRequest,
} from '../zones/relay-peers.js';
import {withinTimeLimit} from './time-limit.js';
import {type TunnelServer} from './tunnels.js';
import {createGuardedServer, type EarlyRefusal, type GuardedServer} from './guarded-server.js';

/** A snapshot of a few hundred kilobytes takes some dozens of milliseconds. */
const requestTimeout = as<Milliseconds>(800);

/** Maximum size of a configuration that a peer sends, in bytes. */
const maximumConfigurationBytes = 64 * 1024 * 1024;

/** Time after which a response that its peer has not read is given up; longer than the peer waits for it. */
const responseTimeMs = 2000;

/** Bounds of a query, which has no body. */
const bounds: CallerLimits = {
	headerBytes: 16_384, bodyBytes: 0, headerTimeout: as<Milliseconds>(3000), idleTimeout: as<Milliseconds>(5000),
};

const trpc = initTRPC.create();

export type SnapshotSource = {
	readonly greeting: () => Greeting;
	readonly tables: (request: TablesRequest) => RelayTables;
	readonly homes: () => readonly TokenAccount[];
};

/** Tables as they are sent: the configuration is compressed, because it may list thousands of routes in similar words. */
type SentTables = Omit<RelayTables, 'configuration'> & {readonly configuration?: string | undefined};

const tablesRequest = z.object({generation: z.number().transform(value => as<ConfigurationGeneration>(value)), withEntries: z.boolean()});

/** Compressed configurations, so that one is compressed once for all peers. */
const compressed = new WeakMap<RelayConfiguration, string>();

function compress(configuration: RelayConfiguration): string {
	const known = compressed.get(configuration);
	if (known !== undefined) {
		return known;
	}

	const bytes = gzipSync(JSON.stringify(configuration), {level: constants.Z_BEST_SPEED}).toString('base64');
	compressed.set(configuration, bytes);
	return bytes;
}

function decompress(bytes: string): RelayConfiguration {
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Peers run the same program.
	return JSON.parse(gunzipSync(Buffer.from(bytes, 'base64'), {maxOutputLength: maximumConfigurationBytes}).toString('utf8')) as RelayConfiguration;
}

function toSent({configuration, ...tables}: RelayTables): SentTables {
	return {...tables, configuration: configuration && compress(configuration)};
}

function fromSent({configuration, ...tables}: SentTables): RelayTables {
	return {...tables, configuration: configuration === undefined ? undefined : decompress(configuration)};
}

function createRouter(source: SnapshotSource) {
	return trpc.router({
		greeting: trpc.procedure.query((): Greeting => source.greeting()),
		tables: trpc.procedure.input(tablesRequest).query(({input}): SentTables => toSent(source.tables(input))),
		homes: trpc.procedure.query((): readonly TokenAccount[] => source.homes()),
	});
}

type Router = ReturnType<typeof createRouter>;

export type SnapshotServerOptions = {
	readonly host: string;
	readonly port: number;
	readonly source: SnapshotSource;
	readonly limits: ClientLimits;
	readonly tunnels: Pick<TunnelServer, 'open'>;
	readonly onProblem: (problem: ClientProblem) => void;
};

function statusOf(refusal: EarlyRefusal): number {
	switch (refusal) {
		case 'too-large': {
			return 413;
		}

		case 'overloaded': {
			return 503;
		}
	}
}

/** Starts the snapshot server for peers. Resolves once the port is bound. */
export async function serveSnapshots(options: SnapshotServerOptions): Promise<GuardedServer> {
	// A batch could ask for a snapshot many times in one request.
	const answer = createHTTPHandler({router: createRouter(options.source), allowBatching: false});
	const guarded = createGuardedServer({
		limits: options.limits,
		bounds: () => bounds,
		timeOf: () => undefined,
		serve(request, response) {
			const timer = setTimeout(() => {
				response.destroy();
			}, responseTimeMs);
			response.once('close', () => {
				clearTimeout(timer);
			});
			answer(request, response);
		},
		refuse(response, refusal) {
			response.writeHead(statusOf(refusal), {'content-length': 0});
			response.end();
		},
		openTunnel: options.tunnels.open,
		onProblem: options.onProblem,
	});
	guarded.server.listen(options.port, options.host);
	await once(guarded.server, 'listening');
	return guarded;
}

// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- The built-in fetch would load a second copy of undici.
const fetchWithUndici = undiciFetch as unknown as typeof fetch;

/** Creates the client. Queries are aborted with the signal. */
export function createSnapshotClient(signal: AbortSignal): Pick<RelayPeers, 'greet' | 'tables' | 'homes'> {
	async function query<Value>(address: Address, run: (client: TRPCClient<Router>, limit: AbortSignal) => Promise<Value>): Promise<Result<Value, Failure>> {
		const client = createTRPCClient<Router>({links: [httpLink({url: `http://${address}`, fetch: fetchWithUndici})]});
		try {
			return ok(await withinTimeLimit(requestTimeout, signal, async limit => run(client, limit)));
		} catch (error) {
			return err(failure('peer-unreachable', `${address} did not answer: ${describeError(error)}`, {step: 'configure', peer: address}));
		}
	}

	return {
		greet: async address => query(address, async (client, limit) => client.greeting.query(undefined, {signal: limit})),
		tables: async (address, request) => query(address, async (client, limit) => fromSent(await client.tables.query(request, {signal: limit}))),
		homes: async address => query(address, async (client, limit) => client.homes.query(undefined, {signal: limit})),
	};
}
