/**
Disks that are lost again and again, never more at once than the deployment tolerates. A turn that was kept must be found by any
instance for its retention.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {test} from 'node:test';
import {ok} from 'neverthrow';
import {
	as, type Address, type DataCentreId, type Milliseconds, type ProgramId,
} from '../src/contracts/id.js';
import {copiesFor} from '../src/contracts/tolerance.js';
import {createArchivedRecords} from '../src/zones/archived-records.js';
import {createArchiveFleet} from './fixtures/archive-fleet.js';
import {createConversationNode, turnWith} from './fixtures/fake-archives.js';
import {timed} from './fixtures/conversation-scene.js';
import {createSeededRandom} from './fixtures/fake-clock.js';
import {knownRed} from './fixtures/known-red.js';
import {retentionMs, usedRecord} from './fixtures/turn-machine.js';

const ids = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2', 'd1', 'd2'];
const tolerance = {machines: 2, dataCentres: 1};
const historyCount = Number(process.env.HICKORYFORK_SCHEDULES ?? 2);
const turnGapMs = 100;
const historyMs = 40_000;
const downMs = 1000;

/** Time from a machine's return, or the start of its successor, until others may be lost: `CatchUpS` of the deployments. */
const catchUpMs = 6000;

type Loss = {readonly kind: 'disk' | 'machine'};

const losses: ReadonlyArray<{readonly name: string; readonly draw: (fraction: number) => Loss}> = [
	{name: 'disks', draw: () => ({kind: 'disk'})},
	{name: 'disks and machines', draw: fraction => ({kind: fraction < 0.5 ? 'disk' : 'machine'})},
];

for (const {name, draw} of losses) {
	for (let seed = 1; seed <= historyCount; seed++) {
		const title = `history ${seed} of ${name} that are lost two at a time: every kept turn is found`;
		test(title, knownRed(title), async () => {
			const random = createSeededRandom(seed);
			const archives = await createArchiveFleet({ids, tolerance});
			const {clock} = archives;
			const nodes = ['a0', 'b0', 'c0', 'd0'].map(id => createConversationNode(clock, archives, id, {tolerance}));
			const kept: string[] = [];
			let machineCount = ids.length;
			const returns: Array<{readonly at: number; readonly run: () => void}> = [];
			let nextLossAt = 4000;

			async function keep(turn: string): Promise<void> {
				const node = nodes[Math.floor(random.fraction() * nodes.length)];
				const opened = await node?.conversations.open(turnWith(turn, undefined, {program: as<ProgramId>(turn)}));
				if (opened?.kind !== 'opened') {
					return;
				}

				opened.recorder.event(Buffer.from(`out of ${turn}`));
				if (await opened.recorder.keep(as<Milliseconds>(5000))) {
					kept.push(turn);
				}

				opened.recorder.close();
			}

			function lose(id: string, elapsed: number): void {
				const {kind} = draw(random.fraction());
				const successor = kind === 'machine' ? `${id.slice(0, 1)}${++machineCount}` : id;
				archives.loseDisks(id);
				returns.push({
					at: elapsed + downMs,
					run() {
						if (successor === id) {
							void archives.restore(id);
						} else {
							archives.remove(id);
							void archives.add(successor);
						}
					},
				});
			}

			await clock.advance(500);
			const running: Array<Promise<void>> = [];
			for (let elapsed = 0; elapsed < historyMs; elapsed += turnGapMs) {
				for (const due of returns.splice(0).filter(({at, ...rest}) => at <= elapsed || !returns.push({at, ...rest}))) {
					due.run();
				}

				if (elapsed >= nextLossAt) {
					nextLossAt = elapsed + downMs + catchUpMs + turnGapMs;
					const candidates = [...archives.ids()];
					for (let count = 0; count < tolerance.machines; count++) {
						const [id] = candidates.splice(Math.floor(random.fraction() * candidates.length), 1);
						lose(id ?? assert.fail(), elapsed);
					}
				}

				running.push(keep(`turn-${elapsed}`));
				await clock.advance(turnGapMs);
			}

			await clock.advance(downMs);
			for (const {run} of returns) {
				run();
			}

			await clock.advance(catchUpMs);
			await Promise.all(running);
			assert.ok(kept.length > 300, `${kept.length} turns were kept`);
			const node = createConversationNode(clock, archives, 'a9', {tolerance});
			await clock.advance(1000);
			const lost: string[] = [];
			for (const turn of kept) {
				const {value: opened} = await timed(clock, node.conversations.open(turnWith(`after ${turn}`, turn, {program: as<ProgramId>(turn)})));
				if (opened.kind === 'opened') {
					opened.recorder.close();
				} else {
					lost.push(turn);
				}
			}

			assert.ok(clock.now() < retentionMs, 'the turns have been looked up within their retention');
			assert.deepEqual(lost, [], `${lost.length} of ${kept.length} turns are not found`);
		});
	}
}

// Guards against instances that are never warm after a loss of all memory, although no record is missing.
const replacesMachines = 'records of used tokens are read after a machine with a disk was added and two were replaced, one after the other';
test(replacesMachines, knownRed(replacesMachines), async () => {
	const archives = await createArchiveFleet({ids, tolerance});
	const {clock} = archives;
	const link = archives.linkOf(() => true);
	await clock.advance(500);
	const keeping = Promise.all(['a1', 'b2', 'd1'].map(async id => link.keep(as<Address>(id), usedRecord('program', 700), as<Milliseconds>(1000))));
	await clock.advance(500);
	const kept = await keeping;
	assert.ok(kept.every(({kind}) => kind === 'kept'));
	for (const [added, replaced] of [['a3', undefined], ['b3', 'b1'], ['c3', 'c1']] as const) {
		if (replaced !== undefined) {
			archives.remove(replaced);
		}

		await archives.add(added);
		await clock.advance(downMs + catchUpMs);
	}

	const records = createArchivedRecords({
		records: {write: async () => true, load: async () => ok({records: [], addresses: []})},
		dataCentre: as<DataCentreId>('a'),
		address: as<Address>('a0:1'),
		keepsTurns: () => true,
		keepAtArchives: async () => undefined,
		required: copiesFor(tolerance),
		store: archives.store.connect(() => 'answering'),
		link,
		clock,
		onEvent: () => undefined,
	});
	const loading = records.load();
	await clock.advance(3000);
	const loaded = await loading;
	assert.deepEqual(loaded.match(({records: found}) => found.map(({used}) => used), ({message}) => message), [700]);
});
