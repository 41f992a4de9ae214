/**
`npm run capacity`: measures how memory, messages, writes and CPU time grow with the size of the system, fits a line to
each series of measurements and writes the table of slopes into docs/CAPACITY.md.
*/
import {once} from 'node:events';
import {readFileSync, writeFileSync} from 'node:fs';
import {type Socket} from 'node:net';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {ok} from 'neverthrow';
import {z} from 'zod';
import {acceptTables, emptyConfiguration} from '../src/contracts/configuration.js';
import {
	as, type Address, type AttemptId, type CallId, type ConfigurationGeneration, type CustomerId, type DataCentreId,
	type EndpointId, type IdempotencyKey, type Incarnation, type InstanceId, type Milliseconds,
	type Nonce, type ObjectName, type ObjectVersion, type ProgramId, type RouteName, type ShardNumber,
	type Tokens,
} from '../src/contracts/id.js';
import {type Platform} from '../src/contracts/platform.js';
import {type Programs, replayRecord} from '../src/contracts/program.js';
import {type JournalRecord} from '../src/contracts/record.js';
import {parsePools, parseRoutes} from '../src/contracts/tables.js';
import {createPeers, servePeers} from '../src/links/peer.js';
import {createBackEnd} from '../src/machines/back-end.js';
import {chooseBackEnd} from '../src/machines/placement.js';
import {systemClock, systemRandom} from '../src/programs/runtime.js';
import {countTokens, promptOf} from '../src/contracts/prompt.js';
import {createJournal} from '../src/zones/journal.js';
import {createMembership, type Member} from '../src/zones/membership.js';
import {type GossipMessage} from '../src/zones/peers.js';
import {loopback} from '../standins/server.js';
import {createStubInstance} from '../tests/fixtures/stub-instance.js';
import {fitLine, type Point} from './statistics.js';

setFlagsFromString('--expose-gc');
const collectGarbage = z.custom<() => void>(value => typeof value === 'function').parse(runInNewContext('gc'));

/** Series of measurements of one quantity. */
type Measurement = {
	readonly name: string;
	/** Unit of y. */
	readonly unit: string;
	/** What x counts. */
	readonly per: string;
	readonly points: readonly Point[];
};

const padova = as<DataCentreId>('padova');
const platformLatencyMs = 5;
const answerTokens = 100;

function heapBytes(): number {
	collectGarbage();
	return process.memoryUsage().heapUsed;
}

/** Mean duration of one run, in ms. */
function meanDuration(rounds: number, run: (round: number) => void): number {
	const startedAt = performance.now();
	for (let round = 0; round < rounds; round++) {
		run(round);
	}

	return (performance.now() - startedAt) / rounds;
}

function member(index: number): Member {
	return {
		id: as<InstanceId>(`entry-data-centre-${index}`),
		dataCentre: as<DataCentreId>(`data-centre-${index % 14}`),
		address: as<Address>(`10.0.${index % 250}.${Math.floor(index / 250)}:8081`),
		incarnation: as<Incarnation>(1_796_369_344_496 + index),
		status: 'alive',
	};
}

function measureMembers(): readonly Measurement[] {
	const times: Point[] = [];
	const memory: Point[] = [];
	for (const count of [50, 200, 660]) {
		const before = heapBytes();
		const membership = createMembership(member(0), systemRandom);
		const members = Array.from({length: count - 1}, (_, index) => member(index + 1));
		membership.handle({
			kind: 'updates', reporter: padova, members, now: as<Milliseconds>(0),
		});
		memory.push({x: count, y: heapBytes() - before});
		const rounds = 500;
		const milliseconds = meanDuration(rounds, round => {
			membership.handle({kind: 'tick', now: as<Milliseconds>(round * 500)});
			membership.takeUpdates();
			membership.digest();
			membership.handle({
				kind: 'updates', reporter: padova, members: members.slice(0, 9), now: as<Milliseconds>(round * 500),
			});
		});
		times.push({x: count, y: milliseconds * 1000});
	}

	return [
		{
			name: 'probe round', unit: 'µs', per: 'member', points: times,
		},
		{
			name: 'view of members', unit: 'bytes', per: 'member', points: memory,
		},
	];
}

