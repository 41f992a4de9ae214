/**
Starts a cluster for demos, tests and experiments: stand-ins for the platform, engines and services, and entry
instances, each as a process of its own on the loopback interface.
*/
import {type ChildProcess, spawn} from 'node:child_process';
import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {
	mkdtempSync, openSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {stringify} from 'smol-toml';
import {loopback} from './server.js';

const distFolder = path.dirname(path.dirname(fileURLToPath(import.meta.url)));
const entryBinary = path.join(distFolder, 'src/programs/entry.js');
const standInBinary = path.join(distFolder, 'standins/main.js');
const waitTimeoutMs = 20_000;
const pollMs = 25;
const firstPort = 10_000;
const portCount = 20_000;

/** Offset of the next port to try. Starts at a different value in each process, so that clusters started at the same time rarely compete for ports. */
let nextPortOffset = (process.pid * 97) % portCount;

/** API key of the first customer in the settings of the entries. */
export const callerKey = 'demo-key-of-brenta';
const peerToken = 'token-between-instances';

/** A process of the cluster. */
export type Machine = {
	readonly id: string;
	readonly dataCentre: string;
	/** Host and port at which it serves its clients. */
	readonly address: string;
	readonly child: ChildProcess;
};

/** An entry instance of the product; its `address` is the one for callers. */
export type Entry = Machine & {
	/** Address at which other entries reach it. */
	readonly peers: string;
	/** Address of the operators' interface. */
	readonly operators: string;
	/** Path of its log file. */
	readonly log: string;
};

export type ClusterOptions = {
	readonly dataCentres: readonly string[];
	readonly entriesPerDataCentre: number;
	readonly enginesPerDataCentre: number;
	readonly servicesPerDataCentre: number;
	/** Duration of one engine step, in ms. */
	readonly stepMs?: number;
	/** Sequences that an engine runs at once. */
	readonly batch?: number;
	/** Capacity of an engine's prefix cache, in tokens. */
	readonly cacheTokens?: number;
	readonly logLevel?: string;
	readonly policy?: 'adaptive' | 'naive';
	readonly commitWindowMs?: number;
	/** Total numbers of engines and services; override the numbers per data centre. */
	readonly engines?: number;
	readonly services?: number;
};

export type Cluster = {
	readonly platform: Machine;
	readonly engines: readonly Machine[];
	readonly services: readonly Machine[];
	readonly entries: readonly Entry[];
	/** Writes the tables of pools and routes to the platform. */
	readonly configure: () => Promise<void>;
	/** Resolves when every entry is ready and has all the others as members. Rejects after 20 s. */
	readonly ready: () => Promise<void>;
	/** Restarts an entry, whose process has ended, with the same settings. Resolves when it is ready, rejects after 20 s. */
	readonly restart: (entry: Entry) => Promise<Entry>;
	/** Kills all processes and deletes the settings and logs. */
	readonly stop: () => Promise<void>;
};

async function isPortFree(port: number): Promise<boolean> {
	const server = createServer();
	return new Promise(resolve => {
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, loopback, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** Finds a free port below the range from which the operating system assigns ports to outgoing connections. */
async function findFreePort(): Promise<number> {
	for (;;) {
		const port = firstPort + (nextPortOffset++ % portCount);
		if (await isPortFree(port)) {
			return port;
		}
	}
}

/** Polls until the check returns true. Rejects after 20 s with an error that contains the description. */
export async function waitFor(description: string, check: () => Promise<boolean>): Promise<void> {
	const deadline = Date.now() + waitTimeoutMs;
	while (Date.now() < deadline) {
		if (await check()) {
			return;
		}

		await delay(pollMs);
	}

	throw new Error(`Timed out after ${waitTimeoutMs} ms waiting for ${description}`);
}

/** Requests JSON. Resolves to undefined if the request fails or the status is not a success. */
export async function fetchJson(url: string, init?: RequestInit): Promise<unknown> {
	try {
		const response = await fetch(url, init);
		return response.ok ? await response.json() : undefined;
	} catch {
		return undefined;
	}
}

async function postJson(url: string, body: unknown): Promise<unknown> {
	return fetchJson(url, {method: 'POST', body: JSON.stringify(body)});
}

/** Overwrites an object of the platform, whatever its current version. Rejects if the platform refuses the write. */
export async function putObject(platform: string, name: string, value: unknown): Promise<void> {
	const url = `http://${platform}/v1/objects/${name}`;
	const current = await fetchJson(url);
	const version = typeof current === 'object' && current !== null && 'version' in current ? String(current.version) : '0';
	const response = await fetch(url, {method: 'PUT', headers: {'if-match': version}, body: JSON.stringify(value)});
	if (!response.ok) {
		throw new Error(`Writing the object ${name} failed with status ${response.status}`);
	}
}

/** Starts all processes. Call `configure` and `ready` before use, and `stop` at the end, also after a failure. */
export async function startCluster(options: ClusterOptions): Promise<Cluster> {
	const clusterFolder = mkdtempSync(path.join(tmpdir(), 'hickoryfork-'));
	const children = new Set<ChildProcess>();
	const {dataCentres} = options;

	function launch(file: string, parameters: readonly string[], output: 'ignore' | number): ChildProcess {
		const child = spawn(process.execPath, [file, ...parameters], {stdio: ['ignore', output, 'inherit']});
		children.add(child);
		child.once('exit', () => {
			children.delete(child);
		});
		return child;
	}

	async function startStandIn(kind: string, id: string, dataCentre: string, extra: readonly string[] = []): Promise<Machine> {
		const port = await findFreePort();
		const child = launch(standInBinary, [kind, '--port', String(port), '--id', id, ...extra], 'ignore');
		return {
			id, dataCentre, address: `${loopback}:${port}`, child,
		};
	}

	/** Starts stand-ins and distributes them round-robin over the data centres. */
	async function startStandIns(kind: 'engine' | 'service', total: number, extra: readonly string[]): Promise<Machine[]> {
		const names = Array.from({length: total}, (_, index) => {
			const dataCentre = dataCentres[index % dataCentres.length] ?? 'none';
			return {id: `${kind}-${dataCentre}-${Math.floor(index / dataCentres.length) + 1}`, dataCentre};
		});
		return Promise.all(names.map(async ({id, dataCentre}) => startStandIn(kind, id, dataCentre, extra)));
	}

	const platform = await startStandIn('platform', 'platform', 'none');
	const engines = await startStandIns('engine', options.engines ?? options.enginesPerDataCentre * dataCentres.length, [
		'--step-ms', String(options.stepMs ?? 5), '--batch', String(options.batch ?? 8), '--cache-tokens', String(options.cacheTokens ?? 200_000),
	]);
	const services = await startStandIns('service', options.services ?? options.servicesPerDataCentre * dataCentres.length, []);

	function launchEntry(entry: Omit<Entry, 'child'>): Entry {
		const child = launch(entryBinary, ['--settings', path.join(clusterFolder, `${entry.id}.toml`)], openSync(entry.log, 'a'));
		return {...entry, child};
	}

	/** Chooses the ports of an entry and writes its settings file. */
	async function writeEntrySettings(id: string, dataCentre: string): Promise<Omit<Entry, 'child'>> {
		const [callers, peers, operators] = [await findFreePort(), await findFreePort(), await findFreePort()];
		const settings = {
			instance: {id, dataCentre},
			callers: {host: loopback, port: callers},
			peers: {host: loopback, port: peers, token: peerToken},
			operators: {host: loopback, port: operators},
			platform: {address: platform.address},
			customers: [
				{name: 'brenta', keySha256: createHash('sha256').update(callerKey).digest('hex')},
				{name: 'trentside', keySha256: createHash('sha256').update(`${callerKey}-other`).digest('hex')},
			],
			scheduling: {policy: options.policy ?? 'adaptive', commitWindowMs: options.commitWindowMs ?? 0},
			log: {level: options.logLevel ?? 'info'},
		};
		writeFileSync(path.join(clusterFolder, `${id}.toml`), stringify(settings));
		return {
			id,
			dataCentre,
			address: `${loopback}:${callers}`,
			peers: `${loopback}:${peers}`,
			operators: `${loopback}:${operators}`,
			log: path.join(clusterFolder, `${id}.log`),
		};
	}

	const names = dataCentres.flatMap(dataCentre => Array.from({length: options.entriesPerDataCentre}, (_, index) => ({id: `entry-${dataCentre}-${index + 1}`, dataCentre})));
	const preparedEntries: Array<Omit<Entry, 'child'>> = [];
	for (const {id, dataCentre} of names) {
		preparedEntries.push(await writeEntrySettings(id, dataCentre));
	}

	await waitFor('the platform', async () => await fetchJson(`http://${platform.address}/control/counts`) !== undefined);
	await Promise.all([
		...preparedEntries.map(async entry => postJson(`http://${platform.address}/control/instances`, {
			id: entry.id, role: 'entry', dataCentre: entry.dataCentre, address: entry.peers, state: 'live',
		})),
		...[...engines, ...services].map(async machine => postJson(`http://${platform.address}/control/instances`, {
			id: machine.id, role: engines.includes(machine) ? 'engine' : 'service', dataCentre: machine.dataCentre, address: machine.address, state: 'live',
		})),
	]);
	const entries = preparedEntries.map(entry => launchEntry(entry));

	async function configure(): Promise<void> {
		const describeEndpoint = (machine: Machine) => ({id: machine.id, dataCentre: machine.dataCentre, address: machine.address});
		await putObject(platform.address, 'configuration/pools', {
			pools: [
				{
					name: 'language-model', kind: 'engine', concurrency: options.batch ?? 8, endpoints: engines.map(engine => describeEndpoint(engine)),
				},
				{
					name: 'stock-and-orders', kind: 'service', concurrency: 16, endpoints: services.map(service => describeEndpoint(service)),
				},
			],
		});
		await putObject(platform.address, 'configuration/routes', {
			routes: [
				{
					kind: 'model', name: 'quotes', pool: 'language-model', timeoutMs: 60_000, maximumTokens: 2000,
				},
				{
					kind: 'service', name: 'stock', pool: 'stock-and-orders', timeoutMs: 10_000, repeatable: true,
				},
				{
					kind: 'service', name: 'reservations', pool: 'stock-and-orders', timeoutMs: 10_000, repeatable: false,
				},
			],
		});
	}

	/** Whether the entry is ready and has all entries as members. */
	async function seesAllEntries(entry: Entry): Promise<boolean> {
		const ready = await fetchJson(`http://${entry.operators}/health/ready`);
		const dump = await fetchJson(`http://${entry.operators}/dump`);
		const members = typeof dump === 'object' && dump !== null && 'members' in dump && Array.isArray(dump.members) ? dump.members : [];
		return ready !== undefined && members.length >= entries.length;
	}

	return {
		platform,
		engines,
		services,
		entries,
		configure,
		async ready() {
			await Promise.all(entries.map(async entry => waitFor(`${entry.id} to be ready`, async () => seesAllEntries(entry))));
		},
		async restart(entry) {
			const started = launchEntry(entry);
			await waitFor(`${entry.id} to be ready`, async () => await fetchJson(`http://${entry.operators}/health/ready`) !== undefined);
			return started;
		},
		async stop() {
			const ending = [...children].map(async child => once(child, 'exit'));
			for (const child of children) {
				child.kill('SIGKILL');
			}

			await Promise.all(ending);
			rmSync(clusterFolder, {recursive: true, force: true});
		},
	};
}
