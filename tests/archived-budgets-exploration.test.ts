/**
Random histories of a program whose used tokens are recorded at archives while the store is away. In every history, the tokens
granted exceed the budget by at most one call, whatever is lost.
*/
import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import {most} from './fixtures/budget-cluster.js';
import {archiveFaults, type Fault, tokensOverBudget} from './fixtures/budget-histories.js';

const seedsPerHistory = Number(process.env.HICKORYFORK_SCHEDULES ?? 6);

/** What may coincide with an outage of the store. */
const losses = ['none', 'restart-all', 'power-loss', 'data-centre-loss', 'data-centre-partition', 'restart', 'pause'] as const;

const small = {archives: ['a9', 'b9', 'c9'], machines: 1};
const grown = {archives: ['a8', 'a9', 'b8', 'b9', 'c8', 'c9'], machines: 2};

async function assertWithinBudget(injected: readonly Fault[], options: typeof small): Promise<void> {
	const excesses = new Map<number, number>();
	for (let seed = 1; seed <= seedsPerHistory; seed++) {
		const tokens = await tokensOverBudget(injected, seed, undefined, options);
		if (tokens > most) {
			excesses.set(seed, tokens);
		}
	}

	assert.deepEqual([...excesses], [], 'pairs of a seed and the tokens granted beyond the budget');
}

for (const loss of losses) {
	for (const fault of archiveFaults) {
		test(`a budget is exceeded by at most one call under an outage of the store, ${loss} and ${fault}`, async () => {
			await assertWithinBudget(['outage', loss, fault], small);
		});
	}

	// Guards against a reading that takes fewer archives than hold a copy each after two disks were lost.
	test(`a budget is exceeded by at most one call under an outage of the store, ${loss} and the loss of two of six disks`, async () => {
		await assertWithinBudget(['outage', loss, 'disk-loss', 'disk-loss'], grown);
	});
}
