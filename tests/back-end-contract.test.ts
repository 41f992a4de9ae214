/**
Contract tests of the clients for model engines and plain services, against the stand-ins.
*/
import assert from 'node:assert/strict';
import {
	after, afterEach, before, describe, test,
} from 'node:test';
import {type Attempt, type AttemptResult, type Dispatch} from '../src/contracts/attempt.js';
import {
	as, type Address, type AttemptId, type DataCentreId, type EndpointId, type IdempotencyKey, type Milliseconds,
	type ProgramId, type RouteName, type Tokens,
} from '../src/contracts/id.js';
import {type Endpoint} from '../src/contracts/pool.js';
import {createDispatch} from '../src/links/dispatch.js';
import {type EngineStandIn, startEngine} from '../standins/engine.js';
import {type ServiceStandIn, startService} from '../standins/service.js';

const closing = new AbortController();
const dispatch: Dispatch = createDispatch(closing.signal);
const program = as<ProgramId>('padova.1.0123456789abcdef');
let attempts = 0;

function endpointAt(address: string, id: string): Endpoint {
	return {
		id: as<EndpointId>(id), dataCentre: as<DataCentreId>('padova'), address: as<Address>(address), checksFencing: false,
	};
}

function modelAttempt(text: string, prefix: readonly string[] = []): Attempt {
	return {
		id: as<AttemptId>(`attempt${++attempts}`),
		program,
		route: as<RouteName>('quotes'),
		key: as<IdempotencyKey>('key'),
		request: {kind: 'model', messages: [{role: 'user', content: text}], limit: as<Tokens>(64)},
		isRepeatable: true,
		prompt: [{role: 'user', content: text}],
		priority: 0,
		prefix,
	};
}

function serviceAttempt(path: string): Attempt {
	return {
		...modelAttempt(''),
		isRepeatable: false,
		request: {
			kind: 'service', method: 'POST', path, body: '{"count":1}',
		},
		prompt: [],
	};
}

function options(timeoutMs = 5000, signal: AbortSignal = new AbortController().signal) {
	const tokens: string[] = [];
	return {
		tokens,
		timeout: as<Milliseconds>(timeoutMs),
		signal,
		onToken(text: string) {
			tokens.push(text);
		},
		onNotice() {
			// These tests do not check what responses say about their endpoints.
		},
	};
}

function indexesOf(tokens: readonly string[]): number[] {
	return tokens.map(token => Number(token.split(':')[1]));
}

function codeOf(result: AttemptResult): string {
	return result.kind === 'answered' ? 'answered' : `${result.kind} ${result.failure.code}`;
}

after(() => {
	closing.abort();
});

