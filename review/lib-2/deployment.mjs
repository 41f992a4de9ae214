/**
A small deployment on loopback: the entries as separate processes, started with the command and the settings template of the deploy
files, beside stand-ins for the platform's store and for engines.
*/
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {startStore} from './store.mjs';

const root = fileURLToPath(new URL('../../', import.meta.url));

export const sleep = async ms => new Promise(resolve => {
	setTimeout(resolve, ms);
});

/** Prefix of loopback addresses that other runs do not use. */
const prefix = `127.${60 + (Math.floor(process.pid / 250) % 150)}.${1 + (process.pid % 250)}`;

/** Returns a loopback address of its own for each machine. */
export const hostOf = index => `${prefix}.${index}`;

async function freePorts(host, count) {
	const servers = Array.from({length: count}, () => createServer());
	const ports = [];
	for (const server of servers) {
		server.listen(0, host);
		await once(server, 'listening');
		ports.push(server.address().port);
	}

	for (const server of servers) {
		server.close();
		await once(server, 'close');
	}

	return ports;
}

/** The words of a role's command in the deploy file. */
function commandOf(role) {
	const deployFile = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	const section = deployFile.split(`[roles.${role}]`)[1]?.split('\n[')[0] ?? '';
	return /^run = "(?<run>[^"]*)"/mv.exec(section)?.groups?.run.split(' ') ?? [];
}

/** Fills in the template of the entries' settings. Only the forms that it uses are known here. */
function settingsOf({id, zone, zones, isFirstStart, store, ports: [front, ready, control], host, seeds}) {
	const list = values => values.map(value => `"${value}"`).join(',');
	const contracts = ['base', 'drain', 'config', 'cost', 'recover', 'agent', 'stream', 'engine', 'platform'];
	const values = {
		NodeName: id, Zone: zone, Bootstrap: String(isFirstStart), 'Platform.Address': store, HeartbeatMs: '1200',
		'Listen.Front': `${host}:${front}`, 'Listen.Ready': `${host}:${ready}`, 'Listen.Control': `${host}:${control}`, Ip: host,
		'FaultTolerance.Machines': '1', 'FaultTolerance.Zones': '1', 'Bounds.GraceS': '8', 'Limits.MemoryMb': '186', 'Limits.MaxFds': '2069',
	};
	return readFileSync(path.join(root, 'deploy/entry.toml'), 'utf8')
		.replace('{{#Zones}}"{{@}}"{{,}}{{/Zones}}', list(zones))
		.replace('{{#Contracts}}"{{.}}"{{,}}{{/Contracts}}', list(contracts))
		.replace('{{#Seeds}}"{{.}}"{{,}}{{/Seeds}}', list(seeds))
		.replaceAll(/\{\{(?<name>[\w.]+)\}\}/gv, (_text, name) => values[name]);
}

/** Starts the entries, given by their zones, beside a store that holds the manifest. */
export async function startDeployment({zonesOfEntries, manifest}) {
	const folder = mkdtempSync(path.join(tmpdir(), 'hickoryfork-review-'));
	const store = await startStore(hostOf(250));
	store.put('config', 'main', manifest);
	const zones = [...new Set(zonesOfEntries)];
	const machines = [];
	for (const [index, zone] of zonesOfEntries.entries()) {
		const host = hostOf(index + 1);
		machines.push({
			id: `front-${zone}-${index + 1}`, zone, host, ports: await freePorts(host, 3),
		});
	}

	const seeds = machines.slice(0, 3).map(({host, ports}) => `${host}:${ports[2]}`);
	const [program, ...parameters] = commandOf('entry');

	const entries = machines.map(machine => {
		const {id, zone, host, ports} = machine;
		const file = path.join(folder, `${id}.toml`);
		let child;
		let log = '';
		const start = isFirstStart => {
			writeFileSync(file, settingsOf({
				...machine, zones, isFirstStart, store: store.address, seeds,
			}));
			const {PATH, HOME, LANG} = process.env;
			child = spawn(program, parameters, {
				cwd: root, stdio: ['ignore', 'pipe', 'pipe'], env: {
					PATH, HOME, LANG, HICKORYFORK_SETTINGS: file,
				},
			});
			for (const output of [child.stdout, child.stderr]) {
				output.on('data', bytes => {
					log += String(bytes);
				});
			}
		};

		start(true);
		return {
			id, zone, host, port: ports[0], log: () => log,
			kill: signal => child.kill(signal),
			async stop() {
				if (child.exitCode === null && child.signalCode === null) {
					child.kill('SIGKILL');
					await once(child, 'exit');
				}
			},
			restart() {
				start(false);
			},
			async isReady() {
				try {
					const response = await fetch(`http://${host}:${ports[1]}/api/readiness`);
					await response.arrayBuffer();
					return response.status === 200;
				} catch {
					// It is not listening yet.
					return false;
				}
			},
		};
	});

	return {
		store, entries, zones,
		async ready() {
			for (let attempt = 0; attempt < 300; attempt++) {
				const states = await Promise.all(entries.map(async entry => entry.isReady()));
				if (states.every(Boolean)) {
					return;
				}

				await sleep(100);
			}

			throw new Error('the entries did not become ready');
		},
		async stop() {
			await Promise.all(entries.map(async entry => entry.stop()));
			store.close();
			rmSync(folder, {recursive: true, force: true});
		},
	};
}
