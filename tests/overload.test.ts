/**
Instances with less processor time than their callers need go on with the programs that have begun, in place of beginning all and ending
none; and they begin all again soon after the load is over.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {as, type AttemptId, type Milliseconds} from '../src/contracts/id.js';
import {type RelayRequest} from '../src/contracts/relay-request.js';
import {type Admission, createOverload, type Overload} from '../src/machines/overload.js';
import {createFakeClock, createSeededRandom} from './fixtures/fake-clock.js';
import {
	admitsAll, createRelayHarness, endpointWith, requestWith, routeWith, turn,
} from './fixtures/relay-harness.js';

const sampleMs = 100;

/** Work of a call, in ms of processor time: each of its steps waits for the event loop again. */
const stepsPerCall = 6;
const stepMs = 6;
const refusalMs = 2;

const callsPerProgram = 6;
const pauseMs = 100;

/** What callers do: they wait for some time, and try again a few times. */
const patienceMs = 1200;
const triesPerCall = 3;
const returnMs = 250;

/** Programs that an instance can serve in a second. */
const capacity = 1000 / (callsPerProgram * stepsPerCall * stepMs);

const loadBefore = 0.8;
const pushFromMs = 5000;
const pushToMs = 10_000;
const endMs = 25_000;

/** Time after the push within which the instance has to be back. */
const recoveryMs = 3000;

type Program = {readonly at: number; isEnded: boolean};

/** Replays callers at an instance whose processor does one step after the other. Returns its programs. */
async function replay(overload: Pick<Overload, 'admit' | 'recordDelay'>, load: number, pushedLoad: number): Promise<readonly Program[]> {
	const clock = createFakeClock();
	const random = createSeededRandom(7);
	const programs: Program[] = [];
	let busyUntil = 0;

	async function work(ms: number): Promise<void> {
		busyUntil = Math.max(busyUntil, clock.now()) + ms;
		await clock.sleep(as<Milliseconds>(busyUntil - clock.now()));
	}

	/** Serves one try of a call, until its caller gives up. */
	async function serve(isFirst: boolean): Promise<Admission | 'answered' | 'given-up'> {
		const until = clock.now() + patienceMs;
		await work(refusalMs);
		const admission = overload.admit({kind: isFirst ? 'begins-program' : 'other'});
		if (admission.kind === 'refused') {
			return admission;
		}

		for (let step = 0; step < stepsPerCall && clock.now() < until; step++) {
			await work(stepMs);
		}

		return clock.now() < until ? 'answered' : 'given-up';
	}

	async function call(isFirst: boolean): Promise<boolean> {
		for (let attempt = 0; attempt < triesPerCall; attempt++) {
			const outcome = await serve(isFirst);
			if (outcome === 'answered') {
				return true;
			}

			const wait = outcome !== 'given-up' && outcome.kind === 'refused' ? outcome.retryAfter : returnMs;
			await clock.sleep(as<Milliseconds>(wait));
		}

		return false;
	}

	async function runProgram(): Promise<void> {
		const program: Program = {at: clock.now(), isEnded: false};
		programs.push(program);
		for (let index = 0; index < callsPerProgram; index++) {
			if (!await call(index === 0)) {
				return;
			}

			await clock.sleep(as<Milliseconds>(pauseMs));
		}

		program.isEnded = true;
	}

	async function arrive(): Promise<void> {
		while (clock.now() < endMs) {
			const isPushed = clock.now() >= pushFromMs && clock.now() < pushToMs;
			const perMs = capacity * (isPushed ? pushedLoad : load) / 1000;
			await clock.sleep(as<Milliseconds>(-Math.log(1 - random.fraction()) / perMs));
			void runProgram();
		}
	}

	async function sample(): Promise<void> {
		for (;;) {
			await clock.sleep(as<Milliseconds>(sampleMs));
			overload.recordDelay(as<Milliseconds>(Math.max(0, busyUntil - clock.now())));
		}
	}

	void arrive();
	void sample();
	await clock.advance(endMs + 20_000);
	return programs;
}