describe('engine', () => {
	let engine: EngineStandIn;
	let endpoint: Endpoint;
	before(async () => {
		engine = await startEngine({id: 'engine', stepMs: 1});
		endpoint = endpointAt(engine.address, 'engine');
	});
	afterEach(() => {
		engine.setFaults({});
	});
	after(async () => {
		await engine.close();
	});

	test('an answer arrives token by token with its usage', async () => {
		const recorded = options();
		const result = await dispatch.send(endpoint, modelAttempt('hello [[tokens=20]]'), recorded);
		assert.ok(result.kind === 'answered' && result.answer.kind === 'message');
		assert.deepEqual(indexesOf(recorded.tokens), Array.from({length: 20}, (_, index) => index));
		assert.deepEqual(result.answer.tokens, recorded.tokens);
		assert.equal(result.answer.usage.completion, 20);
		assert.equal(result.answer.finish, 'stop');
	});

	test('a second turn finds the prompt of the first in the cache', async () => {
		const text = 'cached '.repeat(40);
		await dispatch.send(endpoint, modelAttempt(text), options());
		const result = await dispatch.send(endpoint, modelAttempt(text), options());
		assert.ok(result.kind === 'answered' && result.answer.kind === 'message');
		assert.ok(result.answer.usage.cached >= result.answer.usage.prompt);
	});

	test('a stream that breaks can be resumed from its first token', async () => {
		engine.setFaults({cutStreams: 5});
		const attempt = modelAttempt('cut [[tokens=12]]');
		const broken = await dispatch.send(endpoint, attempt, options());
		assert.equal(codeOf(broken), 'broken endpoint-failed');
		const recorded = options();
		const resumed = await dispatch.resume(endpoint, attempt.id, recorded);
		assert.equal(codeOf(resumed), 'answered');
		assert.deepEqual(indexesOf(recorded.tokens), Array.from({length: 12}, (_, index) => index));
	});

	test('an answer can be continued after the tokens that another engine produced', async () => {
		const first = options();
		await dispatch.send(endpoint, modelAttempt('continue [[tokens=10]]'), first);
		const rest = options();
		const result = await dispatch.send(endpoint, modelAttempt('continue [[tokens=10]]', first.tokens.slice(0, 4)), rest);
		assert.ok(result.kind === 'answered' && result.answer.kind === 'message');
		assert.deepEqual(result.answer.tokens, first.tokens);
		assert.deepEqual(indexesOf(rest.tokens), [4, 5, 6, 7, 8, 9]);
	});

	test('a stream unknown to the engine cannot be resumed', async () => {
		assert.equal(codeOf(await dispatch.resume(endpoint, as<AttemptId>('nobody'), options())), 'rejected endpoint-failed');
	});

	test('a leaving engine rejects requests before it starts them, and its probe reports leaving', async () => {
		engine.setFaults({leaving: true});
		const before = engine.started().length;
		const result = await dispatch.send(endpoint, modelAttempt('late'), options());
		assert.ok(result.kind === 'not-started' && result.isLeaving);
		assert.equal(result.failure.execution, 'not-run');
		assert.equal(engine.started().length, before);
		assert.equal(await dispatch.probe(endpoint), 'leaving');
	});

	test('a request to an unreachable engine is reported as not started', async () => {
		const gone = await startEngine({id: 'gone'});
		await gone.close();
		const result = await dispatch.send(endpointAt(gone.address, 'gone'), modelAttempt('nobody'), options());
		assert.equal(codeOf(result), 'not-started endpoint-failed');
		assert.equal(await dispatch.probe(endpointAt(gone.address, 'gone')), undefined);
	});

	test('an aborted call is cancelled at the engine', async () => {
		const controller = new AbortController();
		const aborting = {
			...options(5000, controller.signal),
			onToken() {
				controller.abort(new Error('cancelled'));
			},
		};
		const attempt = modelAttempt('cancel [[tokens=60]]');
		const result = await dispatch.send(endpoint, attempt, aborting);
		assert.equal(codeOf(result), 'broken cancelled');
		assert.equal(codeOf(await dispatch.resume(endpoint, attempt.id, options())), 'rejected endpoint-failed');
	});

	test('a request that crashes the engine is reported as broken, and the engine restarts with an empty cache', async () => {
		const crashing = await startEngine({id: 'crashing', stepMs: 1});
		const fragile = endpointAt(crashing.address, 'crashing');
		await dispatch.send(fragile, modelAttempt('fill'), options());
		assert.equal(crashing.prefixes().size, 1);
		const result = await dispatch.send(fragile, modelAttempt('[[crash]]'), options());
		assert.equal(codeOf(result), 'broken endpoint-failed');
		assert.equal(crashing.prefixes().size, 0);
		await crashing.close();
	});

	test('memory held for a program is listed and released', async () => {
		await dispatch.send(endpoint, modelAttempt('hold'), options());
		const held = await dispatch.cachedPrograms(endpoint);
		assert.ok(held?.includes(program));
		assert.equal(await dispatch.release(endpoint, program), true);
		const left = await dispatch.cachedPrograms(endpoint);
		assert.ok(left && !left.includes(program));
	});

	test('an order with an outdated fencing number is refused only by engines that check it', async () => {
		for (const [checksFencing, status] of [[true, 409], [false, 200]] as const) {
			const ordered = await startEngine({id: 'ordered', checksFencing});
			const order = async (fencing: number) => {
				const response = await fetch(`http://${ordered.address}/v1/orders`, {method: 'POST', body: JSON.stringify({fencing, kind: 'load-model', name: 'm'})});
				return response.status;
			};

			assert.deepEqual([await order(5), await order(4)], [200, status]);
			await ordered.close();
		}
	});
});

describe('service', () => {
	let service: ServiceStandIn;
	let endpoint: Endpoint;
	before(async () => {
		service = await startService({id: 'service'});
		endpoint = endpointAt(service.address, 'service');
	});
	after(async () => {
		await service.close();
	});

	type Case = {
		readonly name: string;
		readonly faults: Parameters<ServiceStandIn['setFaults']>[0];
		readonly result: string;
		readonly executions: number;
	};

	const cases: readonly Case[] = [
		{
			name: 'healthy', faults: {}, result: 'answered', executions: 1,
		},
		{
			name: 'loses the response', faults: {loseAnswers: 1}, result: 'broken endpoint-failed', executions: 1,
		},
		{
			name: 'hangs', faults: {hang: true}, result: 'broken deadline-exceeded', executions: 1,
		},
		{
			name: 'is leaving', faults: {leaving: true}, result: 'not-started leaving', executions: 0,
		},
	];

	async function checkCase(entry: Case): Promise<void> {
		service.setFaults(entry.faults);
		const before = service.executions().length;
		const result = await dispatch.send(endpoint, serviceAttempt('/reserve?x=1'), options(300));
		service.setFaults({});
		assert.equal(codeOf(result), entry.result);
		assert.equal(service.executions().length - before, entry.executions);
	}

	for (const entry of cases) {
		test(`a call to a service (${entry.name}) ends as ${entry.result}, with ${entry.executions} executions`, async () => checkCase(entry));
	}

	test('the request arrives with its key, its path and its body', async () => {
		const attempt = serviceAttempt('/reserve/42?count=2');
		await dispatch.send(endpoint, attempt, options());
		assert.deepEqual(service.executions().at(-1), {
			service: 'service', key: 'key', attempt: attempt.id, program, method: 'POST', path: '/reserve/42?count=2', body: '{"count":1}',
		});
	});
});