function endpoint(index: number) {
	return {
		id: as<EndpointId>(`engine-data-centre-${index}`),
		dataCentre: as<DataCentreId>(`data-centre-${index % 14}`),
		address: as<Address>(`10.1.${index % 250}.${Math.floor(index / 250)}:9000`),
		checksFencing: false,
	};
}

function measureEngines(): readonly Measurement[] {
	const times: Point[] = [];
	const memory: Point[] = [];
	for (const count of [250, 1000, 4000, 10_000]) {
		const before = heapBytes();
		const backEnds = Array.from({length: count}, (_, index) => createBackEnd(endpoint(index), {kind: 'engine', concurrency: 8}));
		memory.push({x: count, y: heapBytes() - before});
		const query = {
			program: as<ProgramId>('padova.1.0123456789abcdef'), prompt: as<Tokens>(2000), dataCentre: padova, excluded: new Set<EndpointId>(), now: as<Milliseconds>(0),
		};
		const milliseconds = meanDuration(Math.ceil(400_000 / count), () => {
			chooseBackEnd(backEnds, query);
		});
		times.push({x: count, y: milliseconds * 1000});
	}

	return [
		{
			name: 'placement of one call', unit: 'µs', per: 'engine of the pool', points: times,
		},
		{
			name: 'view of engines', unit: 'bytes', per: 'engine', points: memory,
		},
	];
}

function openedRecord(program: ProgramId): JournalRecord {
	return {
		kind: 'opened',
		program,
		customer: as<CustomerId>('brenta'),
		budget: {tokens: as<Tokens>(1e9), calls: 1e6, duration: as<Milliseconds>(3_600_000)},
		openedAt: as<Milliseconds>(0),
	};
}

function turnRecords(program: ProgramId, turn: number): JournalRecord[] {
	const id = `${program}-${turn}`;
	const common = {
		program, call: as<CallId>(`call-${id}`), key: as<IdempotencyKey>(`key-${id}`), digest: id, stream: as<AttemptId>(id),
	};
	const tokens = Array.from({length: answerTokens}, (_, index) => ` w${(index * 7919) % 50_000}`);
	return [
		{
			kind: 'intent',
			...common,
			route: as<RouteName>('quotes'),
			request: {kind: 'model', messages: [{role: 'user', content: `${id} ${'question '.repeat(40)}`}], limit: as<Tokens>(200)},
			attempt: as<AttemptId>(id),
			prefix: [],
			endpoint: as<EndpointId>('engine-1'),
			repeatable: true,
			reservation: {tokens: as<Tokens>(300), calls: 1},
		},
		{
			kind: 'settled',
			...common,
			outcome: {
				kind: 'completed',
				answer: {
					kind: 'message', tokens, finish: 'stop', usage: {prompt: as<Tokens>(100), cached: as<Tokens>(0), completion: as<Tokens>(answerTokens)},
				},
			},
			used: {tokens: as<Tokens>(200), calls: 1},
		},
	];
}

/** Adds programs with a number of turns each. */
function build(programs: Programs, count: number, turns: number): void {
	for (let index = 0; index < count; index++) {
		const program = as<ProgramId>(`padova.1.program${index}`);
		const records: JournalRecord[] = [openedRecord(program), ...Array.from({length: turns}, (_, turn) => turnRecords(program, turn)).flat()];
		for (const record of records) {
			replayRecord(programs, record);
		}
	}
}

function measurePrograms(): readonly Measurement[] {
	const perProgram: Point[] = [];
	for (const count of [500, 1000, 2000]) {
		const before = heapBytes();
		const programs: Programs = new Map();
		build(programs, count, 1);
		perProgram.push({x: count, y: heapBytes() - before});
	}

	const perTurn: Point[] = [];
	const prompts: Point[] = [];
	for (const turns of [10, 100, 550]) {
		const before = heapBytes();
		const programs: Programs = new Map();
		build(programs, 20, turns);
		perTurn.push({x: turns, y: (heapBytes() - before) / 20});
		const [program] = programs.values();
		if (program) {
			const milliseconds = meanDuration(50, () => {
				countTokens(promptOf(program, {kind: 'model', messages: [], limit: as<Tokens>(1)}));
			});
			prompts.push({x: turns, y: milliseconds * 1000});
		}
	}

	const replays: Point[] = [];
	for (const turns of [50, 200, 800]) {
		const program = as<ProgramId>('padova.1.program0');
		const records = [openedRecord(program), ...Array.from({length: turns}, (_, turn) => turnRecords(program, turn)).flat()];
		replays.push({
			x: records.length, y: meanDuration(5, () => {
				const programs: Programs = new Map();
				for (const record of records) {
					replayRecord(programs, record);
				}
			}) * 1000,
		});
	}

	return [
		{
			name: 'program with one turn', unit: 'bytes', per: 'program', points: perProgram,
		},
		{
			name: 'history of a program', unit: 'bytes', per: 'turn of 200 tokens', points: perTurn,
		},
		{
			name: 'prompt of a call', unit: 'µs', per: 'turn before it', points: prompts,
		},
		{
			name: 'replay at a takeover', unit: 'µs', per: 'record', points: replays,
		},
	];
}

