/**
Launcher for demos, tests and experiments: a platform, engines, services and entry instances as
separate processes on loopback.
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

const binaries = path.dirname(path.dirname(fileURLToPath(import.meta.url)));
const entryBinary = path.join(binaries, 'src/programs/entry.js');
const standInBinary = path.join(binaries, 'standins/main.js');
const startTimeoutMs = 20_000;
const pollMs = 25;
const firstPort = 10_000;
const portCount = 20_000;

/** Clusters of different processes start at different ports. */
let nextPort = (process.pid * 97) % portCount;

export const callerKey = 'demo-key-of-brenta';
const peerToken = 'token-between-instances';

export type Machine = {
	readonly id: string;
	readonly dataCentre: string;
	readonly address: string;
	readonly child: ChildProcess;
};

export type Entry = Machine & {
	readonly peers: string;
	readonly operators: string;
	/** File that the entry's log goes to. */
	readonly log: string;
};

export type ClusterOptions = {
	readonly dataCentres: readonly string[];
	readonly entriesPerDataCentre: number;
	readonly enginesPerDataCentre: number;
	readonly servicesPerDataCentre: number;
	readonly stepMs?: number;
	readonly batch?: number;
	readonly cacheTokens?: number;
	readonly logLevel?: string;
	readonly policy?: 'adaptive' | 'naive';
	readonly commitWindowMs?: number;
	/** Numbers of engines and services in all, in place of those a data centre. */
	readonly engines?: number;
	readonly services?: number;
};

export type Cluster = {
	readonly platform: Machine;
	readonly engines: readonly Machine[];
	readonly services: readonly Machine[];
	readonly entries: readonly Entry[];
	/** Writes the two tables. */
	readonly configure: () => Promise<void>;
	/** Resolves when every entry is ready and knows every other. */
	readonly ready: () => Promise<void>;
	/** Starts another process for an entry that has ended, with the same settings. */
	readonly restart: (entry: Entry) => Promise<Entry>;
	readonly stop: () => Promise<void>;
};

async function canListen(port: number): Promise<boolean> {
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

/** A port below the range from which the system takes ports for outgoing connections. */
async function freePort(): Promise<number> {
	for (;;) {
		const port = firstPort + (nextPort++ % portCount);
		if (await canListen(port)) {
			return port;
		}
	}
}

/** Polls until the check holds. Throws after 20 s with what was waited for. */
export async function waitFor(what: string, check: () => Promise<boolean>): Promise<void> {
	const until = Date.now() + startTimeoutMs;
	while (Date.now() < until) {
		if (await check()) {
			return;
		}

		await delay(pollMs);
	}

	throw new Error(`Waited ${startTimeoutMs} ms for ${what}`);
}

/** Reads JSON from an address; undefined when there is no answer. */
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

/** Writes an object of the platform whatever its version is. */
export async function putObject(platform: string, name: string, value: unknown): Promise<void> {
	const url = `http://${platform}/v1/objects/${name}`;
	const current = await fetchJson(url);
	const version = typeof current === 'object' && current !== null && 'version' in current ? String(current.version) : '0';
	const response = await fetch(url, {method: 'PUT', headers: {'if-match': version}, body: JSON.stringify(value)});
	if (!response.ok) {
		throw new Error(`${name} could not be written: ${response.status}`);
	}
}

/** Starts all processes. Call `configure` and `ready` before use and `stop` in any case. */
export async function startCluster(options: ClusterOptions): Promise<Cluster> {
	const folder = mkdtempSync(path.join(tmpdir(), 'hickoryfork-'));
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
		const port = await freePort();
		const child = launch(standInBinary, [kind, '--port', String(port), '--id', id, ...extra], 'ignore');
		return {
			id, dataCentre, address: `${loopback}:${port}`, child,
		};
	}

	/** Starts stand-ins, dealt out to the data centres in turn. */
	async function startMany(kind: 'engine' | 'service', total: number, extra: readonly string[]): Promise<Machine[]> {
		const names = Array.from({length: total}, (_, index) => {
			const dataCentre = dataCentres[index % dataCentres.length] ?? 'none';
			return {id: `${kind}-${dataCentre}-${Math.floor(index / dataCentres.length) + 1}`, dataCentre};
		});
		return Promise.all(names.map(async ({id, dataCentre}) => startStandIn(kind, id, dataCentre, extra)));
	}

	const platform = await startStandIn('platform', 'platform', 'none');
	const engines = await startMany('engine', options.engines ?? options.enginesPerDataCentre * dataCentres.length, [
		'--step-ms', String(options.stepMs ?? 5), '--batch', String(options.batch ?? 8), '--cache-tokens', String(options.cacheTokens ?? 200_000),
	]);
	const services = await startMany('service', options.services ?? options.servicesPerDataCentre * dataCentres.length, []);

	function launchEntry(entry: Omit<Entry, 'child'>): Entry {
		const child = launch(entryBinary, ['--settings', path.join(folder, `${entry.id}.toml`)], openSync(entry.log, 'a'));
		return {...entry, child};
	}

	async function prepareEntry(id: string, dataCentre: string): Promise<Omit<Entry, 'child'>> {
		const [callers, peers, operators] = [await freePort(), await freePort(), await freePort()];
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
		writeFileSync(path.join(folder, `${id}.toml`), stringify(settings));
		return {
			id,
			dataCentre,
			address: `${loopback}:${callers}`,
			peers: `${loopback}:${peers}`,
			operators: `${loopback}:${operators}`,
			log: path.join(folder, `${id}.log`),
		};
	}

	const names = dataCentres.flatMap(dataCentre => Array.from({length: options.entriesPerDataCentre}, (_, index) => ({id: `entry-${dataCentre}-${index + 1}`, dataCentre})));
	const prepared: Array<Omit<Entry, 'child'>> = [];
	for (const {id, dataCentre} of names) {
		prepared.push(await prepareEntry(id, dataCentre));
	}

	await waitFor('the platform', async () => await fetchJson(`http://${platform.address}/control/counts`) !== undefined);
	await Promise.all([
		...prepared.map(async entry => postJson(`http://${platform.address}/control/instances`, {
			id: entry.id, role: 'entry', dataCentre: entry.dataCentre, address: entry.peers, state: 'live',
		})),
		...[...engines, ...services].map(async machine => postJson(`http://${platform.address}/control/instances`, {
			id: machine.id, role: engines.includes(machine) ? 'engine' : 'service', dataCentre: machine.dataCentre, address: machine.address, state: 'live',
		})),
	]);
	const entries = prepared.map(entry => launchEntry(entry));

	async function configure(): Promise<void> {
		const describe = (machine: Machine) => ({id: machine.id, dataCentre: machine.dataCentre, address: machine.address});
		await putObject(platform.address, 'configuration/pools', {
			pools: [
				{
					name: 'language-model', kind: 'engine', concurrency: options.batch ?? 8, endpoints: engines.map(engine => describe(engine)),
				},
				{
					name: 'stock-and-orders', kind: 'service', concurrency: 16, endpoints: services.map(service => describe(service)),
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

	async function knowsAll(entry: Entry): Promise<boolean> {
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
			await Promise.all(entries.map(async entry => waitFor(`${entry.id} to be ready`, async () => knowsAll(entry))));
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
			rmSync(folder, {recursive: true, force: true});
		},
	};
}
