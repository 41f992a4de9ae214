/**
Case 1: an engine's answer without a length is reset on the way; the caller gets the part that came as a whole answer.
*/
import {appendFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {send} from '../lib/consumer.js';
import {createDeployment, sleep} from '../lib/deployment.js';
import {
	bookPath, host, lookupPath, manifest,
} from '../lib/manifest.js';
import {startStore} from '../lib/store.js';
import {startUnframedEngine} from './unframed-engine.js';

const zones = ['north', 'east', 'south', 'west'];
/** Zones whose engine is faulty: half of the engines. */
const faultyZones = new Set(['north', 'east']);
const isTroubled = process.env.TROUBLE !== '0';
/** Part of the answers of an engine that have no length and are reset; the largest dose of `garble` is 0.03. */
const unframedPart = 0.03;
const requests = 3000;
const concurrency = 12;
const record = fileURLToPath(new URL('record.txt', import.meta.url));
writeFileSync(record, '');
const startedAt = Date.now();
const write = line => {
	appendFileSync(record, `${String(Date.now() - startedAt).padStart(6)} ms ${line}\n`);
};

/** Whole bodies by their seals. */
const bodies = new Map();
let unframed = 0;

function onAnswer({id, attempt, seal, body, isUnframed}) {
	bodies.set(seal, body);
	if (isUnframed) {
		unframed++;
		write(`engine ${id} answers ${attempt} without a length${isTroubled ? ' and resets the channel after half of the body' : ' and closes the channel'}`);
	}
}

async function request(deployment, number) {
	const isBooking = number % 8 >= 4;
	const result = await send(deployment.machineFor(zones[number % zones.length], number), {
		host, path: `${isBooking ? bookPath : lookupPath}${number}`, method: isBooking ? 'POST' : 'GET', body: isBooking ? `lot ${number}` : '', timeoutMs: isBooking ? 6000 : 2000,
	});
	const whole = bodies.get(result.headers['server-seal']);
	const isMixed = result.status === 200 && result.isComplete && result.text !== whole;
	if (isMixed) {
		write(`request ${number} attempt ${result.attempt} at ${result.machine} (${isBooking ? 'may run once' : 'idempotent'}): status 200, complete, ${result.text.length} of ${whole?.length} bytes`);
	} else if (result.status !== 200) {
		write(`request ${number} attempt ${result.attempt} at ${result.machine}: status ${result.status}`);
	}

	return {isMixed, isServed: result.status === 200};
}

async function play(store, deployment) {
	store.put('config', 'main', manifest);
	const engines = [];
	for (const zone of zones) {
		engines.push(await startUnframedEngine({
			store, zone, part: faultyZones.has(zone) ? unframedPart : 0, isReset: isTroubled, onAnswer,
		}));
	}

	await deployment.start();
	await sleep(1000);
	write('all machines ready');
	const results = [];
	let next = 0;
	await Promise.all(Array.from({length: concurrency}, async () => {
		while (next < requests) {
			results.push(await request(deployment, next++));
		}
	}));
	for (const engine of engines) {
		engine.close();
	}

	return results;
}

const store = await startStore();
const deployment = await createDeployment({zones, fronts: 2, store});
let exitCode = 2;
try {
	const results = await play(store, deployment);
	const mixed = results.filter(({isMixed}) => isMixed).length;
	const served = results.filter(({isServed}) => isServed).length;
	exitCode = unframed > 0 && served > requests / 2 ? Number(mixed > 0) : 2;
	write(`${served} of ${requests} requests served, ${unframed} answers without a length; ${mixed} callers got a part as a whole answer; exit ${exitCode}`);
} catch (error) {
	write(`could not run: ${error.stack}`);
} finally {
	await deployment.end();
	store.close();
}

process.exit(exitCode); // eslint-disable-line unicorn/no-process-exit -- A script's result.
