/**
Random histories of turns at several instances while archives, disks, data centres, the store and all memory fail. A turn that
was kept must never be unknown to any instance, its body must always be exact, and it must be served once the faults are over.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {test} from 'node:test';
import {as, type Milliseconds, type ProgramId} from '../src/contracts/id.js';
import {
	type ConversationNode, createConversationNode, createFakeArchives, type FakeArchive, type FakeArchives, turnWith,
} from './fixtures/fake-archives.js';
import {createFakeClock, createSeededRandom} from './fixtures/fake-clock.js';

const stepMs = 20;
const historyMs = 12_000;
const faultsPerHistory = 25;
const historyCount = Number(process.env.HICKORYFORK_SCHEDULES ?? 4);
const instances = ['a0', 'a9', 'b0', 'b9', 'c0', 'd0'];

const sites = [
	{archiveIds: ['a1', 'b1', 'c1', 'd1'], machines: 1},
	{archiveIds: ['a1', 'a2', 'a3', 'b1', 'b2', 'c1', 'c2', 'd1', 'd2'], machines: 2},
];

/** A turn whose response has ended, and its part of the body of a turn that continues it, with those before it. */
type EndedTurn = {readonly name: string; readonly program: ProgramId; readonly text: string};

type Strike = {
	readonly archives: FakeArchives;
	readonly nodes: Map<string, ConversationNode>;
	readonly start: (id: string) => void;
	readonly fraction: () => number;
	/** Takes one of the losses of disks that have to be tolerated. */
	readonly mayLoseDisk: () => boolean;
};

/** Each fault returns how it ends. */
const faults: ReadonlyArray<(strike: Strike, archive: FakeArchive, instance: string) => (() => unknown) | undefined> = [
	({fraction}, archive) => {
		Object.assign(archive, {state: fraction() < 0.5 ? 'hanging' : 'full'});
		return () => Object.assign(archive, {state: 'answering'});
	},
	({fraction}, archive) => {
		Object.assign(archive, {delayMs: fraction() * 400});
		return () => Object.assign(archive, {delayMs: 0});
	},
	({mayLoseDisk}, archive) => {
		if (mayLoseDisk()) {
			archive.records.clear();
			archive.isComplete = false;
		}

		return undefined;
	},
	// A loss of power: all instances lose their memory, and the archives read their disks before they answer.
	({archives, start}) => {
		for (const id of instances) {
			start(id);
		}

		const all = archives.all().map(archive => Object.assign(archive, {state: 'starting'}));
		return () => all.map(archive => Object.assign(archive, {state: 'answering'}));
	},
	// A cut between the data centre of an archive and the others.
	({archives, nodes}, {dataCentre}) => {
		for (const [id, {unreachable}] of nodes) {
			for (const archive of archives.all().filter(other => (other.dataCentre === dataCentre) !== id.startsWith(dataCentre))) {
				unreachable.add(archive.id);
			}
		}

		return () => [...nodes.values()].map(({unreachable}) => {
			unreachable.clear();
			return unreachable;
		});
	},
	({nodes}, _archive, id) => {
		const node = Object.assign(nodes.get(id) ?? {}, {storeAccess: 'silent'});
		return () => Object.assign(node, {storeAccess: 'answering'});
	},
	({start}, _archive, id) => {
		start(id);
		return undefined;
	},
];

for (const {archiveIds, machines} of sites) {
	for (let seed = 1; seed <= historyCount; seed++) {
		test(`history ${seed} with ${archiveIds.length} archives: no kept turn is unknown or changed`, async () => {
			const clock = createFakeClock();
			const random = createSeededRandom(seed);
			const pick = (ids: readonly string[]) => ids[Math.floor(random.fraction() * ids.length)] ?? '';
			const archives = createFakeArchives(clock, archiveIds);
			const nodes = new Map<string, ConversationNode>();
			const ended: EndedTurn[] = [];
			const running: Array<Promise<void>> = [];
			const restores: Array<{readonly at: number; readonly restore: () => unknown}> = [];
			let disksToLose = machines;
			const mayLoseDisk = () => disksToLose-- > 0;

			function start(id: string): void {
				nodes.get(id)?.stop();
				nodes.set(id, createConversationNode(clock, archives, id, {tolerance: {machines, dataCentres: 1}}));
			}

			async function runTurn(instance: string, name: string, previous: EndedTurn | undefined): Promise<void> {
				const node = nodes.get(instance);
				const program = previous?.program ?? as<ProgramId>(`program-${ended.length % 40}`);
				const opened = await node?.conversations.open(turnWith(name, previous?.name, {program}));
				if (opened?.kind === 'unavailable') {
					return;
				}

				assert.ok(opened?.kind === 'opened', `${previous?.name} was kept and is ${opened?.kind} at ${instance}: ${JSON.stringify(node?.events.at(-1))}`);
				assert.equal(Buffer.from(opened.body).toString(), `${previous?.text ?? ''}<${name}>`);
				opened.recorder.event(Buffer.from(`out of ${name}`));
				const isKept = await opened.recorder.keep(as<Milliseconds>(5000));
				opened.recorder.close();
				// An instance that has lost its memory meanwhile has not sent the end of the response.
				if (isKept && nodes.get(instance) === node) {
					ended.push({name, program, text: `${previous?.text ?? ''}<${name}>out of ${name}\n`});
				}
			}

			for (const id of instances) {
				start(id);
			}

			await clock.advance(500);
			for (let elapsed = 0; elapsed < historyMs; elapsed += stepMs) {
				for (const due of restores.filter(({at}) => at <= elapsed)) {
					restores.splice(restores.indexOf(due), 1);
					due.restore();
				}

				const recent = ended.slice(-60);
				const previous = random.fraction() < 0.8 ? recent[Math.floor(random.fraction() * recent.length)] : undefined;
				running.push(runTurn(pick(instances), `turn-${elapsed}`, previous));
				if (random.fraction() < faultsPerHistory * stepMs / historyMs) {
					const fault = faults[Math.floor(random.fraction() * faults.length)];
					const restore = fault?.({
						archives, nodes, start, fraction: random.fraction, mayLoseDisk,
					}, archives.archive(pick(archiveIds)), pick(instances));
					restores.push({at: elapsed + 200 + (random.fraction() * 2500), restore: () => restore?.()});
				}

				await clock.advance(stepMs);
			}

			for (const {restore} of restores) {
				restore();
			}

			await clock.advance(8000);
			await Promise.all(running);
			assert.ok(ended.length > 100, `${ended.length} turns were kept`);
			start('d0');
			await clock.advance(1000);
			for (const turn of ended) {
				const opening = nodes.get('d0')?.conversations.open(turnWith('last', turn.name, {program: turn.program}));
				await clock.advance(20);
				const opened = await opening;
				assert.ok(opened?.kind === 'opened', `${turn.name} is ${opened?.kind}`);
				assert.equal(Buffer.from(opened.body).toString(), `${turn.text}<last>`);
				opened.recorder.close();
			}
		});
	}
}
