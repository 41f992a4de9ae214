/**
A program uses up its budget through one zone, pauses for less than `RetentionS`, and comes back with lines of turns through the others.
*/
import {eventsOf, send} from '../lib-2/client.mjs';
import {hostOf, sleep, startDeployment} from '../lib-2/deployment.mjs';
import {startEngine} from '../lib-2/engine.mjs';
import {
	host, manifestOf, retentionS, service, stride,
} from '../lib-2/manifest.mjs';
import {runCase} from '../lib-2/run.mjs';

const zones = ['nord-it-a', 'nord-it-b', 'nord-it-c', 'nord-it-d'];
const budget = 1080;
const mostOfTurn = 135;
const thinkMs = 500;
const turnsBefore = 8;

/** Pause of the program in s: less than `RetentionS`, and without the disruption a short one. */
const pauseS = 56;
const shortPauseS = 10;

/** Lines of turns that come back through each of the other zones at once, and the time for opening their channels. */
const linesPerZone = 2;
const connectMs = 100;

await runCase(import.meta.url, async ({note, isTroubled, atEnd}) => {
	const {store, entries, ready, stop} = await startDeployment({zonesOfEntries: [...zones, ...zones], manifest: manifestOf(1)});
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

	let tokens = 0;
	let attempts = 0;
	async function runTurn(session, zone, start) {
		attempts++;
		const attempt = `turn-${attempts}`;
		const candidates = entries.filter(entry => entry.zone === zone);
		const entry = candidates[attempts % candidates.length];
		note(`sent ${attempt} of session ${session} to ${entry.id}`);
		const response = await send({
			host: entry.host, port: entry.port, path: '/turns/next', body: 'prompt', start, headers: {
				Host: host, 'Attempt-Id': attempt, 'Program-Id': 'p-3fa81c', 'Session-Id': session, 'Program-Deadline-Ms': 120_000, 'Token-Budget': budget,
				'Token-Count': `1840,${mostOfTurn}`, 'Deadline-Ms': 5000, Model: 'm', 'Prompt-Prefix': `5c1e07a2:1600,${session}:240`,
			},
		});
		const received = eventsOf(response.body).length * stride;
		tokens += received;
		note(`answered ${attempt}: status ${response.status}, ${received} tokens; ${tokens} of ${budget} in all`);
		return response;
	}

	for (let turn = 0; turn < turnsBefore; turn++) {
		await runTurn('aa', zones[0]);
		await sleep(thinkMs);
	}

	const refused = await runTurn('aa', zones[0]);
	if (refused.status !== 402) {
		throw new Error(`the budget should be spent, but status ${refused.status} was answered`);
	}

	const pause = isTroubled ? pauseS : shortPauseS;
	note(`the program pauses for ${pause} s; RetentionS is ${retentionS}`);
	await sleep(pause * 1000);
	const start = sleep(connectMs);
	const lines = Array.from({length: linesPerZone}, (_, line) => zones.slice(1).map(async zone => runTurn(`b${line}${zone.at(-1)}`, zone, start)));
	await Promise.all(lines.flat());
	note(`${tokens} tokens were handed out; the budget is ${budget} and the most of one turn ${mostOfTurn}`);
	return tokens > budget + mostOfTurn ? `${tokens} tokens were handed out, more than ${budget} + ${mostOfTurn}` : undefined;
});
