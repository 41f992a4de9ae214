/**
One endpoint as this instance knows it: its queue of waiting calls, the calls in flight, its pace,
its health and the programs whose prompts it probably still holds in memory.
*/
import PQueue from 'p-queue';
import {
	as, type Milliseconds, type ProgramId, type Tokens,
} from '../contracts/id.js';
import {type Endpoint, type Pool} from '../contracts/pool.js';
import {
	type Health, type HealthEvent, isUsable, nextHealth,
} from './health.js';

/** Programs whose cached prompts are remembered for one endpoint. */
const rememberedPrograms = 4096;

const paceWeight = 0.3;

/** Pace before anything was observed. */
export const noLatency: CallLatency = {call: 0, firstToken: 0, token: 0};

/** Times of calls, in ms. Services have no tokens; theirs stay zero. */
export type CallLatency = {
	readonly call: number;
	readonly firstToken: number;
	readonly token: number;
};

export type BackEnd = {
	readonly endpoint: Endpoint;
	readonly kind: Pool['kind'];
	/** Orders waiting calls by priority and bounds the calls in flight from this instance. */
	readonly queue: PQueue;
	readonly health: () => Health;
	/** Aborts when calls that wait here should be placed elsewhere. */
	readonly requeueSignal: () => AbortSignal;
	readonly applyHealthEvent: (event: HealthEvent, now: Milliseconds) => void;
	readonly isUsable: (now: Milliseconds) => boolean;
	/** Calls of this instance that are running or waiting here. */
	readonly load: () => number;
	/** Calls of other instances, as the endpoint last said, fading as the report ages. */
	readonly peerLoad: (now: Milliseconds) => number;
	readonly recordReportedLoad: (total: number, now: Milliseconds) => void;
	/** Smoothed times of calls, in ms; zero before the first observation. */
	readonly pace: () => CallLatency;
	readonly recordLatency: (pace: CallLatency) => void;
	readonly resetLatency: () => void;
	/** Tokens of the program's prompt that are probably in the endpoint's memory. */
	readonly cached: (program: ProgramId) => Tokens;
	readonly markCached: (program: ProgramId, tokens: Tokens) => void;
	readonly clearCached: (program: ProgramId) => void;
};

const loadReportLifeMs = 2000;

function smooth(known: number, observed: number): number {
	return known === 0 ? observed : (known * (1 - paceWeight)) + (observed * paceWeight);
}

/** Creates the view of one endpoint with nothing in flight. */
export function createBackEnd(endpoint: Endpoint, pool: Pick<Pool, 'kind' | 'concurrency'>): BackEnd {
	const queue = new PQueue({concurrency: pool.concurrency});
	const cache = new Map<ProgramId, Tokens>();
	let health: Health = {kind: 'healthy'};
	let pace = noLatency;
	let displacing = new AbortController();
	let reported = {foreign: 0, at: as<Milliseconds>(0)};

	const load = () => queue.pending + queue.size;

	return {
		endpoint,
		kind: pool.kind,
		queue,
		health: () => health,
		requeueSignal: () => displacing.signal,
		applyHealthEvent(event, now) {
			const wasHealthy = health.kind === 'healthy';
			health = nextHealth(health, event, now);
			if (wasHealthy && health.kind !== 'healthy') {
				displacing.abort(new Error(`${endpoint.id} is ${health.kind}`));
				displacing = new AbortController();
			}
		},
		isUsable: now => isUsable(health, load(), now),
		load,
		peerLoad(now) {
			const age = now - reported.at;
			return reported.foreign * Math.max(0, 1 - (age / loadReportLifeMs));
		},
		recordReportedLoad(total, now) {
			reported = {foreign: Math.max(0, total - queue.pending), at: now};
		},
		pace: () => pace,
		recordLatency(observed) {
			pace = {
				call: smooth(pace.call, observed.call),
				firstToken: smooth(pace.firstToken, observed.firstToken),
				token: smooth(pace.token, observed.token),
			};
		},
		resetLatency() {
			pace = noLatency;
		},
		cached: program => cache.get(program) ?? as<Tokens>(0),
		markCached(program, tokens) {
			cache.delete(program);
			cache.set(program, tokens);
			if (cache.size > rememberedPrograms) {
				const [oldest] = cache.keys();
				if (oldest !== undefined) {
					cache.delete(oldest);
				}
			}
		},
		clearCached(program) {
			cache.delete(program);
		},
	};
}
