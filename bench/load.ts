#!/usr/bin/env node
/**
Hickoryfork-load: what one entry adds to a call. Asks a service directly, through the program's home and
through another entry, at a fixed rate and then as fast as it goes, all in one run.
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
	  --rate N     calls a second in the first part
	  --seconds N  length of each part
`, {
	importMeta: import.meta,
	flags: {
		rate: {type: 'number', default: 100},
		seconds: {type: 'number', default: 5},
	},
});

const programs = 32;
const ticksPerSecond = 100;
const answerTokens = 200;

const programBody = z.object({id: z.string()});
const dumpBody = z.object({shards: z.array(z.object({home: z.object({shard: z.number()})}))});

type Target = {readonly name: string; readonly ask: (call: number) => Promise<void>};

const agent = new Agent({connections: 128});

async function post(origin: string, path: string, key: string): Promise<void> {
	const response = await agent.request({
		origin, path, method: 'POST', headers: {authorization: `Bearer ${callerKey}`, 'idempotency-key': key}, body: '{}',
	});
	await response.body.dump();
	if (response.statusCode !== 200) {
		throw new Error(`${path} answered ${response.statusCode}`);
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

/** An entry that opens programs at itself, and another one. */
async function rolesOf(cluster: Cluster): Promise<{readonly home: Entry; readonly other: Entry}> {
	const [home, other] = cluster.entries;
	if (!home || !other) {
		throw new Error('Two entries are needed');
	}

	await waitFor(`${home.id} to own shards`, async () => ownsShards(home));
	return {home, other};
}

/** Open loop: every call starts at its time, and is timed from then. */
async function atRate(target: Target, rate: number, durationMs: number): Promise<number[]> {
	const startedAt = performance.now();
	const latencies: number[] = [];
	const calls: Array<Promise<void>> = [];
	const total = Math.floor((rate * durationMs) / 1000);
	for (let call = 0; call < total; call++) {
		const due = startedAt + ((call * 1000) / rate);
		await delay(Math.max(0, due - performance.now()));
		calls.push(target.ask(call).then(() => {
			latencies.push(performance.now() - due);
		}));
	}

	await Promise.all(calls);
	return latencies;
}

/** Closed loop: as many calls a second as go through. */
async function flatOut(target: Target, durationMs: number): Promise<number> {
	const until = performance.now() + durationMs;
	let done = 0;
	await Promise.all(Array.from({length: programs}, async (_, worker) => {
		for (let call = worker; performance.now() < until; call += programs) {
			await target.ask(call);
			done++;
		}
	}));
	return (done * 1000) / durationMs;
}

/** Processor time that a process has used, in ms. */
function processorMs(entry: Entry): number {
	const fields = readFileSync(`/proc/${entry.child.pid}/stat`, 'utf8').split(' ');
	return ((Number(fields[13]) + Number(fields[14])) * 1000) / ticksPerSecond;
}

async function measure(cluster: Cluster): Promise<void> {
	const {home, other} = await rolesOf(cluster);
	const ids = await openPrograms(home);
	const [service] = cluster.services;
	const idOf = (call: number) => ids[call % ids.length] ?? '';
	let serial = 0;
	const through = (entry: Entry, route: string) => async (call: number) => {
		serial++;
		await post(`http://${entry.address}`, `/v1/programs/${idOf(call)}/services/${route}/blanks/1`, `key-${serial}`);
	};

	const targets: readonly Target[] = [
		{name: 'service directly', ask: async call => post(`http://${service?.address}`, '/blanks/1', `key-${call}`)},
		{name: 'through its home', ask: through(home, 'stock')},
		{name: 'through another entry', ask: through(other, 'stock')},
		{name: 'through its home, not repeatable', ask: through(home, 'reservations')},
	];
	const durationMs = cli.flags.seconds * 1000;
	console.log('| path | p50 ms | p99 ms | calls/s flat out | processor ms a call, home | other entry |\n|---|---|---|---|---|---|');
	for (const target of targets) {
		await atRate(target, cli.flags.rate, 1000);
		const latency = percentiles(await atRate(target, cli.flags.rate, durationMs));
		const [homeBefore, otherBefore] = [processorMs(home), processorMs(other)];
		const rate = await flatOut(target, durationMs);
		const calls = rate * cli.flags.seconds;
		const share = (now: number, before: number) => ((now - before) / calls).toFixed(3);
		const cost = `${share(processorMs(home), homeBefore)} | ${share(processorMs(other), otherBefore)}`;
		console.log(`| ${target.name} | ${latency.p50.toFixed(2)} | ${latency.p99.toFixed(2)} | ${Math.round(rate)} | ${cost} |`);
	}
}

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

/** Streams answers through the home and through another entry, and states the cost of a token. */
async function measureTokens(cluster: Cluster): Promise<void> {
	const {home, other} = await rolesOf(cluster);
	const durationMs = cli.flags.seconds * 1000;
	console.log('\n| path | tokens/s | processor ms a 1000 tokens, home | other entry |\n|---|---|---|---|');
	for (const entry of [home, other]) {
		const ids = await openPrograms(home);
		const [homeBefore, otherBefore] = [processorMs(home), processorMs(other)];
		const rate = await flatOut({name: entry.id, ask: async call => stream(`http://${entry.address}`, ids[call % ids.length] ?? '', call)}, durationMs);
		const thousands = (rate * cli.flags.seconds * answerTokens) / 1000;
		const share = (now: number, before: number) => ((now - before) / thousands).toFixed(1);
		const name = entry === home ? 'through its home' : 'through another entry';
		console.log(`| ${name} | ${Math.round(rate * answerTokens)} | ${share(processorMs(home), homeBefore)} | ${share(processorMs(other), otherBefore)} |`);
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
