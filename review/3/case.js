/**
Case 3: all entries are killed at once while programs pause, 61 s after their first turns; the programs return within
`RetentionS` of their last turns and get their budgets anew, as the store's records expired by the first turns.
*/
import {appendFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {newId} from '../lib/consumer.js';
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
const pauseMs = 18_000;
const record = fileURLToPath(new URL('record.txt', import.meta.url));
writeFileSync(record, '');
const startedAt = Date.now();
const write = line => {
	appendFileSync(record, `${String(Date.now() - startedAt).padStart(6)} ms ${line}\n`);
};

function onAttempt({program, turn, attempt, machine, status, isComplete, tokens}) {
	write(`program ${program} turn ${turn} attempt ${attempt} at ${machine}: status ${status}${isComplete ? '' : ' (not complete)'}, ${tokens} tokens`);
}

async function play(store, deployment) {
	store.put('config', 'main', manifest);
	for (const zone of zones) {
		await startEngine({
			store, service: 'llm', zone, onRun: run => write(`run ${run.attempt} at engine ${run.id}`),
		});
	}

	await deployment.start();
	await sleep(3000);
	write('all machines ready');
	const begin = Date.now();
	const parts = Array.from({length: programs}, (_, consumer) => ({
		deployment, zone: zones[consumer % zones.length], consumer, budget, most, onAttempt, id: newId(),
	}));
	// Three turns, 18 s apart; then the programs are stopped.
	const first = await Promise.all(parts.map(async part => runProgram({...part, pauseMs, isStopped: received => received >= 3 * most})));
	await sleep(begin + 61_000 - Date.now());
	if (isTroubled) {
		write('SIGKILL of all machines');
		for (const machine of deployment.machines) {
			deployment.signal(machine, 'SIGKILL');
		}
	}

	await sleep(5000);
	write('the programs return');
	const end = Date.now() + 25_000;
	const second = await Promise.all(parts.map(async part => runProgram({...part, isStopped: () => Date.now() > end})));
	return first.map(({program, received}, index) => ({program, received: received + second[index].received}));
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
