/**
`npm run prove`: runs all tests with more schedules, deeper explorations and a printed seed, then removes each
mechanism from a copy of the compiled code, checks that its tests fail without it, and prints a table of the
requirements. Exits with status 1 if a test fails or a removed mechanism goes unnoticed.
*/
import {execFile} from 'node:child_process';
import {
	cpSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {type Mutation, type Requirement, requirements} from './proofs.js';

const distFolder = path.dirname(path.dirname(fileURLToPath(import.meta.url)));
const root = path.dirname(distFolder);
const maximumOutputBytes = 64 * 1024 * 1024;
const seed = process.env.HICKORYFORK_SEED ?? String(20_261_204);
const environment = {
	...process.env, HICKORYFORK_SEED: seed, HICKORYFORK_SCHEDULES: '100', HICKORYFORK_DEPTH: '13',
};

/** Runs tests. Resolves to whether each passed, by its name. */
async function runTests(folder: string, options: readonly string[], env: NodeJS.ProcessEnv): Promise<Map<string, boolean>> {
	const output = await new Promise<string>(resolve => {
		const parameters = ['--test', '--test-reporter=tap', ...options, path.join(folder, 'dist/tests/')];
		execFile(process.execPath, parameters, {env, maxBuffer: maximumOutputBytes, cwd: folder}, (_error, stdout) => {
			resolve(stdout);
		});
	});
	const results = new Map<string, boolean>();
	for (const match of output.matchAll(/^\s*(not ok|ok) \d+ - (.+?)(?: # .*)?$/gmv)) {
		results.set(match[2] ?? '', match[1] === 'ok');
	}

	return results;
}

/** Whether each test of a requirement passed. */
function resultsOf(requirement: Requirement, results: ReadonlyMap<string, boolean>): boolean[] {
	return [...results].filter(([name]) => requirement.tests.some(part => name.includes(part))).map(([, passed]) => passed);
}

function applyMutation(folder: string, mutation: Mutation): void {
	const file = path.join(folder, 'dist', mutation.file);
	const text = readFileSync(file, 'utf8');
	if (!text.includes(mutation.find)) {
		throw new Error(`Cannot apply the mutation: ${mutation.file} does not contain ${mutation.find}`);
	}

	writeFileSync(file, text.replace(mutation.find, () => mutation.replace));
}

/** Whether at least one test of the requirement fails without its mechanism. */
async function failsWithout(requirement: Requirement, mutation: Mutation): Promise<boolean> {
	const folder = mkdtempSync(path.join(tmpdir(), 'hickoryfork-prove-'));
	try {
		cpSync(distFolder, path.join(folder, 'dist'), {recursive: true});
		cpSync(path.join(root, 'package.json'), path.join(folder, 'package.json'));
		symlinkSync(path.join(root, 'node_modules'), path.join(folder, 'node_modules'));
		applyMutation(folder, mutation);
		const names = requirement.tests.filter(part => !part.startsWith('SIG')).map(part => `--test-name-pattern=${part}`);
		const results = await runTests(folder, names, {...environment, HICKORYFORK_SCHEDULES: '60', HICKORYFORK_DEPTH: '8'});
		return resultsOf(requirement, results).includes(false);
	} finally {
		rmSync(folder, {recursive: true, force: true});
	}
}

console.log(`seed ${seed}`);
const results = await runTests(root, [], environment);
const failed = [...results].filter(([, passed]) => !passed).map(([name]) => name);
console.log(`${results.size - failed.length} passed, ${failed.length} failed${failed.length > 0 ? `: ${failed.join('; ')}` : ''}\n`);
console.log('| requirement | tests | holds | mechanism removed | tests fail without it |\n|---|---|---|---|---|');
let isProved = failed.length === 0;
for (const requirement of requirements) {
	const ownResults = resultsOf(requirement, results);
	const holds = ownResults.length >= requirement.tests.length && ownResults.every(Boolean);
	const fails = requirement.mutation ? await failsWithout(requirement, requirement.mutation) : undefined;
	isProved &&= holds && fails !== false;
	console.log(`| ${requirement.name} | ${ownResults.length} | ${holds ? 'yes' : 'NO'} | ${requirement.mutation?.without ?? '—'} | ${fails === undefined ? '—' : (fails ? 'yes' : 'NO')} |`);
}

process.exitCode = isProved ? 0 : 1;
