/**
The turn store on a disk in memory: random histories of crashes and faults, against a model of what was acknowledged.
*/
import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import fc from 'fast-check';
import {type TurnRecord} from '../src/contracts/turn.js';
import {decodeTurn, encodeTurn} from '../src/machines/turn-store/turn-encoding.js';
import {extentOf} from '../src/machines/turn-store/turn-index.js';
import {createSeededRandom} from './fixtures/fake-clock.js';
import {
	createMachine, name, plain, recordOf, retentionMs,
} from './fixtures/turn-machine.js';

const seed = Number(process.env.HICKORYFORK_SEED ?? 1);
const histories = Number(process.env.HICKORYFORK_SCHEDULES ?? 60);

const actions = fc.oneof(
	{
		weight: 12, arbitrary: fc.record({
			kind: fc.constant('keep' as const), count: fc.integer({min: 1, max: 6}), inputBytes: fc.constantFrom(0, 300, 5000, 40_000), isPartial: fc.boolean(),
		}),
	},
	{weight: 8, arbitrary: fc.record({kind: fc.constant('wait' as const), ms: fc.constantFrom(0, 3, 40, 1500)})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('wait' as const), ms: fc.constantFrom(20_000, 100_000)})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('check' as const)})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('crash' as const)})},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('power' as const), seed: fc.integer({min: 1, max: 1000})})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('replace' as const)})},
	{
		weight: 2, arbitrary: fc.record({
			kind: fc.constant('disk' as const), isFull: fc.boolean(), isHanging: fc.boolean(), latency: fc.constantFrom(0, 5, 700), failingSyncs: fc.constantFrom(0, 0, 1),
		}),
	},
);

type Action = typeof actions extends fc.Arbitrary<infer Value> ? Value : never;

/** Plays a history. After each start, every acknowledged turn within its retention has to be found as it was sent. */
async function playHistory(history: readonly Action[]): Promise<void> {
	const machine = createMachine({seed});
	const {clock, disk, after} = machine;
	const sent = new Map<string, TurnRecord[]>();
	/** Turns by their longest acknowledged record, with the time of its acknowledgement. */
	const kept = new Map<string, {readonly extent: number; readonly at: number}>();
	/** Turns whose longest acknowledged record was lost with the disk. */
	const lost = new Set<string>();
	let store = await machine.start(true);
	let incarnation = 0;
	let number = 0;

	function keep(turn: string, record: TurnRecord): void {
		const own = incarnation;
		sent.set(turn, [...sent.get(turn) ?? [], record]);
		const extent = extentOf(record.content);
		void store.keep(record).then(result => {
			if (result.kind === 'kept' && own === incarnation) {
				const before = kept.get(turn);
				const known = before && clock.now() <= before.at + retentionMs ? before.extent : 0;
				kept.set(turn, {extent: Math.max(extent, known), at: clock.now()});
				if (extent >= known) {
					lost.delete(turn);
				}
			}
		});
	}

	/** With `isImpaired`, the disk may not return a record in time. */
	async function check(isImpaired: boolean): Promise<void> {
		for (const [turn, records] of sent) {
			// It may be acknowledged during the read.
			const entry = kept.get(turn);
			const reply = await after(store.chain(name(turn)));
			const [found] = reply.records;
			assert.ok(!found || records.some(record => plain(record) === plain(found)), `${turn} was returned damaged`);
			for (const record of reply.records) {
				assert.ok(sent.get(record.turn)?.some(other => plain(other) === plain(record)), `${record.turn} was returned damaged in a chain`);
			}

			if (entry && clock.now() <= entry.at + retentionMs) {
				const extent = found?.content.kind === 'partial' ? found.content.lastEvent : found && Infinity;
				const isFound = extent !== undefined && extent >= entry.extent;
				const isDoubtful = (isImpaired || lost.has(turn)) && !reply.isComplete;
				assert.ok(isFound || isDoubtful, `${turn} was acknowledged at ${entry.at} and is not found at ${clock.now()}`);
			}

			if (store.holds(name(turn)) && !kept.has(turn)) {
				// Another archive that is emptied relies on it.
				kept.set(turn, {extent: Infinity, at: clock.now()});
			}
		}
	}

	async function restart(): Promise<void> {
		incarnation++;
		disk.hang(false);
		disk.latency = 0;
		store = await machine.start();
		await check(false);
	}

	for (const action of history) {
		switch (action.kind) {
			case 'keep': {
				for (let index = 0; index < action.count; index++) {
					number++;
					const previous = number % 5 === 0 ? undefined : `turn-${number - 1}`;
					const turn = `turn-${action.isPartial ? Math.ceil(number / 2) : number}`;
					keep(turn, recordOf(turn, {previous, inputBytes: action.inputBytes, ...(action.isPartial && {lastEvent: number})}));
				}

				break;
			}

			case 'wait': {
				await clock.advance(action.ms);
				break;
			}

			case 'check': {
				await check(true);
				break;
			}

			case 'crash': {
				disk.crash();
				await restart();
				break;
			}

			case 'power': {
				disk.losePower(createSeededRandom(action.seed));
				await restart();
				break;
			}

			case 'replace': {
				for (const turn of kept.keys()) {
					lost.add(turn);
				}

				disk.replace();
				await restart();
				break;
			}

			case 'disk': {
				disk.isFull = action.isFull;
				disk.latency = action.latency;
				disk.failingSyncs = action.failingSyncs;
				disk.hang(action.isHanging);
			}
		}
	}

	disk.losePower(createSeededRandom(number + 1));
	await restart();
}

// Guards against turns that are lost, damaged or denied after any sequence of faults.
test('every acknowledged turn is found as it was sent after each crash, loss of power and loss of the disk', async () => {
	await fc.assert(fc.asyncProperty(fc.array(actions, {minLength: 10, maxLength: 60}), playHistory), {seed, numRuns: histories, includeErrorInReport: true});
});

// Guards against an encoding that loses the difference between an absent and an empty name, or accepts other bytes.
test('a turn is decoded as it was encoded, and no other bytes are decoded to one', () => {
	const text = fc.oneof(fc.string({unit: 'grapheme'}), fc.constant('\uFEFFx'));
	const bytes = fc.uint8Array({maxLength: 300});
	const content = fc.oneof(
		fc.record({kind: fc.constant('whole' as const), input: bytes, output: bytes}),
		fc.record({kind: fc.constant('partial' as const), lastEvent: fc.nat(), output: bytes}),
	);
	fc.assert(fc.property(fc.record({
		turn: text, previous: fc.option(text, {nil: undefined}), workspace: fc.option(text, {nil: undefined}), retention: fc.nat(), content,
	}), fc.nat(400), (fields, length) => {
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- The names are not branded yet.
		const record = fields as unknown as TurnRecord;
		const encoded = encodeTurn(record);
		assert.ok(encoded);
		assert.deepEqual(plain(decodeTurn(encoded)), plain(record));
		const cut = decodeTurn(encoded.subarray(0, length));
		assert.ok(!cut || plain(cut) !== plain(record) || length >= encoded.length);
		decodeTurn(fields.content.output);
	}), {seed, numRuns: 500});
});
