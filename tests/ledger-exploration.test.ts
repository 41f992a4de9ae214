/**
Exhaustive state exploration of the ledger: two instances, one key, and at every step a crash, a pause, a lost
response, an outage or a write that arrives after its writer timed out.
*/
import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import {
	as, type AttemptId, type CallId, type EndpointId, type IdempotencyKey, type Incarnation, type InstanceId, type Milliseconds, type Nonce,
	type ObjectVersion, type ProgramId, type RouteName, type Tokens,
} from '../src/contracts/id.js';
import {createLedger, type Ledger, slotsPerShard} from '../src/contracts/ledger.js';
import {type LedgerEffect, type LedgerEvent, type Slot} from '../src/contracts/ledger-event.js';
import {type JournalRecord} from '../src/contracts/record.js';

/** Maximum number of steps of an interleaving; `npm run prove` explores longer ones. */
const maximumDepth = Number(process.env.HICKORYFORK_DEPTH ?? 12);
const crashesPerOwner = 1;

type Request = Extract<LedgerEffect, {kind: 'read-ring' | 'read-slot' | 'write' | 'retry-later'}>;

type Owner = {
	ledger: Ledger;
	readonly name: string;
	requests: Request[];
	/** Results from the store that the owner has not processed yet; they wait while it is paused. */
	pendingResults: LedgerEvent[];
	/** Writes that timed out or whose writer crashed, and that may still reach the store. */
	delayedWrites: Array<Extract<Request, {kind: 'write'}>>;
	hasIntent: boolean;
	crashes: number;
};

type Model = {
	readonly slots: Slot[];
	readonly owners: Owner[];
	readonly committed: Array<{readonly sequence: number; readonly nonce: Nonce}>;
	sent: number;
	/** Number of batches that each owner has created. */
	readonly created: Map<string, number>;
};

const intent: JournalRecord = {
	kind: 'intent',
	program: as<ProgramId>('padova.0.program0'),
	call: as<CallId>('call'),
	key: as<IdempotencyKey>('key'),
	route: as<RouteName>('reservations'),
	digest: 'digest',
	request: {
		kind: 'service', method: 'POST', path: '/', body: '',
	},
	attempt: as<AttemptId>('attempt'),
	stream: as<AttemptId>('attempt'),
	prefix: [],
	endpoint: as<EndpointId>('service'),
	repeatable: false,
	reservation: {tokens: as<Tokens>(0), calls: 1},
};

type Action = {readonly name: string; readonly run: () => void};

function createModel(): Model {
	const model: Model = {
		slots: Array.from({length: slotsPerShard}, () => ({version: as<ObjectVersion>(0), batch: undefined})),
		owners: [],
		committed: [],
		sent: 0,
		created: new Map(),
	};
	for (const name of ['a', 'b']) {
		const owner: Owner = {
			ledger: launch(model, name), name, requests: [], pendingResults: [], delayedWrites: [], hasIntent: false, crashes: 0,
		};
		model.owners.push(owner);
		deliver(model, owner, {kind: 'claim'});
	}

	return model;
}

function launch(model: Model, name: string): Ledger {
	return createLedger({
		commitWindow: as<Milliseconds>(0),
		instance: as<InstanceId>(name),
		incarnation: as<Incarnation>(1),
		nextNonce() {
			const count = (model.created.get(name) ?? 0) + 1;
			model.created.set(name, count);
			return as<Nonce>(`${name}${count}`);
		},
	});
}

function deliver(model: Model, owner: Owner, event: LedgerEvent): void {
	for (const effect of owner.ledger.handle(event)) {
		apply(model, owner, effect);
	}
}

function apply(model: Model, owner: Owner, effect: LedgerEffect): void {
	switch (effect.kind) {
		case 'read-ring':
		case 'read-slot':
		case 'write':
		case 'retry-later': {
			owner.requests.push(effect);
			return;
		}

		case 'opened': {
			owner.hasIntent = effect.batches.some(batch => batch.records.length > 0);
			if (!owner.hasIntent) {
				deliver(model, owner, {
					kind: 'append', ticket: 1, records: [intent], bytes: 1, urgency: 'immediate',
				});
			}

			return;
		}

		case 'committed': {
			const written = model.slots[effect.sequence]?.batch;
			assert.ok(written, 'a committed batch is in its slot');
			model.committed.push({sequence: effect.sequence, nonce: written.nonce});
			// The owner sends the request of its committed intent.
			model.sent++;
			break;
		}

		case 'stalled':
		case 'wait-for-window':
		case 'checkpoint':
		case 'deposed': {
			break;
		}
	}
}

function perform(model: Model, request: Extract<Request, {kind: 'write'}>): LedgerEvent {
	const current = model.slots[request.slot];
	if (current?.version !== request.expected) {
		return {kind: 'updated', update: {kind: 'conflict'}};
	}

	const version = as<ObjectVersion>(request.expected + 1);
	model.slots[request.slot] = {version, batch: structuredClone(request.batch)};
	return {kind: 'updated', update: {kind: 'written', version}};
}

