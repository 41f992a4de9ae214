/**
The entry that counts a program's tokens stands still for a moment while turns of the program arrive at another entry.
*/
import {hash} from 'node:crypto';
import {eventsOf, send} from '../lib-2/client.mjs';
import {hostOf, sleep, startDeployment} from '../lib-2/deployment.mjs';
import {startEngine} from '../lib-2/engine.mjs';
import {
	host, manifestOf, service, stride,
} from '../lib-2/manifest.mjs';
import {runCase} from '../lib-2/run.mjs';

const zones = ['nord-it-a', 'nord-it-b', 'nord-it-c', 'nord-it-d'];

/** Entries of each zone. */
const sizes = [3, 1, 1, 1];
const zonesOfEntries = zones.flatMap((zone, index) => Array.from({length: sizes[index]}, () => zone));
const program = 'p-3fa81c';
const budget = 1080;
const mostOfTurn = 135;

/** Lines of turns that the program's sub-agents run in parallel, and how often a program that loops starts them. */
const lines = 3;
const rounds = 5;
const roundIntervalMs = 300;

/** Time for which the entry is frozen. */
const freezeMs = 350;

/** Entries in the order in which the product lets them count the tokens of the program. */
const ranked = entries => entries.map(entry => ({entry, weight: hash('sha1', `${entry.id}|${program}`)}))
	.toSorted((left, right) => left.weight < right.weight ? 1 : -1).map(({entry}) => entry);

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

	const [frozen, , asked] = ranked(entries.filter(entry => entry.zone === zones[0]));
	let tokens = 0;
	let attempts = 0;
	async function runTurn(session, start) {
		attempts++;
		const attempt = `turn-${attempts}`;
		const response = await send({
			host: asked.host, port: asked.port, path: '/turns/next', body: 'prompt', start, headers: {
				Host: host, 'Attempt-Id': attempt, 'Program-Id': program, 'Session-Id': session, 'Program-Deadline-Ms': 60_000, 'Token-Budget': budget,
				'Token-Count': `1840,${mostOfTurn}`, 'Deadline-Ms': 5000, Model: 'm', 'Prompt-Prefix': `5c1e07a2:1600,${session}:240`,
			},
		});
		const received = eventsOf(response.body).length * stride;
		tokens += received;
		note(`answered ${attempt}: status ${response.status}, ${received} tokens; ${tokens} of ${budget} in all`);
	}

	await runTurn('aa');
	await sleep(500);
	if (isTroubled) {
		frozen.kill('SIGSTOP');
		note(`${frozen.id} freezes`);
		setTimeout(() => {
			frozen.kill('SIGCONT');
			note(`${frozen.id} wakes`);
		}, freezeMs);
	}

	const turns = [];
	for (let round = 0; round < rounds; round++) {
		note(`sent ${lines} turns to ${asked.id}`);
		turns.push(...Array.from({length: lines}, async (_, line) => runTurn(`b${line}`)));
		await sleep(round === 0 ? freezeMs + roundIntervalMs : roundIntervalMs);
	}

	await Promise.all(turns);
	note(`${tokens} tokens were handed out; the budget is ${budget} and the most of one turn ${mostOfTurn}`);
	return tokens > budget + mostOfTurn ? `${tokens} tokens were handed out, more than ${budget} + ${mostOfTurn}` : undefined;
});
