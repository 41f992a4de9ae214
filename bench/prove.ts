/**
`npm run prove`: runs every test with deeper searches and a printed seed, then takes each mechanism out
of a copy of the compiled code and checks that its tests fail, and lists point by point what held.
*/
import {execFile} from 'node:child_process';
import {
	cpSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {type Mutation, type Point, points} from './proofs.js';

const compiled = path.dirname(path.dirname(fileURLToPath(import.meta.url)));
const root = path.dirname(compiled);
const largestOutput = 64 * 1024 * 1024;
const seed = process.env.HICKORYFORK_SEED ?? String(20_261_204);
const environment = {
	...process.env, HICKORYFORK_SEED: seed, HICKORYFORK_SCHEDULES: '100', HICKORYFORK_DEPTH: '13',
};

/** Runs tests and resolves to the names of those that passed and failed. */
async function runTests(folder: string, extra: readonly string[], env: NodeJS.ProcessEnv): Promise<Map<string, boolean>> {
	const output = await new Promise<string>(resolve => {
		const parameters = ['--test', '--test-reporter=tap', ...extra, path.join(folder, 'dist/tests/')];
		execFile(process.execPath, parameters, {env, maxBuffer: largestOutput, cwd: folder}, (_error, stdout) => {
			resolve(stdout);
		});
	});
	const results = new Map<string, boolean>();
	for (const match of output.matchAll(/^\s*(not ok|ok) \d+ - (.+?)(?: # .*)?$/gmv)) {
		results.set(match[2] ?? '', match[1] === 'ok');
	}

	return results;
}

function resultsOf(point: Point, results: ReadonlyMap<string, boolean>): boolean[] {
	return [...results].filter(([name]) => point.tests.some(part => name.includes(part))).map(([, passed]) => passed);
}

function applyMutation(folder: string, mutation: Mutation): void {
	const file = path.join(folder, 'dist', mutation.file);
	const text = readFileSync(file, 'utf8');
	if (!text.includes(mutation.find)) {
		throw new Error(`${mutation.file} does not contain ${mutation.find}`);
	}

	writeFileSync(file, text.replace(mutation.find, () => mutation.replace));
}

/** Whether at least one test of the point fails without its mechanism. */
async function failsWithout(point: Point, mutation: Mutation): Promise<boolean> {
	const folder = mkdtempSync(path.join(tmpdir(), 'hickoryfork-prove-'));
	try {
		cpSync(compiled, path.join(folder, 'dist'), {recursive: true});
		cpSync(path.join(root, 'package.json'), path.join(folder, 'package.json'));
		symlinkSync(path.join(root, 'node_modules'), path.join(folder, 'node_modules'));
		applyMutation(folder, mutation);
		const names = point.tests.filter(part => !part.startsWith('SIG')).map(part => `--test-name-pattern=${part}`);
		const results = await runTests(folder, names, {...environment, HICKORYFORK_SCHEDULES: '60', HICKORYFORK_DEPTH: '8'});
		return resultsOf(point, results).includes(false);
	} finally {
		rmSync(folder, {recursive: true, force: true});
	}
}

console.log(`seed ${seed}`);
const results = await runTests(root, [], environment);
const failed = [...results].filter(([, passed]) => !passed).map(([name]) => name);
console.log(`${results.size - failed.length} passed, ${failed.length} failed${failed.length > 0 ? `: ${failed.join('; ')}` : ''}\n`);
console.log('| point | tests | holds | mechanism taken out | tests fail then |\n|---|---|---|---|---|');
let isProved = failed.length === 0;
for (const point of points) {
	const own = resultsOf(point, results);
	const holds = own.length >= point.tests.length && own.every(Boolean);
	const fails = point.mutation ? await failsWithout(point, point.mutation) : undefined;
	isProved &&= holds && fails !== false;
	console.log(`| ${point.name} | ${own.length} | ${holds ? 'yes' : 'NO'} | ${point.mutation?.without ?? '—'} | ${fails === undefined ? '—' : (fails ? 'yes' : 'NO')} |`);
}

process.exitCode = isProved ? 0 : 1;
