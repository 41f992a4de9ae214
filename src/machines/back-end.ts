/**
One endpoint as it is known to this instance: its queue of waiting calls, the calls in flight, its latency,
its health and the programs whose prompts it probably still has cached.
*/
import PQueue from 'p-queue';
import {
	as, type Milliseconds, type ProgramId, type Tokens,
} from '../contracts/id.js';
import {type EndpointNotice} from '../contracts/endpoint-notice.js';
import {type Endpoint, type Pool} from '../contracts/pool.js';
import {
	type Health, type HealthEvent, isUsable, nextHealth,
} from './health.js';

/** Maximum number of programs whose cached prompts are tracked for one endpoint. */
const maximumTrackedPrograms = 4096;

const latencyWeight = 0.3;

/** Latencies before the first observation. */
export const noLatency: CallLatency = {call: 0, firstToken: 0, token: 0};

/** Latencies of calls, in ms. Services produce no tokens, so their token latencies stay zero. */
export type CallLatency = {
	readonly call: number;
	readonly firstToken: number;
	readonly token: number;
};

export type BackEnd = {
	readonly endpoint: Endpoint;
	readonly kind: Pool['kind'];
	/** Orders waiting calls by priority and limits the calls in flight from this instance. */
	readonly queue: PQueue;
	readonly health: () => Health;
	/** Aborts when the waiting calls should be moved to other back ends. */
	readonly requeueSignal: () => AbortSignal;
	readonly applyHealthEvent: (event: HealthEvent, now: Milliseconds) => void;
	readonly isUsable: (now: Milliseconds) => boolean;
	/** Calls of this instance that are running or waiting at the endpoint. */
	readonly load: () => number;
	/** Calls of other instances according to the endpoint's last report, decaying linearly with its age. */
	readonly peerLoad: (now: Milliseconds) => number;
	/** Records what a response says about the endpoint. */
	readonly recordNotice: (notice: EndpointNotice, now: Milliseconds) => void;
	/** Smoothed latencies of calls, in ms; zero before the first observation. */
	readonly pace: () => CallLatency;
	readonly recordLatency: (pace: CallLatency) => void;
	readonly resetLatency: () => void;
	/** Tokens of the program's prompt that the endpoint has probably cached. */
	readonly cached: (program: ProgramId) => Tokens;
	readonly markCached: (program: ProgramId, tokens: Tokens) => void;
	readonly clearCached: (program: ProgramId) => void;
};

const loadReportLifetimeMs = 2000;

function smooth(previous: number, observed: number): number {
	return previous === 0 ? observed : (previous * (1 - latencyWeight)) + (observed * latencyWeight);
}

/** Creates the state of one endpoint, with nothing in flight. */
export function createBackEnd(endpoint: Endpoint, pool: Pick<Pool, 'kind' | 'concurrency'>): BackEnd {
	const queue = new PQueue({concurrency: pool.concurrency});
	const cache = new Map<ProgramId, Tokens>();
	let health: Health = {kind: 'healthy'};
	let pace = noLatency;
	let requeueController = new AbortController();
	let reported = {fromPeers: 0, at: as<Milliseconds>(0)};

	const load = () => queue.pending + queue.size;

	function recordReportedLoad(calls: number, now: Milliseconds): void {
		reported = {fromPeers: Math.max(0, calls - queue.pending), at: now};
	}

	function recordNotice(notice: EndpointNotice, now: Milliseconds): void {
		switch (notice.kind) {
			case 'rate-limit':
			case 'rate-limit-unreadable': {
				// Back ends of this interface enforce their rate limits themselves.
				break;
			}

			case 'leaving': {
				health = nextHealth(health, {kind: 'reported-leaving'}, now);
				break;
			}

			case 'load': {
				recordReportedLoad(notice.calls, now);
				break;
			}
		}
	}

	return {
		endpoint,
		kind: pool.kind,
		queue,
		health: () => health,
		requeueSignal: () => requeueController.signal,
		applyHealthEvent(event, now) {
			const wasHealthy = health.kind === 'healthy';
			health = nextHealth(health, event, now);
			if (wasHealthy && health.kind !== 'healthy') {
				requeueController.abort(new Error(`${endpoint.id} is ${health.kind}`));
				requeueController = new AbortController();
			}
		},
		isUsable: now => isUsable(health, load(), now),
		load,
		peerLoad(now) {
			const age = now - reported.at;
			return reported.fromPeers * Math.max(0, 1 - (age / loadReportLifetimeMs));
		},
		recordNotice,
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
			if (cache.size > maximumTrackedPrograms) {
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
