/**
Pool of keep-alive HTTP connections to endpoints, each with one request at a time. A connection that delivered
anything other than the expected response is closed.
*/
import {type buildConnector, Client, type Dispatcher} from 'undici';
import {describeError} from '../contracts/failure.js';
import {directPath, type EndpointPath} from '../contracts/endpoint-path.js';
import {
	as, type Address, type Milliseconds, splitAddress,
} from '../contracts/id.js';
import {type HeaderPairs, type AnswerHead} from '../contracts/relay-request.js';
import {guardSocket} from './bounded-socket.js';
import {connectWithin} from './timed-connect.js';
import {openTunnel, isTunnelError} from './tunnels.js';

/** Connections within a region are established in a few milliseconds. */
const connectTimeout = as<Milliseconds>(300);

/** How long an idle connection is kept if the server states no keep-alive timeout. */
const defaultIdleTimeoutMs = 6000;

/** Margin by which an idle connection is closed before the server's keep-alive timeout; a message takes a few milliseconds. */
const idleMarginMs = 250;

/** The length of a response with this status is that of the response that would have had a body, which undici expects. */
const notModifiedStatus = 304;
const lengthMismatchCode = 'UND_ERR_RES_CONTENT_LENGTH_MISMATCH';

export type Exchange = {
	readonly method: string;
	readonly path: string;
	readonly headers: HeaderPairs;
	readonly body: Uint8Array;
	/** Maximum time for which a pooled connection may have been idle to be used for this request; zero opens a new one. */
	readonly maximumIdle: Milliseconds;
	/**
	Returns whether the response belongs to this request; otherwise the connection is closed. `isFirstResponse` tells
	that the connection has carried no other response, which the endpoint might be repeating.
	*/
	readonly onHead: (head: AnswerHead, isFirstResponse: boolean) => boolean;
	/** Returns whether to read on; otherwise the connection is closed. */
	readonly onData: (chunk: Uint8Array) => boolean;
	readonly signal: AbortSignal;
};

export type ExchangeResult
	= | {readonly kind: 'complete'}
	/** No byte of the request was sent. */
		| {readonly kind: 'not-sent'; readonly reason: string; readonly isGatewayBlamed?: boolean}
	/** The request may have been sent, and its response is incomplete or not acceptable. */
		| {readonly kind: 'broken'; readonly reason: string};

export type Connections = {
	/** Sends a request over a path and reads its response. Never rejects. */
	readonly exchange: (address: Address, exchange: Exchange, path?: EndpointPath) => Promise<ExchangeResult>;
	/** Opens a connection and closes it at once. Resolves to whether it was established. */
	readonly canConnect: (address: Address) => Promise<boolean>;
};

type Connection = {readonly client: Client; idleSince: number; responses: number};

function connectWithTimeout(options: {readonly hostname: string; readonly port: string}, callback: buildConnector.Callback): void {
	connectWithin(connectTimeout, {host: options.hostname, port: Number(options.port)}, result => {
		if (result instanceof Error) {
			callback(result, null);
			return;
		}

		guardSocket(result);
		callback(null, result);
	});
}

/** Creates the connector of a path. */
function connectorOf(address: Address, path: EndpointPath): typeof connectWithTimeout {
	switch (path.kind) {
		case 'direct': {
			return connectWithTimeout;
		}

		case 'tunnel': {
			return (_options, callback) => {
				openTunnel(path.gateway, address, (error, socket) => {
					if (socket) {
						guardSocket(socket);
						callback(null, socket);
					} else {
						callback(error ?? new Error('the tunnel was not opened'), null);
					}
				});
			};
		}
	}
}

/** Key of the connections to an address over a path. */
function poolKeyOf(address: Address, path: EndpointPath): string {
	switch (path.kind) {
		case 'direct': {
			return address;
		}

		case 'tunnel': {
			return `${path.gateway}>${address}`;
		}
	}
}

function toHeaderPairs(headers: Readonly<Record<string, string | string[] | undefined>>): HeaderPairs {
	return Object.entries(headers).flatMap(([name, value]) => (Array.isArray(value) ? value : [value ?? '']).flatMap(text => [name, text]));
}

/** Whether HTTP gives the response to a request no body, whatever its headers say. */
export function isBodiless(method: string, status: number): boolean {
	return method === 'HEAD' || status === 204 || status === notModifiedStatus;
}

/** Whether a response has neither a length nor chunks. */
function isUnframed(method: string, status: number, headers: Readonly<Record<string, unknown>>): boolean {
	return !isBodiless(method, status) && headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}

