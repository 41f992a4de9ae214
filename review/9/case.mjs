/**
The entries of a program's home zone are killed, and other zones grant in their place; then all entries are killed. The program returns.
*/
import {eventsOf, send} from '../lib-2/client.mjs';
import {hostOf, sleep, startDeployment} from '../lib-2/deployment.mjs';
import {startEngine} from '../lib-2/engine.mjs';
import {
	host, manifestOf, service, stride,
} from '../lib-2/manifest.mjs';
import {runCase} from '../lib-2/run.mjs';

const zones = ['nord-it-a', 'nord-it-b', 'nord-it-c', 'nord-it-d'];

/** Entries of each zone. */
const sizes = [2, 4, 4, 4];
const zonesOfEntries = zones.flatMap((zone, index) => Array.from({length: sizes[index]}, () => zone));
const budget = 1080;
const mostOfTurn = 135;

/** Turns of the program before, and lines of turns that its sub-agents run in parallel while the home zone is down and afterwards. */
const turnsBefore = 3;
const lines = 4;
const roundsAfter = 3;

/** Time after which the program goes on through another zone, for which the home zone is down, and for which all entries are. */
const goOnMs = 500;
const zoneDownMs = 3500;
const allDownMs = 1000;

await runCase(import.meta.url, async ({note, isTroubled, atEnd}) => {
	const {store, entries, ready, stop} = await startDeployment({zonesOfEntries, manifest: manifestOf(1)});
	atEnd(stop);
	for (const [index, zone] of zones.entries()) {
		const engine = await startEngine({
			host: hostOf(200 + index), store, id: `i-${index + 1}`, service, zone, stride, onRun(run) {
				note(`engine ${run.engine} runs ${run.attempt}`);
			},
		});
		atEnd(engine.close);
	}

	await ready();
	await sleep(2000);
	note('all entries are ready');

	const homeEntries = entries.filter(entry => entry.zone === zones[0]);
	const otherEntries = entries.filter(entry => entry.zone !== zones[0]);
	const elsewhere = entries.filter(entry => entry.zone === zones[1]);
	let tokens = 0;
	let attempts = 0;
	async function runTurn(session, entry) {
		attempts++;
		const attempt = `turn-${attempts}`;
		note(`sent ${attempt} of session ${session} to ${entry.id}`);
		const response = await send({
			host: entry.host, port: entry.port, path: '/turns/next', body: 'prompt', headers: {
				Host: host, 'Attempt-Id': attempt, 'Program-Id': 'p-3fa81c', 'Session-Id': session, 'Program-Deadline-Ms': 120_000, 'Token-Budget': budget,
				'Token-Count': `1840,${mostOfTurn}`, 'Deadline-Ms': 5000, Model: 'm', 'Prompt-Prefix': `5c1e07a2:1600,${session}:240`,
			},
		});
		const received = eventsOf(response.body).length * stride;
		tokens += received;
		note(`answered ${attempt}: status ${response.status}, ${received} tokens; ${tokens} of ${budget} in all`);
	}

	const runLines = async () => Promise.all(Array.from({length: lines}, async (_, line) => runTurn(`b${line}`, elsewhere[line % elsewhere.length])));

	function kill(killed) {
		for (const entry of killed) {
			entry.kill('SIGKILL');
		}

		note(`killed: ${killed.map(({id}) => id).join(', ')}`);
	}

	for (let turn = 0; turn < turnsBefore; turn++) {
		await runTurn('aa', homeEntries[0]);
	}

	await sleep(500);
	const zoneUp = sleep(zoneDownMs);
	if (isTroubled) {
		kill(homeEntries);
	}

	await sleep(goOnMs);
	await runLines();
	await zoneUp;
	if (isTroubled) {
		kill(otherEntries);
		await sleep(allDownMs);
		for (const entry of entries) {
			entry.restart();
		}

		note('all entries start again');
		await ready();
		note('all entries are ready');
	}

	for (let round = 0; round < roundsAfter; round++) {
		await runLines();
	}

	note(`${tokens} tokens were handed out; the budget is ${budget} and the most of one turn ${mostOfTurn}`);
	return tokens > budget + mostOfTurn ? `${tokens} tokens were handed out, more than ${budget} + ${mostOfTurn}` : undefined;
});
