/**
Seeded runs of real entries in front of engines that break off, crash, are limited and are released anew, as callers and
engines see them: streams in order and of one version, whole answers, no more engines than the route allows.
*/
import assert from 'node:assert/strict';
import {get, type IncomingMessage} from 'node:http';
import process from 'node:process';
import {test} from 'node:test';
import {type Random} from '../src/contracts/clock.js';
import {createSeededRandom} from './fixtures/fake-clock.js';
import {type EntryProcesses, startEntryProcesses} from './fixtures/entry-processes.js';
import {
	bodyOf, type EngineRun, eventsPerStream, type FaultyEngine, startFaultyEngine,
} from './fixtures/faulty-engine.js';

const firstSeed = Number(process.env.HICKORYFORK_SEED ?? 1);
const seeds = Number(process.env.HICKORYFORK_RUNS ?? 1);

const runMs = 12_000;
const callers = 24;
const engineCount = 6;
const triesPerRequest = 4;
const host = 'agents.example';

/** Requests that may run on more engines than their route allows, by the users' rule. */
const allowedExcess = 3;

const route = {
	Host: host, Service: 'app', TimeoutMs: 4000, LatencyGoalMs: 400,
} as const;
const manifest = {
	Version: 1,
	Routes: [
		{
			...route, Name: 'turns', PathPrefix: '/turns/', Kind: 'streaming', Priority: 0, MaxAttempts: 1, Retained: false, RetentionS: 60, Sticky: true, Resumable: true, GapGoalMs: 300,
		},
		{
			...route, Name: 'lookup', PathPrefix: '/lookup/', Kind: 'idempotent', Priority: 1, MaxAttempts: 2,
		},
		{
			...route, Name: 'book', PathPrefix: '/book/', Kind: 'non_idempotent', Priority: 1, MaxAttempts: 1,
		},
	],
	Services: [{
		Name: 'app', HealthPath: '/health', MaxConns: 300, Protocol: 'h1', Tls: false,
	}],
	Limits: {
		MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000,
	},
};

const maxEngines = new Map([['turns', 1], ['lookup', 2], ['book', 1]]);

type Reply = {readonly status: number; readonly text: string; readonly isComplete: boolean; readonly seal: string | undefined};

async function readReply(response: IncomingMessage): Promise<Reply> {
	let text = '';
	response.setEncoding('utf8');
	response.on('data', chunk => {
		text += String(chunk);
	});
	let hasFailed = false;
	response.on('error', () => {
		hasFailed = true;
	});
	await new Promise(resolve => {
		response.once('close', resolve);
	});
	const seal = response.headers['server-seal'];
	return {
		status: response.statusCode ?? 0, text, isComplete: response.complete && !hasFailed, seal: typeof seal === 'string' ? seal : undefined,
	};
}

async function send(address: string, target: string, headers: Record<string, string>): Promise<Reply> {
	return new Promise(resolve => {
		const request = get(`http://${address}${target}`, {
			agent: false, headers: {host, 'deadline-ms': '4000', ...headers},
		}, response => {
			void readReply(response).then(resolve);
		});
		request.on('error', () => {
			resolve({
				status: 0, text: '', isComplete: false, seal: undefined,
			});
		});
	});
}

type Scene = {
	readonly cluster: EntryProcesses;
	readonly random: Random;
	readonly runs: EngineRun[];
	readonly problems: string[];
	readonly isOver: () => boolean;
	attempts: number;
};

function pick<Item>(random: Random, items: readonly Item[]): Item {
	const item = items[Math.floor(random.fraction() * items.length)];
	assert.ok(item !== undefined);
	return item;
}

function nextAttempt(scene: Scene): string {
	return (++scene.attempts).toString(16).padStart(16, '0');
}

const addressOf = (scene: Scene) => pick(scene.random, scene.cluster.entries).address;

/** Plays a stream that its caller takes up where it broke off. */
async function playStream(scene: Scene, target: string): Promise<void> {
	const events: Array<{readonly id: number; readonly data: string}> = [];
	let first: string | undefined;
	for (let attempt = 0; attempt < triesPerRequest; attempt++) {
		const id = nextAttempt(scene);
		const reply = await send(addressOf(scene), target, {
			'attempt-id': id, ...(first !== undefined && {'last-event-id': String(events.at(-1)?.id ?? 0), resumes: first}),
		});
		const received = reply.status === 200 ? [...reply.text.matchAll(/^id: (\d+)\ndata: (.*)\n\n/gmv)].map(([, number, data]) => ({id: Number(number), data: data ?? ''})) : [];
		events.push(...received);
		if (received.length > 0) {
			first ??= id;
		}

		if (reply.status === 200 && reply.isComplete) {
			if (events.length !== eventsPerStream) {
				scene.problems.push(`ORDER: ${target} attempt ${id} ended as complete after ${events.length} of ${eventsPerStream} events`);
			}

			break;
		}
	}

	if (events.some((event, index) => event.id !== index + 1)) {
		scene.problems.push(`ORDER: ${target} has events ${events.map(event => event.id).join(' ')}`);
	}

	if (new Set(events.map(event => event.data)).size > 1) {
		scene.problems.push(`ORDER: ${target} has events of ${[...new Set(events.map(event => event.data))].join(', ')}`);
	}
}

