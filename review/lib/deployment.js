/**
A small deployment on loopback addresses: machines with the roles of `deploy/system.toml`, started with its commands and
settings. Each machine has a loopback address of its own.
*/
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {parse} from 'smol-toml';

const root = fileURLToPath(new URL('../../', import.meta.url));

/** Delay after which the platform restarts a process that ended, in ms. */
const restartDelayMs = 500;

export const sleep = ms => new Promise(resolve => {
	setTimeout(resolve, ms);
});

/** First two numbers of this run's loopback addresses. */
const network = `127.${20 + (process.pid % 200)}`;
let machineCount = 0;

export function newIp() {
	machineCount++;
	return `${network}.${1 + Math.floor(machineCount / 200)}.${1 + (machineCount % 200)}`;
}

export async function freePort(host) {
	const server = createServer();
	server.listen(0, host);
	await once(server, 'listening');
	const {port} = server.address();
	server.close();
	await once(server, 'close');
	return port;
}

function valueAt(scope, name) {
	if (name === '.') {
		return scope;
	}

	let value = scope;
	for (const key of name.split('.')) {
		value = value?.[key];
	}

	return value;
}

/** Fills in a settings template: values, and sections of lists and tables, as the deploy page tells them. */
function fill(template, fields) {
	const sections = template.replaceAll(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gsv, (_, name, body) => {
		const entries = Object.entries(valueAt(fields, name) ?? {});
		return entries.map(([key, value], index) => body
			.replaceAll('{{@}}', key)
			.replaceAll('{{.}}', String(value))
			.replaceAll('{{,}}', index < entries.length - 1 ? ',' : '')).join('');
	});
	return sections.replaceAll(/\{\{([\w.]+)\}\}/gv, (_, name) => String(valueAt(fields, name) ?? ''));
}

function requestReadiness(address, onResult) {
	const request = get(`http://${address}/api/readiness`, {agent: false, timeout: 900}, response => {
		response.resume();
		onResult(response.statusCode === 200);
	});
	request.on('timeout', () => {
		request.destroy();
	});
	request.once('error', () => {
		onResult(false);
	});
}

/**
Creates a deployment with `fronts` machines in each zone, which are described but not yet started. `graceS` has the
value of the users' sites.
*/
export async function createDeployment({zones, fronts, store, heartbeatMs = 1200, graceS = 8}) {
	const folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	const {roles} = parse(readFileSync(path.join(root, 'deploy/system.toml'), 'utf8'));
	const template = readFileSync(path.join(root, roles.entry.template), 'utf8');
	const [command, ...commandArguments] = roles.entry.run.split(' ');
	const machines = [];
	for (const zone of zones) {
		for (let index = 1; index <= fronts; index++) {
			const ip = newIp();
			const [front, ready, control] = [await freePort(ip), await freePort(ip), await freePort(ip)];
			machines.push({
				name: `front-${zone}-${index}`, zone, ip, front: `${ip}:${front}`, ready: `${ip}:${ready}`, control: `${ip}:${control}`, misses: 2, isInRotation: false, isDown: true, output: [],
			});
		}
	}

	const seeds = zones.slice(0, 3).map(zone => machines.find(machine => machine.zone === zone).control);
	let isEnding = false;

	function start(machine, isBootstrap) {
		const file = path.join(folder, machine.name, 'node.toml');
		mkdirSync(path.dirname(file), {recursive: true});
		writeFileSync(file, fill(template, {
			NodeName: machine.name,
			Zone: machine.zone,
			Zones: Object.fromEntries(zones.map(zone => [zone, 'region'])),
			Bootstrap: isBootstrap,
			Platform: {Address: store.address},
			HeartbeatMs: heartbeatMs,
			Listen: {Front: machine.front, Ready: machine.ready, Control: machine.control},
			Seeds: seeds,
			Ip: machine.ip,
			Bounds: {GraceS: graceS},
		}));
		const child = spawn(command, commandArguments, {
			cwd: root,
			stdio: ['ignore', 'pipe', 'pipe'],
			env: {PATH: process.env.PATH, HOME: process.env.HOME, HICKORYFORK_SETTINGS: file},
		});
		machine.child = child;
		machine.isDown = false;
		const collect = bytes => {
			machine.output.push(String(bytes));
		};

		child.stdout.on('data', collect);
		child.stderr.on('data', collect);
		child.once('exit', () => {
			machine.isDown = true;
			if (!isEnding && !machine.isRemoved) {
				setTimeout(() => {
					if (!isEnding) {
						start(machine, false);
					}
				}, machine.darkMs ?? restartDelayMs);
			}
		});
	}

	/** The platform's check of each machine, once a second; two misses in a row take it out. */
	function check(machine) {
		requestReadiness(machine.ready, isReady => {
			machine.misses = isReady ? 0 : machine.misses + 1;
			machine.isInRotation = machine.misses < 2;
		});
	}

	const checks = setInterval(() => {
		for (const machine of machines) {
			check(machine);
		}
	}, 1000);

	return {
		machines,
		async start() {
			for (const machine of machines) {
				start(machine, true);
			}

			const deadline = Date.now() + 20_000;
			while (!machines.every(machine => machine.isInRotation)) {
				if (Date.now() > deadline) {
					throw new Error(`machines not ready: ${machines.filter(machine => !machine.isInRotation).map(machine => machine.name).join(' ')}`);
				}

				await sleep(100);
			}
		},
		/** Machine to which the platform forwards a new channel of a consumer of the zone. */
		machineFor(zone, consumer) {
			const local = machines.filter(machine => machine.zone === zone);
			const rotating = local.filter(machine => machine.isInRotation);
			const elsewhere = machines.filter(machine => machine.isInRotation);
			const usable = rotating.length > 0 ? rotating : elsewhere;
			const candidates = usable.length > 0 ? usable : local;
			return candidates[consumer % candidates.length];
		},
		signal(machine, name) {
			machine.child.kill(name);
		},
		async end() {
			isEnding = true;
			clearInterval(checks);
			for (const {child} of machines) {
				child?.kill('SIGCONT');
				child?.kill('SIGKILL');
			}

			await Promise.all(machines.filter(({child}) => child && child.exitCode === null && child.signalCode === null).map(async ({child}) => once(child, 'exit')));
			rmSync(folder, {recursive: true, force: true});
		},
	};
}