/** Creates an empty pool. Its connections close when the signal aborts. */
export function createConnections(signal: AbortSignal): Connections {
	const idle = new Map<string, Connection[]>();

	function open(address: Address, path: EndpointPath): Connection {
		const key = poolKeyOf(address, path);
		const client = new Client(`http://${address}`, {
			pipelining: 1,
			connect: connectorOf(address, path),
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: defaultIdleTimeoutMs,
			keepAliveTimeoutThreshold: idleMarginMs,
		});
		const connection: Connection = {client, idleSince: 0, responses: 0};
		client.on('disconnect', () => {
			// A connection that was just acquired is not idle; its client reconnects for the pending request.
			if (idle.get(key)?.includes(connection)) {
				discard(key, connection);
			}
		});
		return connection;
	}

	function discard(key: string, connection: Connection): void {
		const remaining = (idle.get(key) ?? []).filter(entry => entry !== connection);
		if (remaining.length > 0) {
			idle.set(key, remaining);
		} else {
			idle.delete(key);
		}

		void connection.client.destroy();
	}

	function acquire(address: Address, path: EndpointPath, maximumIdle: number): Connection {
		const key = poolKeyOf(address, path);
		const connection = idle.get(key)?.at(-1);
		// The other connections have been idle for longer; they stay in the pool for repeatable requests, which allow a longer idle time.
		if (!connection || performance.now() - connection.idleSince >= maximumIdle) {
			return open(address, path);
		}

		if (connection.client.destroyed) {
			discard(key, connection);
			return acquire(address, path, maximumIdle);
		}

		idle.get(key)?.pop();
		return connection;
	}

	function returnToIdle(key: string, connection: Connection): void {
		if (connection.client.destroyed) {
			return;
		}

		connection.idleSince = performance.now();
		connection.responses++;
		idle.set(key, [...(idle.get(key) ?? []), connection]);
	}

	async function exchange(address: Address, parts: Exchange, path = directPath): Promise<ExchangeResult> {
		try {
			return await exchangeOver(acquire(address, path, parts.maximumIdle), {address, key: poolKeyOf(address, path)}, parts);
		} catch (error) {
			// Only an address that no connection can be opened to fails here.
			return {kind: 'not-sent', reason: describeError(error)};
		}
	}

	async function exchangeOver(connection: Connection, {address, key}: {readonly address: Address; readonly key: string}, parts: Exchange): Promise<ExchangeResult> {
		return new Promise(resolve => {
			let isStarted = false;
			let isEnded = false;
			let isClosing = false;
			let receivedStatus = 0;
			const abortExchange = () => {
				end({kind: isStarted ? 'broken' : 'not-sent', reason: describeError(parts.signal.reason)}, false);
			};

			const end = (result: ExchangeResult, isReusable: boolean) => {
				if (isEnded) {
					return;
				}

				isEnded = true;
				parts.signal.removeEventListener('abort', abortExchange);
				if (isReusable && !isClosing) {
					returnToIdle(key, connection);
				} else {
					discard(key, connection);
				}

				resolve(result);
			};

			if (parts.signal.aborted) {
				abortExchange();
				return;
			}

			parts.signal.addEventListener('abort', abortExchange, {once: true});
			const handler: Dispatcher.DispatchHandler = {
				onRequestStart() {
					isStarted = true;
				},
				onResponseStart(_controller, status, headers) {
					receivedStatus = status;
					isClosing = String(headers.connection ?? '').toLowerCase().includes('close');
					if (!isEnded && status >= 200 && !parts.onHead({status, headers: toHeaderPairs(headers), isUnframed: isUnframed(parts.method, status, headers)}, connection.responses === 0)) {
						end({kind: 'broken', reason: `status ${status} of ${address} is no acceptable answer to this request`}, false);
					}
				},
				onResponseData(_controller, chunk) {
					if (!isEnded && !parts.onData(chunk)) {
						end({kind: 'broken', reason: `the response of ${address} is malformed or too large`}, false);
					}
				},
				onResponseEnd() {
					end({kind: 'complete'}, true);
				},
				onResponseError(_controller, error) {
					if (receivedStatus === notModifiedStatus && 'code' in error && error.code === lengthMismatchCode) {
						end({kind: 'complete'}, false);
						return;
					}

					const reason = describeError(error);
					end(isStarted ? {kind: 'broken', reason} : {kind: 'not-sent', reason, isGatewayBlamed: isTunnelError(error) && error.isGatewayBlamed}, false);
				},
			};
			connection.client.dispatch({
				method: parts.method, path: parts.path, headers: [...parts.headers], ...(parts.body.length > 0 && {body: parts.body}),
			}, handler);
		});
	}

	signal.addEventListener('abort', () => {
		for (const entries of idle.values()) {
			for (const connection of entries) {
				void connection.client.destroy();
			}
		}

		idle.clear();
	}, {once: true});
	return {
		exchange,
		async canConnect(address) {
			const {host, port} = splitAddress(address);
			return new Promise(resolve => {
				connectWithTimeout({hostname: host, port: String(port)}, (_error, socket) => {
					socket?.destroy();
					resolve(socket !== null);
				});
			});
		},
	};
}
