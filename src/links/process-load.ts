/**
Load of the process: how late its event loop is, its processor time, and the messages of peers by kind, with the time that handling
them took. It shows what a process that is short of processor time spends it on.
*/
import process from 'node:process';
import {Counter, type Registry} from 'prom-client';
import {type RelayMessage, type RelayReply} from '../zones/relay-peers.js';

/** Interval at which the delay of the event loop is sampled, in ms. */
const sampleMs = 500;

/** Interval between two reports, in ms. */
const reportMs = 5000;

const bytesPerKb = 1000;
const microsecondsPerMs = 1000;

export type MessageKind = RelayMessage['kind'] | `${RelayReply['kind']}-reply`;

/** Messages of one kind since the last report. */
export type MessageLoad = {
	readonly received: number;
	readonly sent: number;
	readonly receivedKb: number;
	readonly sentKb: number;
	/** Time in which the event loop decoded and handled received ones, without what their handlers waited for. */
	readonly handlingMs: number;
};

export type LoadReport = {
	/** Longest delay of the event loop since the last report. */
	readonly loopDelayMs: number;
	/** Processor time since the last report. */
	readonly processorMs: number;
	readonly periodMs: number;
	readonly messages: Readonly<Record<string, MessageLoad>>;
};

export type ProcessLoad = {
	readonly recordReceived: (kind: MessageKind, bytes: number, handlingMs: number) => void;
	readonly recordSent: (kind: MessageKind, bytes: number) => void;
	readonly gauges: () => Readonly<Record<'loopDelayMs', number>>;
};

export type ProcessLoadOptions = {
	readonly registry: Registry;
	readonly onReport: (report: LoadReport) => void;
	readonly signal: AbortSignal;
};

type Totals = {received: number; sent: number; receivedBytes: number; sentBytes: number; handlingMs: number};

function toMessageLoad(totals: Totals): MessageLoad {
	return {
		received: totals.received,
		sent: totals.sent,
		receivedKb: Math.round(totals.receivedBytes / bytesPerKb),
		sentKb: Math.round(totals.sentBytes / bytesPerKb),
		handlingMs: Math.round(totals.handlingMs),
	};
}

/** Starts to observe the process until the signal aborts. */
export function observeProcessLoad({registry, onReport, signal}: ProcessLoadOptions): ProcessLoad {
	const registers = [registry];
	const labelNames = ['kind', 'direction'] as const;
	const messageCount = new Counter({
		name: 'hickoryfork_peer_messages_total', help: 'Datagrams to and from peers, by kind', labelNames, registers,
	});
	const messageBytes = new Counter({
		name: 'hickoryfork_peer_message_bytes_total', help: 'Bytes of datagrams to and from peers, by kind', labelNames, registers,
	});
	const handlingSeconds = new Counter({
		name: 'hickoryfork_peer_message_seconds_total', help: 'Time in which the event loop decoded and handled datagrams of peers, by kind', labelNames: ['kind'], registers,
	});
	const totals = new Map<MessageKind, Totals>();
	let sampledAt = performance.now();
	let reportedAt = sampledAt;
	let usage = process.cpuUsage();
	let longestDelay = 0;
	let lastDelay = 0;

	function totalsOf(kind: MessageKind): Totals {
		const known = totals.get(kind) ?? {
			received: 0, sent: 0, receivedBytes: 0, sentBytes: 0, handlingMs: 0,
		};
		totals.set(kind, known);
		return known;
	}

	function report(now: number): void {
		const {user, system} = process.cpuUsage(usage);
		onReport({
			loopDelayMs: Math.round(longestDelay),
			processorMs: Math.round((user + system) / microsecondsPerMs),
			periodMs: Math.round(now - reportedAt),
			messages: Object.fromEntries([...totals].map(([kind, load]) => [kind, toMessageLoad(load)])),
		});
		usage = process.cpuUsage();
		reportedAt = now;
		longestDelay = 0;
		totals.clear();
	}

	const timer = setInterval(() => {
		const now = performance.now();
		lastDelay = Math.max(0, now - sampledAt - sampleMs);
		longestDelay = Math.max(longestDelay, lastDelay);
		sampledAt = now;
		if (now - reportedAt >= reportMs) {
			report(now);
		}
	}, sampleMs);
	signal.addEventListener('abort', () => {
		clearInterval(timer);
	}, {once: true});
	return {
		recordReceived(kind, bytes, handlingMs) {
			const load = totalsOf(kind);
			load.received++;
			load.receivedBytes += bytes;
			load.handlingMs += handlingMs;
			messageCount.inc({kind, direction: 'in'});
			messageBytes.inc({kind, direction: 'in'}, bytes);
			handlingSeconds.inc({kind}, handlingMs / 1000);
		},
		recordSent(kind, bytes) {
			const load = totalsOf(kind);
			load.sent++;
			load.sentBytes += bytes;
			messageCount.inc({kind, direction: 'out'});
			messageBytes.inc({kind, direction: 'out'}, bytes);
		},
		gauges: () => ({loopDelayMs: Math.round(lastDelay)}),
	};
}
