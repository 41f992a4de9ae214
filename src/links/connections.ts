/**
Kept connections to endpoints, one exchange at a time on each. A connection that said anything but the
answer it was asked for is dropped.
*/
import {connect as connectSocket} from 'node:net';
import {type buildConnector, Client, type Dispatcher} from 'undici';
import {describeError} from '../contracts/failure.js';
import {type Address, type Milliseconds} from '../contracts/id.js';
import {type HeaderPairs, type ReplyHead} from '../contracts/relay-request.js';
import {limitResponseSize} from './bounded-socket.js';

/** Time within which a connection has to come about, in ms; connections within a region take a few. */
const connectTimeoutMs = 300;

/** Time for which an idle connection is kept when its other end does not say, in ms. */
const idleTimeoutMs = 6000;

/** Margin by which a connection is closed before its other end would, in ms; a message takes a few. */
const idleMarginMs = 250;

export type Exchange = {
	readonly method: string;
	readonly path: string;
	readonly headers: HeaderPairs;
	readonly body: Uint8Array;
	readonly maximumIdle: Milliseconds;
	/** Returns whether the answer is welcome; otherwise the connection is dropped. */
	readonly onHead: (head: ReplyHead) => boolean;
	/** Returns whether the exchange goes on. */
	readonly onData: (chunk: Uint8Array) => boolean;
	readonly signal: AbortSignal;
};

export type ExchangeResult
	= | {readonly kind: 'complete'}
	/** Not a byte of the request has left. */
		| {readonly kind: 'not-sent'; readonly reason: string}
		| {readonly kind: 'broken'; readonly reason: string};

export type Connections = {
	/** Runs one exchange. Never rejects. */
	readonly exchange: (address: Address, exchange: Exchange) => Promise<ExchangeResult>;
};

type Kept = {readonly client: Client; idleSince: number};

function connector(options: {readonly hostname: string; readonly port: string}, callback: buildConnector.Callback): void {
	const socket = connectSocket({host: options.hostname, port: Number(options.port), noDelay: true});
	const timer = setTimeout(() => {
		socket.destroy(new Error(`no connection within ${connectTimeoutMs} ms`));
	}, connectTimeoutMs);
	const fail = (error: Error) => {
		clearTimeout(timer);
		callback(error, null);
	};

	socket.once('error', fail);
	socket.once('connect', () => {
		clearTimeout(timer);
		socket.off('error', fail);
		limitResponseSize(socket);
		callback(null, socket);
	});
}

function pairsOf(headers: Readonly<Record<string, string | string[] | undefined>>): HeaderPairs {
	return Object.entries(headers).flatMap(([name, value]) => (Array.isArray(value) ? value : [value ?? '']).flatMap(text => [name, text]));
}

/** Creates an empty set of connections. They close when the signal aborts. */
export function createConnections(signal: AbortSignal): Connections {
	const idle = new Map<Address, Kept[]>();

	function open(address: Address): Kept {
		const client = new Client(`http://${address}`, {
			pipelining: 1,
			connect: connector,
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: idleTimeoutMs,
			keepAliveTimeoutThreshold: idleMarginMs,
		});
		const kept: Kept = {client, idleSince: 0};
		client.on('disconnect', () => {
			// One that was just taken connects anew for the request that waits on it.
			if (idle.get(address)?.includes(kept)) {
				drop(address, kept);
			}
		});
		return kept;
	}

	function drop(address: Address, kept: Kept): void {
		const others = (idle.get(address) ?? []).filter(entry => entry !== kept);
		if (others.length > 0) {
			idle.set(address, others);
		} else {
			idle.delete(address);
		}

		void kept.client.destroy();
	}

	function take(address: Address, longestIdle: number): Kept {
		const kept = idle.get(address)?.at(-1);
		// The others have been idle for longer; they are left to requests that can be sent again.
		if (!kept || performance.now() - kept.idleSince > longestIdle) {
			return open(address);
		}

		if (kept.client.destroyed) {
			drop(address, kept);
			return take(address, longestIdle);
		}

		idle.get(address)?.pop();
		return kept;
	}

	function keep(address: Address, kept: Kept): void {
		if (kept.client.destroyed) {
			return;
		}

		kept.idleSince = performance.now();
		idle.set(address, [...(idle.get(address) ?? []), kept]);
	}

	async function exchange(address: Address, parts: Exchange): Promise<ExchangeResult> {
		const kept = take(address, parts.maximumIdle);
		return new Promise(resolve => {
			let isStarted = false;
			let isEnded = false;
			let isClosing = false;
			const giveUp = () => {
				end({kind: isStarted ? 'broken' : 'not-sent', reason: describeError(parts.signal.reason)}, false);
			};

			const end = (result: ExchangeResult, isClean: boolean) => {
				if (isEnded) {
					return;
				}

				isEnded = true;
				parts.signal.removeEventListener('abort', giveUp);
				if (isClean && !isClosing) {
					keep(address, kept);
				} else {
					drop(address, kept);
				}

				resolve(result);
			};

			if (parts.signal.aborted) {
				giveUp();
				return;
			}

			parts.signal.addEventListener('abort', giveUp, {once: true});
			const handler: Dispatcher.DispatchHandler = {
				onRequestStart() {
					isStarted = true;
				},
				onResponseStart(_controller, status, headers) {
					isClosing = String(headers.connection ?? '').toLowerCase().includes('close');
					if (!isEnded && status >= 200 && !parts.onHead({status, headers: pairsOf(headers)})) {
						end({kind: 'broken', reason: 'the answer belongs to another request'}, false);
					}
				},
				onResponseData(_controller, chunk) {
					if (!isEnded && !parts.onData(chunk)) {
						end({kind: 'broken', reason: 'the answer is not well-formed'}, false);
					}
				},
				onResponseEnd() {
					end({kind: 'complete'}, true);
				},
				onResponseError(_controller, error) {
					end({kind: isStarted ? 'broken' : 'not-sent', reason: describeError(error)}, false);
				},
			};
			kept.client.dispatch({
				method: parts.method, path: parts.path, headers: [...parts.headers], ...(parts.body.length > 0 && {body: parts.body}),
			}, handler);
		});
	}

	signal.addEventListener('abort', () => {
		for (const entries of idle.values()) {
			for (const kept of entries) {
				void kept.client.destroy();
			}
		}

		idle.clear();
	}, {once: true});
	return {exchange};
}
