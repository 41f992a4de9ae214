#!/usr/bin/env node
/**
`hickoryfork-load`: measures the overhead of an entry. Calls a service directly, through the program's home (the entry
that owns the program) and through another entry, first at a fixed rate for the latency, then in a closed loop for the
throughput and the CPU time. Then streams model answers through both entries for the CPU time per token.
*/
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import meow from 'meow';
import {Agent} from 'undici';
import {z} from 'zod';
import {
	callerKey, type Cluster, type Entry, fetchJson, startCluster, waitFor,
} from '../standins/cluster.js';
import {percentiles} from './statistics.js';

const cli = meow(`
	Usage
	  $ hickoryfork-load [--rate N] [--seconds N]

	Options
	  --rate N     calls per second while the latency is measured, 100 by default
	  --seconds N  length of each measurement, 5 by default
`, {
	importMeta: import.meta,
	flags: {
		rate: {type: 'number', default: 100},
		seconds: {type: 'number', default: 5},
	},
});

/** Programs opened, and workers of the closed loop. */
const programs = 32;

/** Unit of CPU times in /proc (USER_HZ). */
const clockTicksPerSecond = 100;
const answerTokens = 200;

const programBody = z.object({id: z.string()});
const dumpBody = z.object({shards: z.array(z.object({home: z.object({shard: z.number()})}))});

/** A path to the service; `send` makes one call, given its number. */
type Target = {readonly name: string; readonly send: (call: number) => Promise<void>};

const agent = new Agent({connections: 128});

async function post(origin: string, path: string, key: string): Promise<void> {
	const response = await agent.request({
		origin, path, method: 'POST', headers: {authorization: `Bearer ${callerKey}`, 'idempotency-key': key}, body: '{}',
	});
	await response.body.dump();
	if (response.statusCode !== 200) {
		throw new Error(`POST ${path} failed with status ${response.statusCode}`);
	}
}

async function openPrograms(entry: Entry): Promise<string[]> {
	const ids: string[] = [];
	while (ids.length < programs) {
		const reply = await fetchJson(`http://${entry.address}/v1/programs`, {
			method: 'POST', headers: {authorization: `Bearer ${callerKey}`}, body: JSON.stringify({budget: {calls: 100_000, tokens: 100_000_000}}),
		});
		ids.push(programBody.parse(reply).id);
	}

	return ids;
}

async function ownsShards(entry: Entry): Promise<boolean> {
	const dump = dumpBody.safeParse(await fetchJson(`http://${entry.operators}/dump`));
	return dump.success && dump.data.shards.length > 0;
}

/** Picks the home of the programs and another entry. Waits until the home owns shards, so that programs opened there stay. */
async function pickEntries(cluster: Cluster): Promise<{readonly home: Entry; readonly other: Entry}> {
	const [home, other] = cluster.entries;
	if (!home || !other) {
		throw new Error('The cluster needs at least two entries');
	}

	await waitFor(`${home.id} to own shards`, async () => ownsShards(home));
	return {home, other};
}

/** Open loop: every call starts at its planned time. Resolves to the latencies since then, in ms. */
async function runAtRate(target: Target, rate: number, durationMs: number): Promise<number[]> {
	const startedAt = performance.now();
	const latencies: number[] = [];
	const calls: Array<Promise<void>> = [];
	const total = Math.floor((rate * durationMs) / 1000);
	for (let call = 0; call < total; call++) {
		const plannedAt = startedAt + ((call * 1000) / rate);
		await delay(Math.max(0, plannedAt - performance.now()));
		calls.push(target.send(call).then(() => {
			latencies.push(performance.now() - plannedAt);
		}));
	}

	await Promise.all(calls);
	return latencies;
}

/** Closed loop with 32 workers. Resolves to the calls completed per second. */
async function measureThroughput(target: Target, durationMs: number): Promise<number> {
	const stopAt = performance.now() + durationMs;
	let done = 0;
	await Promise.all(Array.from({length: programs}, async (_, worker) => {
		for (let call = worker; performance.now() < stopAt; call += programs) {
			await target.send(call);
			done++;
		}
	}));
	return (done * 1000) / durationMs;
}