function measureConfiguration(): readonly Measurement[] {
	const times: Point[] = [];
	const sizes: Point[] = [];
	for (const count of [100, 1000, 10_000]) {
		const pools = {
			pools: Array.from({length: 40}, (_, pool) => ({
				name: `pool-${pool}`,
				kind: 'engine',
				concurrency: 8,
				endpoints: Array.from({length: Math.ceil(count / 40)}, (_, index) => endpoint((pool * 250) + index)),
			})),
		};
		const routes = {
			routes: Array.from({length: 40}, (_, index) => ({
				kind: 'model', name: `model-${index}`, pool: `pool-${index}`, timeoutMs: 1000, maximumTokens: 100,
			})),
		};
		sizes.push({x: count, y: JSON.stringify(pools).length});
		times.push({
			x: count, y: meanDuration(5, () => {
				const tables = {
					routes: parseRoutes(routes)._unsafeUnwrap(), pools: parsePools(pools)._unsafeUnwrap(), sources: {routes: as<ObjectVersion>(1), pools: as<ObjectVersion>(1)},
				};
				acceptTables(emptyConfiguration, tables);
			}) * 1000,
		});
	}

	return [
		{
			name: 'checking both tables', unit: 'µs', per: 'endpoint', points: times,
		},
		{
			name: 'pools table', unit: 'bytes', per: 'endpoint', points: sizes,
		},
	];
}

/** Creates an in-memory platform that takes 5 ms for each request and counts writes. */
function createSlowPlatform() {
	const objects = new Map<string, {version: number; value: unknown}>();
	const counts = {writes: 0, bytes: 0};
	const platform: Platform = {
		async read(name) {
			await delay(platformLatencyMs);
			const object = objects.get(name);
			return ok({version: as<ObjectVersion>(object?.version ?? 0), value: object?.value});
		},
		async update(name, expected, value) {
			counts.writes++;
			counts.bytes += JSON.stringify(value).length;
			await delay(platformLatencyMs);
			if ((objects.get(name)?.version ?? 0) !== expected) {
				return {kind: 'conflict'};
			}

			objects.set(name, {version: expected + 1, value});
			return {kind: 'written', version: as<ObjectVersion>(expected + 1)};
		},
		remove: async (_name: ObjectName, expected) => ({kind: 'written', version: expected}),
		async watch() {
			throw new Error('not used here');
		},
		async instances() {
			throw new Error('not used here');
		},
	};
	return {platform, counts};
}

/** Runs a journal under a rate of calls per second for 3 s; counts platform writes and the CPU time per call in µs. */
async function measureCommitsAt(rate: number, windowMs: number): Promise<{readonly writes: number; readonly bytes: number; readonly calls: number; readonly cpu: number}> {
	const {platform, counts} = createSlowPlatform();
	const stopping = new AbortController();
	const journal = createJournal({
		home: {dataCentre: padova, shard: as<ShardNumber>(0)},
		instance: as<InstanceId>('entry'),
		incarnation: as<Incarnation>(1),
		platform,
		peerReplicas: {
			hold: async () => ok(),
			collect: async () => [],
			release() {
				// No replica is stored.
			},
		},
		clock: systemClock,
		nextNonce: () => as<Nonce>(systemRandom.unique()),
		commitWindow: as<Milliseconds>(windowMs),
		signal: stopping.signal,
	});
	const opened = await journal.open();
	const programs = opened._unsafeUnwrap();
	const before = {...counts};
	const usage = process.cpuUsage();
	const durationMs = 3000;
	const startedAt = performance.now();
	let calls = 0;
	const pending: Array<Promise<unknown>> = [];
	while (performance.now() - startedAt < durationMs) {
		const due = Math.floor(((performance.now() - startedAt) * rate) / 1000);
		for (; calls < due; calls++) {
			const program = as<ProgramId>(`padova.0.program${calls % 100}`);
			const records = [...(calls < 100 ? [openedRecord(program)] : []), ...turnRecords(program, calls)];
			for (const record of records) {
				replayRecord(programs, record);
				pending.push(journal.append([record]).committed);
			}
		}

		await delay(2);
	}

	await Promise.all(pending);
	const used = process.cpuUsage(usage);
	stopping.abort();
	return {
		writes: counts.writes - before.writes, bytes: counts.bytes - before.bytes, calls, cpu: (used.user + used.system) / calls,
	};
}

