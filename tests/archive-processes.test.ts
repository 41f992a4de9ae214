/**
Archives as separate processes on loopback, with the command and the settings template of the deployment.
*/
import assert from 'node:assert/strict';
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	existsSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {test, type TestContext} from 'node:test';
import {fileURLToPath} from 'node:url';
import {parse} from 'smol-toml';
import {z} from 'zod';
import {as, type Address, type Milliseconds} from '../src/contracts/id.js';
import {createArchiveClient} from '../src/links/archive-client.js';
import {systemClock} from '../src/programs/runtime.js';
import {waitFor} from '../standins/cluster.js';
import {startObjectStore} from '../standins/object-store.js';
import {name, plain, recordOf} from './fixtures/turn-machine.js';
import {knownRed} from './fixtures/known-red.js';

const root = fileURLToPath(new URL('../../', import.meta.url));
const deployFile = z.object({roles: z.object({archive: z.object({run: z.string(), template: z.string()})})});
const {run, template} = deployFile.parse(parse(readFileSync(path.join(root, 'deploy/system.toml'), 'utf8'))).roles.archive;
const timeout = as<Milliseconds>(2000);

async function freePort(host: string): Promise<number> {
	const server = createServer();
	server.listen(0, host);
	await once(server, 'listening');
	const bound = server.address() ?? undefined;
	server.close();
	await once(server, 'close');
	return typeof bound === 'object' ? bound.port : 0;
}

type ArchiveProcess = {
	readonly id: string;
	readonly address: Address;
	readonly directory: string;
	readonly child: () => ChildProcess;
	readonly start: (isFirstStart: boolean) => Promise<void>;
	readonly stop: (signal: NodeJS.Signals) => Promise<number | undefined>;
};

/** Starts a store and archives, each named by its data centre and a number. Those that are `idle` are not started. */
async function createArchives(context: TestContext, ids: readonly string[], {hasDisk = true, idle = []}: {readonly hasDisk?: boolean; readonly idle?: readonly string[]} = {}) {
	const folder = mkdtempSync(path.join(tmpdir(), 'hickoryfork-'));
	const store = await startObjectStore();
	const ended = new AbortController();

	async function createProcess(id: string, index: number): Promise<ArchiveProcess> {
		const host = `127.2.${process.pid % 250}.${index + 1}`;
		const port = await freePort(host);
		const directory = path.join(folder, id);
		let child: ChildProcess | undefined;
		return {
			id,
			address: as<Address>(`${host}:${port}`),
			directory,
			child: () => child ?? assert.fail(`${id} was not started`),
			async start(isFirstStart) {
				const values = new Map(Object.entries({
					NodeName: id, Zone: id.split('-')[0] ?? '', Bootstrap: String(isFirstStart), 'Platform.Address': store.address, HeartbeatMs: '1000', Ip: host, 'PortRange.0': String(port),
					'Bounds.GraceS': '8', 'Limits.MemoryMb': '130',
					...(hasDisk && {
						DataDir: directory, 'Limits.DiskMb': '340', 'FaultTolerance.Machines': '1', 'FaultTolerance.Zones': '1',
					}),
				}));
				const file = path.join(folder, `${id}.toml`);
				writeFileSync(file, readFileSync(path.join(root, template), 'utf8').replaceAll(/\{\{([\w.]+)\}\}/gv, (_, field: string) => values.get(field) ?? ''));
				const options = run.split(' ').filter(word => word.startsWith('--'));
				child = spawn(process.execPath, [...options, fileURLToPath(new URL('../platform/archive.js', import.meta.url))], {
					env: {...process.env, HICKORYFORK_SETTINGS: file}, stdio: ['ignore', 'pipe', 'inherit'],
				});
				let output = '';
				child.stdout?.on('data', (bytes: unknown) => {
					output += String(bytes);
				});
				await waitFor(`the start of ${id}`, async () => output.includes(hasDisk ? '"event":"recovered"' : '"event":"started"'));
			},
			async stop(signal) {
				if (child?.exitCode === null && child.signalCode === null) {
					const exited = once(child, 'exit');
					child.kill(signal);
					await exited;
				}

				return child?.exitCode ?? undefined;
			},
		};
	}

	const archives = await Promise.all([...ids, ...idle].map(async (id, index) => createProcess(id, index)));
	await Promise.all(archives.slice(0, ids.length).map(async archive => archive.start(true)));
	context.after(async () => {
		ended.abort();
		await Promise.all(archives.map(async archive => archive.stop('SIGKILL')));
		await store.close();
		rmSync(folder, {recursive: true, force: true});
	});
	return {archives, store, client: createArchiveClient(ended.signal)};
}

const outlasting = 'turns outlast the end of their archive, and are at others before its machine counts as empty';

