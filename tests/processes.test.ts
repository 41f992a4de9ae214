/**
Separate processes on loopback: SIGKILL, SIGSTOP and graceful shutdown. Each step waits for its precondition, so that the
result does not depend on the speed of the machine.
*/
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {
	after, afterEach, before, describe, test,
} from 'node:test';
import {z} from 'zod';
import {
	callerKey, type Cluster, type Entry, fetchJson, startCluster, waitFor,
} from '../standins/cluster.js';

const programBody = z.object({id: z.string()});
const dumpBody = z.object({shards: z.array(z.object({home: z.object({shard: z.number(), dataCentre: z.string()})}))});
const executionsBody = z.array(z.object({key: z.string()}));
const errorBody = z.object({error: z.object({code: z.string(), outcome: z.string()})});

describe('three entries of one data centre', () => {
	let cluster: Cluster;
	let entries: Entry[];

	before(async () => {
		cluster = await startCluster({
			dataCentres: ['padova'], entriesPerDataCentre: 3, enginesPerDataCentre: 1, servicesPerDataCentre: 1, stepMs: 20,
		});
		entries = [...cluster.entries];
		await cluster.configure();
		await cluster.ready();
	});

	afterEach(async () => {
		await setServiceFaults({});
		for (const [index, entry] of entries.entries()) {
			if (entry.child.exitCode !== null || entry.child.signalCode !== null) {
				entries[index] = await cluster.restart(entry);
			}
		}
	});

	after(async () => {
		await cluster.stop();
	});

	async function sendAsCaller(entry: Entry, path: string, body?: unknown, headers: Record<string, string> = {}): Promise<Response> {
		return fetch(`http://${entry.address}${path}`, {
			method: 'POST', headers: {authorization: `Bearer ${callerKey}`, ...headers}, ...(body !== undefined && {body: JSON.stringify(body)}),
		});
	}

	async function setServiceFaults(faults: unknown): Promise<void> {
		await fetch(`http://${service().address}/control/faults`, {method: 'POST', body: JSON.stringify(faults)});
	}

	function service() {
		const [first] = cluster.services;
		assert.ok(first);
		return first;
	}

	async function open(entry: Entry): Promise<string> {
		const response = await sendAsCaller(entry, '/v1/programs');
		return programBody.parse(await response.json()).id;
	}

	async function reserve(entry: Entry, program: string, key: string): Promise<Response> {
		return sendAsCaller(entry, `/v1/programs/${program}/services/reservations/glass`, {count: 1}, {'idempotency-key': key});
	}

	async function executions(key: string): Promise<number> {
		const all = executionsBody.parse(await fetchJson(`http://${service().address}/control/executions`));
		return all.filter(execution => execution.key === key).length;
	}

	async function owns(entry: Entry, program: string): Promise<boolean> {
		const dump = dumpBody.safeParse(await fetchJson(`http://${entry.operators}/dump`));
		return dump.success && dump.data.shards.some(shard => program.startsWith(`${shard.home.dataCentre}.${shard.home.shard}.`));
	}

	async function ownerAndOther(program: string): Promise<{readonly owner: Entry; readonly other: Entry}> {
		const owners = await Promise.all(entries.map(async entry => owns(entry, program)));
		const owner = entries[owners.indexOf(true)];
		const other = entries[owners.indexOf(false)];
		assert.ok(owner && other);
		return {owner, other};
	}

	/** Returns the number of graceful shutdowns in the log of an entry, which its restarts share, plus one. */
	function countStops(entry: Entry): number {
		return readFileSync(entry.log, 'utf8').split('"event":"stopping"').length;
	}

	async function outcomeOf(response: Response): Promise<string> {
		if (response.ok) {
			await response.text();
			return 'completed';
		}

		return errorBody.parse(await response.json()).error.outcome;
	}

	test('SIGKILL of the owner while a reservation runs: reported unknown, run once', async () => {
		const [first] = entries;
		assert.ok(first);
		const program = await open(first);
		const {owner, other} = await ownerAndOther(program);
		await setServiceFaults({hang: true});
		const answered = reserve(other, program, 'kill');
		await waitFor('the reservation to run', async () => await executions('kill') === 1);
		owner.child.kill('SIGKILL');
		assert.equal(await outcomeOf(await answered), 'unknown');
		assert.equal(await outcomeOf(await reserve(other, program, 'kill')), 'unknown');
		assert.equal(await executions('kill'), 1);
	});

	test('SIGSTOP of the owner: another entry takes over, and the resumed owner runs nothing again', async () => {
		const [first] = entries;
		assert.ok(first);
		const program = await open(first);
		const {owner, other} = await ownerAndOther(program);
		owner.child.kill('SIGSTOP');
		try {
			assert.equal(await outcomeOf(await reserve(other, program, 'freeze')), 'completed');
		} finally {
			owner.child.kill('SIGCONT');
		}

		assert.equal(await outcomeOf(await reserve(owner, program, 'freeze')), 'completed');
		assert.equal(await executions('freeze'), 1);
	});

	test('SIGTERM: the answer in progress is complete, another entry serves the next call, and the exit code is 0', async () => {
		const [first] = entries;
		assert.ok(first);
		const program = await open(first);
		const {owner, other} = await ownerAndOther(program);
		const body = {
			model: 'quotes', stream: true, max_tokens: 100, messages: [{role: 'user', content: 'long [[tokens=60]]'}],
		};
		const streaming = await sendAsCaller(owner, '/v1/chat/completions', body, {'hickoryfork-program': program});
		assert.equal(streaming.status, 200);
		owner.child.kill('SIGTERM');
		const later = sendAsCaller(other, '/v1/chat/completions', {...body, stream: false, messages: [{role: 'user', content: 'next'}]}, {'hickoryfork-program': program});
		const text = await streaming.text();
		const indexes = [...text.matchAll(/^id: \S+\.(\d+)$/gmv)].map(match => Number(match[1]));
		assert.deepEqual(indexes, Array.from({length: 60}, (_, index) => index));
		assert.equal(await outcomeOf(await later), 'completed');
		if (owner.child.exitCode === null) {
			await once(owner.child, 'exit');
		}

		assert.equal(owner.child.exitCode, 0);
	});

	test('a second SIGTERM ends the process at once with exit code 1', async () => {
		const [first] = entries;
		assert.ok(first);
		const program = await open(first);
		const {owner, other} = await ownerAndOther(program);
		await setServiceFaults({hang: true});
		const answered = reserve(other, program, 'second');
		await waitFor('the reservation to run', async () => await executions('second') === 1);
		const stops = countStops(owner);
		owner.child.kill('SIGTERM');
		await waitFor('the graceful shutdown', async () => countStops(owner) > stops);
		owner.child.kill('SIGTERM');
		await once(owner.child, 'exit');
		assert.equal(owner.child.exitCode, 1);
		assert.equal(await outcomeOf(await answered), 'unknown');
		assert.equal(await executions('second'), 1);
	});

	test('SIGUSR2 writes a state dump to the log, and metrics and explain respond', async () => {
		const [first] = entries;
		assert.ok(first);
		const program = await open(first);
		const {owner} = await ownerAndOther(program);
		await reserve(owner, program, 'explained');
		owner.child.kill('SIGUSR2');
		await waitFor('the dump', async () => readFileSync(owner.log, 'utf8').includes('"event":"dump"'));
		const metrics = await fetch(`http://${owner.operators}/metrics`);
		assert.match(await metrics.text(), /hickoryfork_events_total\{kind="execution",detail="settled"\}/v);
		const explained = z.object({events: z.array(z.object({kind: z.string(), endpoint: z.string().optional()}))}).parse(await fetchJson(`http://${owner.operators}/explain/${program}`));
		assert.deepEqual(explained.events.map(event => event.kind), ['placed', 'settled']);
		assert.equal(explained.events[0]?.endpoint, service().id);
	});
});
