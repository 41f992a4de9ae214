/**
One of the three entries of a zone freezes. Meanwhile the other two count the tokens of a program; they are killed just before the
first one wakes.
*/
import {eventsOf, send} from '../lib-2/client.mjs';
import {hostOf, sleep, startDeployment} from '../lib-2/deployment.mjs';
import {startEngine} from '../lib-2/engine.mjs';
import {
	host, manifestOf, service, stride,
} from '../lib-2/manifest.mjs';
import {runCase} from '../lib-2/run.mjs';

const zones = ['nottingham', 'derby', 'leicester', 'loughborough'];

/** Entries of each zone. */
const sizes = [3, 4, 4, 3];
const zonesOfEntries = zones.flatMap((zone, index) => Array.from({length: sizes[index]}, () => zone));
const budget = 1080;
const mostOfTurn = 135;

/** Lines of turns that the program's sub-agents run in parallel. */
const lines = 3;

/** Interval between other programs, of one short turn each, that the zone serves all the while, and the most tokens of each. */
const otherIntervalMs = 100;
const mostOfOthers = 15;

/** Time for which the entry is frozen, when the program goes on meanwhile, and after which killed processes start again. */
const freezeMs = 4000;
const goOnMs = 1500;
const restartMs = 1000;

/** Rounds of parallel turns after the entry has woken; a program that loops goes on until it is refused. */
const roundsAfter = 4;

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

	const [frozen, ...killed] = entries.filter(entry => entry.zone === zones[0]);
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

	const over = new AbortController();
	async function runOthers() {
		const running = [];
		for (let number = 1; !over.signal.aborted; number++) {
			running.push(runOther(number));
			await sleep(otherIntervalMs);
		}

		await Promise.all(running);
	}

	async function runOther(number) {
		const entry = killed[number % killed.length];
		const response = await send({
			host: entry.host, port: entry.port, path: '/turns/next', body: 'prompt', headers: {
				Host: host, 'Attempt-Id': `other-${number}`, 'Program-Id': `q-${number}`, 'Session-Id': 'aa', 'Program-Deadline-Ms': 60_000, 'Token-Budget': 405,
				'Token-Count': `1840,${mostOfOthers}`, 'Deadline-Ms': 5000, Model: 'm', 'Prompt-Prefix': `${(0xA0_00 + number).toString(16)}:1840`,
			},
		});
		note(`answered other-${number}: status ${response.status}`);
	}

	const runLines = async candidates => Promise.all(Array.from({length: lines}, async (_, line) => runTurn(`b${line}`, candidates[line % candidates.length])));

	const others = runOthers();
	await sleep(1000);
	await runTurn('aa', killed[0]);
	await sleep(500);
	if (isTroubled) {
		frozen.kill('SIGSTOP');
		note(`${frozen.id} freezes`);
	}

	const wake = sleep(freezeMs);
	await sleep(goOnMs);
	await runLines(killed);
	await wake;
	over.abort();
	if (isTroubled) {
		for (const entry of killed) {
			entry.kill('SIGKILL');
			note(`${entry.id} is killed`);
		}

		frozen.kill('SIGCONT');
		note(`${frozen.id} wakes`);
		await sleep(restartMs);
		for (const entry of killed) {
			entry.restart();
			note(`${entry.id} starts again`);
		}
	}

	for (let round = 0; round < roundsAfter; round++) {
		await runLines([frozen]);
	}

	await others;
	note(`${tokens} tokens were handed out; the budget is ${budget} and the most of one turn ${mostOfTurn}`);
	return tokens > budget + mostOfTurn ? `${tokens} tokens were handed out, more than ${budget} + ${mostOfTurn}` : undefined;
});
