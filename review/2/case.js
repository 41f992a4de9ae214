/**
Case 2: all entries of one zone are killed and started again; each program of that zone then gets its budget anew.
*/
import {appendFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {createDeployment, sleep} from '../lib/deployment.js';
import {startEngine} from '../lib/engine.js';
import {manifest} from '../lib/manifest.js';
import {runProgram} from '../lib/program.js';
import {startStore} from '../lib/store.js';

const zones = ['north', 'east', 'south', 'west'];
const isTroubled = process.env.TROUBLE !== '0';
const budget = 1080;
const most = 135;
const programs = 6;
const record = fileURLToPath(new URL('record.txt', import.meta.url));
writeFileSync(record, '');
const startedAt = Date.now();
const write = line => {
	appendFileSync(record, `${String(Date.now() - startedAt).padStart(6)} ms ${line}\n`);
};

async function play(store, deployment) {
	store.put('config', 'main', manifest);
	const engines = [];
	for (const zone of zones) {
		engines.push(await startEngine({
			store, service: 'llm', zone, onRun: run => write(`run ${run.attempt} at engine ${run.id}`),
		}));
	}

	await deployment.start();
	await sleep(3000);
	write('all machines ready');
	const end = Date.now() + 40_000;
	const onAttempt = ({program, turn, attempt, machine, status, isComplete, tokens, received}) => {
		write(`program ${program} turn ${turn} attempt ${attempt} at ${machine}: status ${status}${isComplete ? '' : ' (not complete)'}, ${tokens} tokens, ${received} in all`);
	};

	const isStopped = () => Date.now() > end;
	const running = Array.from({length: programs}, (_, consumer) => runProgram({
		deployment, zone: 'north', consumer, budget, most, isStopped, onAttempt,
	}));
	await sleep(2100);
	if (isTroubled) {
		for (const machine of deployment.machines.filter(({zone}) => zone === 'north')) {
			write(`SIGKILL ${machine.name}`);
			deployment.signal(machine, 'SIGKILL');
		}
	}

	const results = await Promise.all(running);
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
	const broken = results.filter(({received}) => received > budget + most);
	for (const {program, received} of results) {
		write(`program ${program}: ${received} tokens handed out, ${budget + most} allowed`);
	}

	const isPlayed = results.every(({received}) => received >= budget / 2);
	exitCode = isPlayed ? Number(broken.length > 0) : 2;
	write(`${broken.length} of ${results.length} programs got more than their budget and one turn; exit ${exitCode}`);
} catch (error) {
	write(`could not run: ${error.stack}`);
} finally {
	await deployment.end();
	store.close();
}

process.exit(exitCode); // eslint-disable-line unicorn/no-process-exit -- A script's result.