const failed = {
	code: 'platform-unavailable', message: '', step: 'commit', peer: 'platform', execution: 'not-run', log: [],
} as const;

/** Returns all actions enabled in this state, in a fixed order. */
function actionsOf(model: Model): Action[] {
	return model.owners.flatMap(owner => [
		...owner.pendingResults.slice(0, 1).map(event => ({
			name: `${owner.name} processes ${event.kind}`,
			run() {
				owner.pendingResults.shift();
				deliver(model, owner, event);
			},
		})),
		...owner.requests.flatMap(request => requestActions(model, owner, request)),
		...owner.delayedWrites.map(delayedWrite => ({
			name: `a delayed write of ${owner.name} arrives`,
			run() {
				owner.delayedWrites = owner.delayedWrites.filter(other => other !== delayedWrite);
				perform(model, delayedWrite);
			},
		})),
		...(owner.crashes < crashesPerOwner ? [crash(model, owner)] : []),
	]);
}

function crash(model: Model, owner: Owner): Action {
	return {
		name: `${owner.name} crashes and restarts`,
		run() {
			for (const request of owner.requests) {
				if (request.kind === 'write') {
					owner.delayedWrites.push(request);
				}
			}

			owner.crashes++;
			owner.requests = [];
			owner.pendingResults = [];
			owner.hasIntent = false;
			owner.ledger = launch(model, owner.name);
			deliver(model, owner, {kind: 'claim'});
		},
	};
}

function requestActions(model: Model, owner: Owner, request: Request): Action[] {
	const removeRequest = () => {
		owner.requests = owner.requests.filter(other => other !== request);
	};

	const answer = (name: string, act: () => LedgerEvent): Action => ({
		name: `${owner.name} ${request.kind} ${name}`,
		run() {
			removeRequest();
			owner.pendingResults.push(act());
		},
	});

	switch (request.kind) {
		case 'read-ring': {
			return [answer('gets a response', () => ({kind: 'ring-read', base: 0, slots: structuredClone(model.slots)}))];
		}

		case 'read-slot': {
			return [
				answer('gets a response', () => ({kind: 'slot-read', slot: structuredClone(model.slots[request.slot] ?? {version: as<ObjectVersion>(0), batch: undefined})})),
				answer('fails', () => ({kind: 'slot-unavailable'})),
			];
		}

		case 'retry-later': {
			return [answer('is due', () => ({kind: 'retry'}))];
		}

		case 'write': {
			return [
				answer('gets a response', () => perform(model, request)),
				answer('takes effect and loses its response', () => {
					perform(model, request);
					return {kind: 'updated', update: {kind: 'doubtful', failure: failed}};
				}),
				answer('times out and may still arrive', () => {
					owner.delayedWrites.push(request);
					return {kind: 'updated', update: {kind: 'doubtful', failure: failed}};
				}),
				answer('is refused', () => ({kind: 'updated', update: {kind: 'unavailable', failure: failed}})),
			];
		}
	}
}

function signatureOf(model: Model): string {
	const slots = model.slots.filter(slot => slot.batch).map(slot => [slot.version, slot.batch?.nonce]);
	const owners = model.owners.map(owner => [
		owner.ledger.state(), owner.requests, owner.pendingResults, owner.delayedWrites, owner.hasIntent, owner.crashes,
	]);
	return JSON.stringify([slots, owners, model.sent]);
}

function check(model: Model, trace: readonly string[]): void {
	assert.ok(model.sent <= 1, `the request was sent ${model.sent} times:\n${trace.join('\n')}`);
	for (const {sequence, nonce} of model.committed) {
		assert.equal(model.slots[sequence]?.batch?.nonce, nonce, `a committed batch was lost:\n${trace.join('\n')}`);
	}
}

/** Rebuilds the model at the end of a path, which holds the index of the action taken at each step. */
function replay(path: readonly number[]): {readonly model: Model; readonly trace: readonly string[]} {
	const model = createModel();
	const trace: string[] = [];
	for (const choice of path) {
		const action = actionsOf(model)[choice];
		assert.ok(action);
		trace.push(action.name);
		action.run();
	}

	return {model, trace};
}

test('no interleaving of two owners sends a request twice or loses a committed batch', () => {
	const seen = new Set<string>();
	const outcomes = {sent: 0, states: 0};
	let frontier: number[][] = [[]];
	for (let depth = 0; depth <= maximumDepth && frontier.length > 0; depth++) {
		const next: number[][] = [];
		for (const path of frontier) {
			const {model, trace} = replay(path);
			const signature = signatureOf(model);
			if (seen.has(signature)) {
				continue;
			}

			seen.add(signature);
			check(model, trace);
			outcomes.states++;
			outcomes.sent += model.sent;
			for (const index of actionsOf(model).keys()) {
				next.push([...path, index]);
			}
		}

		frontier = next;
	}

	console.log(`${outcomes.states} states to depth ${maximumDepth}, ${outcomes.sent} of them after the request was sent`);
	assert.ok(outcomes.sent > 0, 'the exploration reaches states in which the request was sent');
});