/** Programs that began in a span and ended, a second, as a share of what the instance can serve. */
function servedIn(programs: readonly Program[], from: number, to: number): number {
	return programs.filter(({at, isEnded}) => at >= from && at < to && isEnded).length / ((to - from) / 1000) / capacity;
}

const never = {...admitsAll, recordDelay: () => undefined};

for (const pushed of [1.5, 2, 3]) {
	test(`an instance ends programs under ${pushed} times the load that it can bear, and all soon after`, async t => {
		const without = await replay(never, loadBefore, pushed);
		const programs = await replay(createOverload(createSeededRandom(3)), loadBefore, pushed);
		const during = servedIn(programs, pushFromMs, pushToMs);
		const after = servedIn(programs, pushToMs + recoveryMs, endMs);
		const [duringWithout, afterWithout] = [servedIn(without, pushFromMs, pushToMs), servedIn(without, pushToMs + recoveryMs, endMs)];
		t.diagnostic(`of the capacity during and after: ${during.toFixed(2)} and ${after.toFixed(2)}, without turning away ${duringWithout.toFixed(2)} and ${afterWithout.toFixed(2)}`);
		assert.ok(during >= 0.5, `${during.toFixed(2)} of the capacity during the push`);
		assert.ok(after >= 0.9 * loadBefore, `${after.toFixed(2)} of the capacity after the push`);
	});
}

test('an instance that stood still for seconds goes on admitting new programs', () => {
	const overload = createOverload(createSeededRandom(1));
	const shares = [3000, ...Array.from({length: 2000 / sampleMs}, () => 0)].map(delay => {
		overload.recordDelay(as<Milliseconds>(delay));
		return overload.admittedShare();
	});
	assert.ok(Math.min(...shares) >= 0.4, `${Math.min(...shares)} of them at the least`);
	assert.equal(shares.at(-1), 1);
});

const lateInstance: Pick<Overload, 'admit'> = {
	admit: ({kind}) => kind === 'begins-program' ? {kind: 'refused', retryAfter: as<Milliseconds>(700)} : {kind: 'admitted'},
};

const {program} = turn;

type Case = {
	readonly name: string;
	readonly request: Partial<RelayRequest>;
	readonly isStream: boolean;
	readonly hasBegun?: boolean;
	readonly isServed: boolean;
};

const cases: readonly Case[] = [
	{
		name: 'the first call of a program', request: turn, isStream: true, isServed: false,
	},
	{
		name: 'a request that belongs to no program', request: {}, isStream: false, isServed: true,
	},
	{
		name: 'a call of a program that has begun', request: turn, isStream: true, hasBegun: true, isServed: true,
	},
	{
		name: 'a turn that continues another', request: {...turn, previousTurn: as<AttemptId>('earlier')}, isStream: true, isServed: true,
	},
	{
		name: 'a stream that its caller resumes', request: {...turn, lastEvent: 3}, isStream: true, isServed: true,
	},
	{
		name: 'a call of a tool by a program', request: {program: {...program, budget: undefined}}, isStream: false, isServed: true,
	},
];

for (const {name, request, isStream, hasBegun = false, isServed} of cases) {
	test(`a late instance ${isServed ? 'serves' : 'turns away at once'} ${name}`, async () => {
		const harness = createRelayHarness({
			route: routeWith({isStream, repetition: isStream ? 'resumable' : 'repeatable'}),
			endpoints: [endpointWith('e1')],
			overload: lateInstance,
			begun: new Set(hasBegun ? [program.id] : []),
			script({onHead, onEvent}) {
				if (!isStream) {
					return {kind: 'answered', head: {status: 200, headers: []}, body: Buffer.from('whole')};
				}

				onHead({status: 200, headers: []});
				onEvent({id: 4, bytes: Buffer.from('id: 4\n\n')});
				return {kind: 'finished', isUnframed: false};
			},
		});
		const caller = await harness.serve(requestWith(request));
		assert.equal(harness.attempts.length, isServed ? 1 : 0);
		assert.deepEqual(caller.refusals, isServed ? [] : [{kind: 'overloaded', retryAfter: 700}]);
	});
}