/** CPU time that an entry has used so far, in user and system mode, in ms. */
function cpuTimeMs(entry: Entry): number {
	const fields = readFileSync(`/proc/${entry.child.pid}/stat`, 'utf8').split(' ');
	return ((Number(fields[13]) + Number(fields[14])) * 1000) / clockTicksPerSecond;
}

async function measure(cluster: Cluster): Promise<void> {
	const {home, other} = await pickEntries(cluster);
	const ids = await openPrograms(home);
	const [service] = cluster.services;
	const idOf = (call: number) => ids[call % ids.length] ?? '';
	let serial = 0;
	const sendThrough = (entry: Entry, route: string) => async (call: number) => {
		serial++;
		await post(`http://${entry.address}`, `/v1/programs/${idOf(call)}/services/${route}/blanks/1`, `key-${serial}`);
	};

	const targets: readonly Target[] = [
		{name: 'service directly', send: async call => post(`http://${service?.address}`, '/blanks/1', `key-${call}`)},
		{name: 'through its home', send: sendThrough(home, 'stock')},
		{name: 'through another entry', send: sendThrough(other, 'stock')},
		{name: 'through its home, not repeatable', send: sendThrough(home, 'reservations')},
	];
	const durationMs = cli.flags.seconds * 1000;
	console.log('| path | p50 (ms) | p99 (ms) | maximum calls/s | CPU ms per call, home | other entry |\n|---|---|---|---|---|---|');
	for (const target of targets) {
		await runAtRate(target, cli.flags.rate, 1000);
		const latency = percentiles(await runAtRate(target, cli.flags.rate, durationMs));
		const [homeBefore, otherBefore] = [cpuTimeMs(home), cpuTimeMs(other)];
		const rate = await measureThroughput(target, durationMs);
		const calls = rate * cli.flags.seconds;
		const share = (now: number, before: number) => ((now - before) / calls).toFixed(3);
		const cost = `${share(cpuTimeMs(home), homeBefore)} | ${share(cpuTimeMs(other), otherBefore)}`;
		console.log(`| ${target.name} | ${latency.p50.toFixed(2)} | ${latency.p99.toFixed(2)} | ${Math.round(rate)} | ${cost} |`);
	}
}

/** Streams one model answer and discards it. */
async function stream(origin: string, program: string, serial: number): Promise<void> {
	const response = await agent.request({
		origin,
		path: '/v1/chat/completions',
		method: 'POST',
		headers: {authorization: `Bearer ${callerKey}`, 'hickoryfork-program': program},
		body: JSON.stringify({
			model: 'quotes', stream: true, max_tokens: answerTokens, messages: [{role: 'user', content: `${serial} [[tokens=${answerTokens}]]`}],
		}),
	});
	await response.body.dump({limit: Number.MAX_SAFE_INTEGER});
}

/** Streams answers through the home and through another entry, and prints the throughput and the CPU time per token. */
async function measureTokens(cluster: Cluster): Promise<void> {
	const {home, other} = await pickEntries(cluster);
	const durationMs = cli.flags.seconds * 1000;
	console.log('\n| path | tokens/s | CPU ms per 1000 tokens, home | other entry |\n|---|---|---|---|');
	for (const entry of [home, other]) {
		const ids = await openPrograms(home);
		const [homeBefore, otherBefore] = [cpuTimeMs(home), cpuTimeMs(other)];
		const rate = await measureThroughput({name: entry.id, send: async call => stream(`http://${entry.address}`, ids[call % ids.length] ?? '', call)}, durationMs);
		const thousands = (rate * cli.flags.seconds * answerTokens) / 1000;
		const share = (now: number, before: number) => ((now - before) / thousands).toFixed(1);
		const name = entry === home ? 'through its home' : 'through another entry';
		console.log(`| ${name} | ${Math.round(rate * answerTokens)} | ${share(cpuTimeMs(home), homeBefore)} | ${share(cpuTimeMs(other), otherBefore)} |`);
	}
}

const cluster = await startCluster({
	dataCentres: ['padova'], entriesPerDataCentre: 2, enginesPerDataCentre: 2, servicesPerDataCentre: 1, stepMs: 4, batch: 16, logLevel: 'warn',
});
try {
	await cluster.configure();
	await cluster.ready();
	await measure(cluster);
	await measureTokens(cluster);
} finally {
	await agent.destroy();
	await cluster.stop();
	process.exitCode ??= 0;
}
