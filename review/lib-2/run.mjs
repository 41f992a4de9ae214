/**
Runs a case: exits with 1 if its rule was broken, with 0 if it held, and with 2 if the case could not run.
*/
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {createRecord} from './record.mjs';

/** A case that takes longer could not run. */
const longestMs = 115_000;

/**
Runs a case. `play` gets the record, whether there is a disruption, and `atEnd`, which takes what has to be closed; it resolves to what
broke the rule, or to undefined.
*/
export async function runCase(url, play) {
	const {note} = createRecord(path.join(path.dirname(fileURLToPath(url)), 'record.txt'));
	const closers = [];
	const isTroubled = process.env.TROUBLE !== '0';
	let code = 2;
	const timer = setTimeout(() => {
		note('the case took too long');
		end();
	}, longestMs);

	async function end() {
		clearTimeout(timer);
		for (const close of closers.toReversed()) {
			await close();
		}

		// eslint-disable-next-line unicorn/no-process-exit -- A case is a program of its own.
		process.exit(code);
	}

	note(isTroubled ? 'with the disruption' : 'without the disruption');
	try {
		const problem = await play({
			note, isTroubled, atEnd(close) {
				closers.push(close);
			},
		});
		note(problem === undefined ? 'the rule held' : `RULE BROKEN: ${problem}`);
		console.log(problem === undefined ? 'the rule held' : `rule broken: ${problem}`);
		code = problem === undefined ? 0 : 1;
	} catch (error) {
		note(`could not run: ${error.stack}`);
		console.error(error);
	}

	await end();
}
