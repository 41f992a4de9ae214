/**
A program that loops without end, as the protocol page tells it: turn after turn until it is stopped; it sends a turn
twice more after a 402, and a turn that failed from its start again, at most twice.
*/
import {newId, send} from './consumer.js';
import {sleep} from './deployment.js';
import {stride} from './engine.js';
import {host, streamPath} from './manifest.js';

export async function runProgram({deployment, zone, consumer, budget, most, isStopped, onAttempt, pauseMs = 100, id = newId()}) {
	let received = 0;
	let refusals = 0;
	let failures = 0;
	let turn = 1;
	while (!isStopped(received) && refusals <= 2) {
		const result = await send(deployment.machineFor(zone, consumer), {
			host, path: `${streamPath}${id}/${turn}`, headers: {
				model: 'm',
				'program-id': id,
				'session-id': id,
				'program-deadline-ms': '60000',
				'token-budget': String(budget),
				'token-count': `200,${most}`,
				'prompt-prefix': `${id}:200`,
			},
		});
		const tokens = result.events.length * stride;
		received += tokens;
		onAttempt({
			program: id, turn, ...result, tokens, received,
		});
		if (result.status === 402) {
			refusals++;
			await sleep(200);
		} else if (result.status === 200 && result.isComplete) {
			turn++;
			failures = 0;
		} else {
			failures++;
			if (failures > 12) {
				break;
			}

			await sleep(300);
		}

		await sleep(pauseMs);
	}

	return {program: id, received, refusals};
}