test(outlasting, knownRed(outlasting), async context => {
	const {archives, store, client} = await createArchives(context, ['a-1', 'b-1', 'c-1']);
	const [first, second, third] = archives;
	assert.ok(first && second && third);
	await waitFor('the registrations', async () => archives.every(({id}) => store.object('hickoryfork-archives', id)));
	assert.deepEqual(store.object('hickoryfork-archives', 'a-1')?.Spec, {address: first.address, dataCentre: 'a', state: 'serving'});
	assert.deepEqual(existsSync(second.directory), false);
	const records = Array.from({length: 30}, (_, index) => recordOf(`turn-${index}`, {inputBytes: 3000, ...(index > 0 && {previous: `turn-${index - 1}`})}));
	for (const record of records) {
		assert.deepEqual(await client.keep(first.address, record, timeout), {kind: 'kept'});
	}

	await first.stop('SIGKILL');
	await first.start(false);
	const chain = await client.chain(first.address, name('turn-29'), timeout);
	assert.deepEqual(chain?.records.map(record => plain(record)), records.map(record => plain(record)).toReversed());
	await third.stop('SIGTERM');
	store.put('retirements', 'a-1', {DurationS: 5});
	await waitFor('the drain', async () => JSON.stringify(store.object('retirements', 'a-1')?.Status) === '{"State":"running"}');
	const refused = await client.keep(first.address, recordOf('late'), timeout);
	assert.equal(refused.kind, 'refused');
	// Two other disks are needed, and one of them is away.
	await third.start(false);
	await waitFor('the end of the drain', async () => JSON.stringify(store.object('retirements', 'a-1')?.Status) === '{"State":"completed"}');
	await first.stop('SIGKILL');
	rmSync(first.directory, {recursive: true});
	for (const archive of [second, third]) {
		await archive.stop('SIGKILL');
		await archive.start(false);
		const found = await client.chain(archive.address, name('turn-29'), timeout);
		assert.equal(found?.records.length, 30);
	}

	second.child().kill('SIGHUP');
	assert.equal(await second.stop('SIGTERM'), 0);
});

// Guards against store calls, files and listeners in deployments without disks.
test('without a data directory an archive only watches for its retirement', async context => {
	const {archives: [archive], store, client} = await createArchives(context, ['a-1'], {hasDisk: false});
	assert.ok(archive);
	await waitFor('the watch', async () => store.calls() === 2);
	const kept = await client.keep(archive.address, recordOf('a'), timeout);
	assert.equal(kept.kind, 'unreachable');
	store.put('retirements', 'a-1', {DurationS: 5});
	await waitFor('the report', async () => JSON.stringify(store.object('retirements', 'a-1')?.Status) === '{"State":"completed"}');
	assert.equal(store.object('hickoryfork-archives', 'a-1'), undefined);
	assert.deepEqual(readdirSync(path.dirname(archive.directory)), ['a-1.toml']);
	assert.equal(await archive.stop('SIGTERM'), 0);
});

/** Time after which a machine that is back with an empty disk, or a new one in its place, no longer counts as lost: `CatchUpS` of the deployments. */
const catchUpMs = 6000;

const longerChain = Array.from({length: 40}, (_, index) => recordOf(`turn-${index}`, index === 0 ? {} : {previous: `turn-${index - 1}`}));

/** Number of turns of the chain that the best of the archives still has. */
async function turnsFoundAt(archives: readonly ArchiveProcess[], client: ReturnType<typeof createArchiveClient>): Promise<number> {
	const replies = await Promise.all(archives.map(async ({address}) => client.chain(address, name('turn-39'), timeout)));
	return Math.max(...replies.map(reply => reply?.records.length ?? 0));
}

// Guards against turns that are lost although no more disks are lost at once than the deployment tolerates.
const losesDisksInTurn = 'turns outlast the losses of two disks, the second of which comes once the first machine no longer counts as lost';
test(losesDisksInTurn, knownRed(losesDisksInTurn), async context => {
	const {archives, client} = await createArchives(context, ['a-1', 'b-1', 'c-1', 'd-1']);
	const [first, second] = archives;
	assert.ok(first && second);
	for (const {address} of [first, second]) {
		const results = await Promise.all(longerChain.map(async record => client.keep(address, record, timeout)));
		assert.ok(results.every(({kind}) => kind === 'kept'));
	}

	for (const archive of [first, second]) {
		await archive.stop('SIGKILL');
		rmSync(archive.directory, {recursive: true});
		await archive.start(false);
		assert.equal(await turnsFoundAt(archives, client), longerChain.length, `after the loss of the disk of ${archive.id}`);
		await systemClock.sleep(as<Milliseconds>(catchUpMs));
	}
});

// The same for a machine that is gone for good, whose place another one takes at another address.
const losesReplacedMachine = 'turns outlast the loss of a disk after a machine with a disk was replaced';
test(losesReplacedMachine, knownRed(losesReplacedMachine), async context => {
	const {archives, client} = await createArchives(context, ['a-1', 'b-1', 'c-1', 'd-1'], {idle: ['a-2']});
	const [first, second] = archives;
	const successor = archives.at(-1);
	assert.ok(first && second && successor);
	for (const {address} of [first, second]) {
		const results = await Promise.all(longerChain.map(async record => client.keep(address, record, timeout)));
		assert.ok(results.every(({kind}) => kind === 'kept'));
	}

	await first.stop('SIGKILL');
	await successor.start(false);
	await systemClock.sleep(as<Milliseconds>(catchUpMs));
	await second.stop('SIGKILL');
	rmSync(second.directory, {recursive: true});
	await second.start(false);
	assert.equal(await turnsFoundAt(archives.slice(1), client), longerChain.length);
});
