/**
`npm run bench`: compares the naive and the adaptive scheduling policy with the same workload on stand-ins. Exits with
status 1 if a reservation ran more than once.
*/
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import meow from 'meow';
import {type PolicyName, runExperiments} from './experiments.js';
import {formatPage, formatTable} from './report.js';
import {profiles} from './workload.js';

const cli = meow(`
	Usage
	  $ npm run bench -- --profile brenta --seed 1

	Options
	  --profile NAME   size of the installation, brenta (default) or trentside
	  --seed N         seed of the workload, 1 by default
	  --seconds N      length of each of the four runs, 20 by default
	  --policy NAME    run only one policy, naive or adaptive
	  --json FILE      write the results as JSON
	  --html FILE      write the results as bar charts
`, {
	importMeta: import.meta,
	flags: {
		profile: {type: 'string', default: 'brenta', choices: ['brenta', 'trentside']},
		seed: {type: 'number', default: 1},
		seconds: {type: 'number', default: 20},
		policy: {type: 'string', choices: ['naive', 'adaptive']},
		json: {type: 'string'},
		html: {type: 'string'},
	},
});

const {flags} = cli;
const profile = flags.profile === 'trentside' ? profiles.trentside : profiles.brenta;
const isNamed = (name: string | undefined): name is PolicyName => name === 'naive' || name === 'adaptive';
const policies: readonly PolicyName[] = isNamed(flags.policy) ? [flags.policy] : ['naive', 'adaptive'];
const measures = await runExperiments({
	profile, seed: flags.seed, durationMs: flags.seconds * 1000, policies,
});
const title = `${profile.name}, seed ${flags.seed}, ${flags.seconds} s per run`;
console.log(`${title}\n\n${formatTable(measures)}\n`);
console.log(JSON.stringify(measures.map(({policy, programs, failures}) => ({policy, programs, failures}))));
if (flags.json) {
	writeFileSync(flags.json, JSON.stringify(measures, null, '\t'));
}

if (flags.html) {
	writeFileSync(flags.html, formatPage(title, measures));
}

process.exitCode = measures.every(entry => entry.repeated === 0) ? 0 : 1;
