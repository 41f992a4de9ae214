/**
Case 5: a request on a route whose requests may run once crashes each engine that runs it, and comes again; it reaches
engine after engine.
*/
import {appendFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {send} from '../lib/consumer.js';
import {createDeployment, sleep} from '../lib/deployment.js';
import {startEngine} from '../lib/engine.js';
import {
	bookPath, host, lookupPath, manifest,
} from '../lib/manifest.js';
import {startStore} from '../lib/store.js';

const zones = ['north', 'east'];
const isTroubled = process.env.TROUBLE !== '0';
const isIdempotent = process.env.KIND === 'idempotent';
const contactMs = 3000;
const comings = 20;
const record = fileURLToPath(new URL('record.txt', import.meta.url));
writeFileSync(record, '');
const startedAt = Date.now();
const write = line => {
	appendFileSync(record, `${String(Date.now() - startedAt).padStart(6)} ms ${line}\n`);
};

const poison = `${isIdempotent ? lookupPath : bookPath}poison`;
const crashes = [];
let lost = 0;

function onRun({id, attempt, path}) {
	write(`run ${attempt} at engine ${id}: ${path}`);
	if (path === poison) {
		crashes.push({at: Date.now(), engine: id});
		write(isTroubled ? `engine ${id} crashes` : `engine ${id} would crash`);
	}
}

async function book(deployment, number) {
	const result = await send(deployment.machineFor(zones[number % 2], number), {
		host, path: `${bookPath}lot-${number}`, body: `lot ${number}`, timeoutMs: 6000,
	});
	write(`booking ${number} attempt ${result.attempt} at ${result.machine}: status ${result.status}`);
	lost += result.status === 200 || result.status === 503 ? 0 : 1;
}

async function play(store, deployment) {
	store.put('config', 'main', manifest);
	const engines = [];
	for (let index = 0; index < 8; index++) {
		engines.push(await startEngine({
			store, service: 'app', zone: zones[index % 2], slots: 6, workMs: 800, onRun, crashesOn: request => isTroubled && request.url === poison,
		}));
	}

	await deployment.start();
	await sleep(3000);
	write('all machines ready');
	const bookings = [];
	for (let number = 0; number < comings; number++) {
		for (let index = 0; index < 20; index++) {
			bookings.push(book(deployment, (number * 20) + index));
			await sleep(75);
		}

		const result = await send(deployment.machineFor(zones[number % 2], number), {
			host, path: poison, ...(isIdempotent ? {method: 'GET', timeoutMs: 2000} : {body: 'poison', timeoutMs: 6000}),
		});
		write(`coming ${number + 1} attempt ${result.attempt} at ${result.machine}: status ${result.status}`);
	}

	await Promise.all(bookings);
	for (const engine of engines) {
		engine.close();
	}
}

const store = await startStore();
const deployment = await createDeployment({zones, fronts: 2, store});
let exitCode = 2;
try {
	await play(store, deployment);
	const third = crashes[2]?.at ?? Infinity;
	const late = isTroubled ? crashes.filter(({at}) => at > third + contactMs).length : 0;
	exitCode = crashes.length >= 3 ? Number(late > 3) : 2;
	write(`${lost} bookings ended without an answer of an engine`);
	write(`the request ran ${crashes.length} times, ${late} of them later than ${contactMs} ms after the third crash (3 allowed); exit ${exitCode}`);
} catch (error) {
	write(`could not run: ${error.stack}`);
} finally {
	await deployment.end();
	store.close();
}

process.exit(exitCode); // eslint-disable-line unicorn/no-process-exit -- A script's result.