async function measureCommits(): Promise<readonly Measurement[]> {
	const measurements: Measurement[] = [];
	for (const windowMs of [0, 1000]) {
		const writes: Point[] = [];
		const bytes: Point[] = [];
		for (const rate of [20, 100, 400]) {
			const result = await measureCommitsAt(rate, windowMs);
			writes.push({x: rate, y: result.writes / 3});
			bytes.push({x: rate, y: result.bytes / 3});
		}

		measurements.push({
			name: `platform writes of one shard, window ${windowMs} ms`, unit: 'writes/s', per: 'call/s', points: writes,
		}, {
			name: `bytes written by one shard, window ${windowMs} ms`, unit: 'bytes/s', per: 'call/s', points: bytes,
		});
	}

	return measurements;
}

async function measureGossip(): Promise<readonly Measurement[]> {
	const points: Point[] = [];
	const token = 'token-of-sixteen-or-more';
	const stopping = new AbortController();
	const peers = createPeers({token, signal: stopping.signal});
	for (const updates of [0, 4, 8]) {
		const message: GossipMessage = {
			from: member(0),
			members: Array.from({length: updates}, (_, index) => member(index)),
			digest: 123_456_789,
			generation: as<ConfigurationGeneration>(20_000),
			endpoints: [],
			crashes: [],
			paces: [],
		};
		const server = await servePeers({
			instance: createStubInstance({answerGossip: () => message}), host: loopback, port: 0, token,
		});
		const sockets: Socket[] = [];
		server.on('connection', socket => {
			sockets.push(socket);
		});
		const address = server.address();
		const peer: Member = {...member(1), address: as<Address>(`${loopback}:${typeof address === 'object' && address ? address.port : 0}`)};
		const exchanges = 200;
		for (let exchange = 0; exchange < exchanges; exchange++) {
			await peers.gossip(peer, message);
		}

		const total = sockets.reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0);
		points.push({x: updates, y: total / exchanges});
		server.close();
		server.closeAllConnections();
		await once(server, 'close');
	}

	stopping.abort();
	return [{
		name: 'probe and acknowledgement', unit: 'bytes', per: 'member update', points,
	}];
}

function formatNumber(value: number): string {
	const size = Math.abs(value);
	if (size >= 1000) {
		return Math.round(value).toLocaleString('en');
	}

	return size >= 10 ? value.toFixed(1) : value.toPrecision(3);
}

function formatTable(measurements: readonly Measurement[]): string {
	const head = '| what | points | at zero | slope | largest residual |\n|---|---|---|---|---|';
	const rows = measurements.map(measurement => {
		const line = fitLine(measurement.points);
		const points = measurement.points.map(point => `${formatNumber(point.x)}: ${formatNumber(point.y)}`).join('; ');
		return `| ${measurement.name} (${measurement.unit}) | ${points} | ${formatNumber(line.intercept)} | ${formatNumber(line.slope)} a ${measurement.per} | ${(line.residual * 100).toFixed(0)}% |`;
	});
	return [head, ...rows].join('\n');
}

const measurements: Measurement[] = [
	...measureMembers(), ...measureEngines(), ...measurePrograms(), ...measureConfiguration(), ...await measureGossip(), ...await measureCommits(),
];
const table = formatTable(measurements);
console.log(table);
const file = 'docs/CAPACITY.md';
const page = readFileSync(file, 'utf8');
const [start, end] = ['<!-- slopes: written by npm run capacity -->', '<!-- end of slopes -->'];
const [before = '', rest = ''] = page.split(start);
writeFileSync(file, `${before}${start}\n\n${table}\n\n${end}${rest.split(end)[1] ?? ''}`);