async function playCall(scene: Scene, target: string): Promise<void> {
	const reply = await send(addressOf(scene), target, {'attempt-id': nextAttempt(scene)});
	const engine = reply.seal?.split('.')[0] ?? '';
	if (reply.status === 200 && reply.isComplete && reply.text !== bodyOf(target, engine)) {
		scene.problems.push(`MIXED: ${target} got ${reply.text.length} of ${bodyOf(target, engine).length} bytes as a whole answer`);
	}
}

async function playCaller(scene: Scene, caller: number): Promise<void> {
	for (let number = 0; !scene.isOver(); number++) {
		const kind = pick(scene.random, ['turns', 'turns', 'lookup', 'book']);
		const target = `/${kind}/${caller}-${number}`;
		await (kind === 'turns' ? playStream(scene, target) : playCall(scene, target));
	}
}

/** Engines that are limited, crash and are released anew. */
async function playEngines(scene: Scene): Promise<void> {
	const {random, cluster} = scene;
	const engines: FaultyEngine[] = [];
	let started = 0;
	const start = async (version: string) => {
		const engine = await startFaultyEngine({
			id: `i-${(++started).toString(16).padStart(4, '0')}`, version, random,
			onRun(run) {
				scene.runs.push(run);
			},
		});
		engines.push(engine);
		cluster.store.put('servers', engine.id, {
			Service: 'app', Address: engine.address(), Zone: pick(random, ['a', 'b']), Version: version, Slots: 64, State: 'ready', ColdLeftMs: 0, Sequence: 1, born: Date.now(),
		});
	};

	const end = (engine: FaultyEngine) => {
		engines.splice(engines.indexOf(engine), 1);
		engine.crash();
		setTimeout(() => {
			cluster.store.remove('servers', engine.id);
		}, 1500 * random.fraction());
	};

	for (let index = 0; index < engineCount; index++) {
		await start('v1');
	}

	let release = 1;
	while (!scene.isOver()) {
		await new Promise(resolve => {
			setTimeout(resolve, 700);
		});
		const engine = pick(random, engines);
		switch (pick(random, ['limit', 'limit', 'crash', 'leave', 'release'] as const)) {
			case 'limit': {
				engine.setLimited(true);
				setTimeout(() => {
					engine.setLimited(false);
				}, 2000);
				break;
			}

			case 'crash': {
				end(engine);
				await start(engine.version);
				break;
			}

			case 'leave': {
				// It serves on for a while, as the users' engines do.
				cluster.store.remove('servers', engine.id);
				engines.splice(engines.indexOf(engine), 1);
				setTimeout(engine.crash, 1500);
				await start(engine.version);
				break;
			}

			case 'release': {
				release++;
				for (const old of engines.slice(0, engineCount / 2)) {
					await start(`v${release}`);
					engines.splice(engines.indexOf(old), 1);
					cluster.store.remove('servers', old.id);
					setTimeout(old.crash, 1500);
				}
			}
		}
	}

	for (const engine of engines) {
		engine.crash();
	}
}

/** Attempts that ran on more engines than their route allows, of which those that have ended since do not count. */
function checkEngines({runs, problems}: Scene): void {
	const byAttempt = new Map<string, EngineRun[]>();
	for (const run of runs) {
		byAttempt.set(run.attempt, [...byAttempt.get(run.attempt) ?? [], run]);
	}

	const excess: string[] = [];
	for (const [attempt, attempted] of byAttempt) {
		const kind = attempted[0]?.target.split('/')[1] ?? '';
		const alive = new Set(attempted.filter(run => !run.engine.hasEnded()).map(run => run.engine.id));
		if (alive.size > (maxEngines.get(kind) ?? 1)) {
			excess.push(`${attempt} (${kind}) on ${[...alive].join(', ')}`);
		}

		if (kind === 'book' && attempted.length > 1) {
			problems.push(`TWICE: ${attempt} ran ${attempted.length} times`);
		}
	}

	if (excess.length > allowedExcess) {
		problems.push(`BUDGET: ${excess.length} requests ran on more engines than their routes allow: ${excess.slice(0, 5).join('; ')}`);
	}
}

for (let seed = firstSeed; seed < firstSeed + seeds; seed++) {
	test(`run ${seed}: streams, answers and engines of requests keep the rules while engines fail`, async context => {
		const cluster = await startEntryProcesses(['a-1', 'a-2', 'b-1', 'b-2'], manifest);
		context.after(async () => {
			await cluster.stop();
		});
		await cluster.ready();
		const endsAt = performance.now() + runMs;
		const scene: Scene = {
			cluster, random: createSeededRandom(seed), runs: [], problems: [], isOver: () => performance.now() > endsAt, attempts: 0,
		};
		const playing = playEngines(scene);
		await new Promise(resolve => {
			setTimeout(resolve, 1500);
		});
		await Promise.all([playing, ...Array.from({length: callers}, async (_, caller) => playCaller(scene, caller))]);
		checkEngines(scene);
		assert.ok(scene.runs.length > 1000, `only ${scene.runs.length} runs`);
		assert.deepEqual(scene.problems.slice(0, 20), []);
	});
}
