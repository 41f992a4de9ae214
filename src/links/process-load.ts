/**
Load of the process: how late its event loop is, its processor time, and the messages of peers by kind, with the time that handling
them took. It shows what a process that is short of processor time spends it on.
*/
import process from 'node:process';
import {Counter, type Registry} from 'prom-client';
import {as, type Milliseconds} from '../contracts/id.js';
import {type RelayMessage, type RelayReply} from '../zones/relay-peers.js';

/** Interval at which the delay of the event loop is sampled, in ms. */
const sampleMs = 100;

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
	/** Longest delay of the event loop in this period and the one before. */
	readonly longestDelay: () => Milliseconds;
	readonly gauges: () => Readonly<Record<'loopDelayMs', number>>;
};

export type ProcessLoadOptions = {
	readonly registry: Registry;
	readonly onReport: (report: LoadReport) => void;
	/** Is told of the delay of each sample, ten times a second. */
	readonly onDelay: (delay: Milliseconds) => void;
	readonly signal: AbortSignal;
};

type Totals = {received: number; sent: number; receivedBytes: number; sentBytes: number; handlingMs: number};

const nothing: Readonly<Totals> = {
	received: 0, sent: 0, receivedBytes: 0, sentBytes: 0, handlingMs: 0,
};

function toMessageLoad(totals: Totals, earlier: Readonly<Totals>): MessageLoad {
	return {
		received: totals.received - earlier.received,
		sent: totals.sent - earlier.sent,
		receivedKb: Math.round((totals.receivedBytes - earlier.receivedBytes) / bytesPerKb),
		sentKb: Math.round((totals.sentBytes - earlier.sentBytes) / bytesPerKb),
		handlingMs: Math.round(totals.handlingMs - earlier.handlingMs),
	};
}

/** Starts to observe the process until the signal aborts. */
export function observeProcessLoad({registry, onReport, onDelay, signal}: ProcessLoadOptions): ProcessLoad {
	const totals = new Map<MessageKind, Totals>();
	const reported = new Map<MessageKind, Totals>();
	let sampledAt = performance.now();
	let reportedAt = sampledAt;
	let usage = process.cpuUsage();
	let longestDelay = 0;
	let longestBefore = 0;
	let lastDelay = 0;

	// The labels of a counter are costly, so they are filled in from the totals when metrics are read.
	function exportTotals(name: string, help: string, valuesOf: (totals: Totals) => Readonly<Record<string, number>>): void {
		const counter = new Counter({
			name,
			help,
			labelNames: ['kind', 'direction'],
			registers: [registry],
			collect() {
				counter.reset();
				for (const [kind, load] of totals) {
					for (const [direction, value] of Object.entries(valuesOf(load))) {
						counter.inc({kind, direction}, value);
					}
				}
			},
		});
	}

	exportTotals('hickoryfork_peer_messages_total', 'Datagrams to and from peers, by kind', ({received, sent}) => ({in: received, out: sent}));
	exportTotals('hickoryfork_peer_message_bytes_total', 'Bytes of datagrams to and from peers, by kind', ({receivedBytes, sentBytes}) => ({in: receivedBytes, out: sentBytes}));
	exportTotals('hickoryfork_peer_message_seconds_total', 'Time in which the event loop decoded and handled datagrams of peers, by kind', ({handlingMs}) => ({in: handlingMs / 1000}));

	function totalsOf(kind: MessageKind): Totals {
		const known = totals.get(kind) ?? {...nothing};
		totals.set(kind, known);
		return known;
	}

	/** Returns the load of each kind since the last report. */
	function takeMessages(): LoadReport['messages'] {
		return Object.fromEntries([...totals].map(([kind, load]) => {
			const earlier = reported.get(kind) ?? nothing;
			reported.set(kind, {...load});
			return [kind, toMessageLoad(load, earlier)];
		}));
	}

	function report(now: number): void {
		const {user, system} = process.cpuUsage(usage);
		onReport({
			loopDelayMs: Math.round(longestDelay),
			processorMs: Math.round((user + system) / microsecondsPerMs),
			periodMs: Math.round(now - reportedAt),
			messages: takeMessages(),
		});
		usage = process.cpuUsage();
		reportedAt = now;
		longestBefore = longestDelay;
		longestDelay = 0;
	}

	const timer = setInterval(() => {
		const now = performance.now();
		lastDelay = Math.max(0, now - sampledAt - sampleMs);
		longestDelay = Math.max(longestDelay, lastDelay);
		sampledAt = now;
		onDelay(as<Milliseconds>(lastDelay));
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
		},
		recordSent(kind, bytes) {
			const load = totalsOf(kind);
			load.sent++;
			load.sentBytes += bytes;
		},
		longestDelay: () => as<Milliseconds>(Math.max(longestBefore, longestDelay)),
		gauges: () => ({loopDelayMs: Math.round(lastDelay)}),
	};
}
