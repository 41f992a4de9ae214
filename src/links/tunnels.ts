/**
Tunnels through which an instance that reaches no endpoint uses the connections of one that does, the gateway: `CONNECT` requests of
HTTP at the port for peers. A gateway passes on the bytes of both sides, and a reset as a reset, because the end of a connection
may be the end of a response.
*/
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';
import {z} from 'zod';
import {type TunnelPolicy} from '../contracts/endpoint-path.js';
import {
	as, type Address, type Milliseconds, splitAddress,
} from '../contracts/id.js';
import {guardSocket} from './bounded-socket.js';
import {closeSoon} from './client-socket.js';
import {connectWithin} from './timed-connect.js';

/** Time for a connection to the gateway, and for that from the gateway to the endpoint; within a region each takes a few milliseconds. */
const connectTimeout = as<Milliseconds>(300);

/** Time for the gateway to open a tunnel, in ms; it may check its own path meanwhile. */
const tunnelTimeoutMs = 700;

/** Tunnels that a gateway keeps open at once. */
const maximumTunnels = 256;

/** The response to a request for a tunnel is a status line only. */
const maximumHeadBytes = 1024;

const endOfHead = '\r\n\r\n';

/** Statuses of the response to a request for a tunnel. */
const status = {
	opened: '200 Connection Established',
	forbidden: '403 Forbidden',
	endpointUnreachable: '502 Bad Gateway',
	unavailable: '503 Service Unavailable',
} as const;

/** Error of a tunnel that was not opened. */
export type TunnelError = Error & {readonly isGatewayBlamed: boolean};

export function isTunnelError(error: unknown): error is TunnelError {
	return error instanceof Error && 'isGatewayBlamed' in error;
}

function tunnelError(message: string, isGatewayBlamed: boolean): TunnelError {
	return Object.assign(new Error(message), {isGatewayBlamed});
}

/** Passes on the bytes of both sides until one of them ends. */
function join(peer: Socket, endpoint: Socket): void {
	peer.pipe(endpoint, {end: false});
	endpoint.pipe(peer, {end: false});
	// A peer does not close one direction only: when it ends, it has given the request up.
	peer.once('end', () => {
		peer.destroy();
	});
	peer.once('close', () => {
		endpoint.destroy();
	});
	endpoint.once('end', () => {
		peer.end();
	});
	endpoint.on('error', () => {
		peer.resetAndDestroy();
	});
	endpoint.once('close', () => {
		if (!endpoint.readableEnded) {
			peer.resetAndDestroy();
		}
	});
}

export type TunnelServer = {
	/** Handles a request for a tunnel. Returns whether its client may have one. */
	readonly open: (request: IncomingMessage, head: Uint8Array) => boolean;
	readonly count: () => number;
};

/** Creates the tunnels of a gateway. */
export function createTunnelServer(policy: TunnelPolicy): TunnelServer {
	const open = new Set<Socket>();

	function refuse(socket: Socket, reason: string): void {
		socket.write(`HTTP/1.1 ${reason}${endOfHead}`);
		closeSoon(socket);
	}

	async function connectThrough(peer: Socket, target: Address, head: Uint8Array): Promise<void> {
		const endpoint = await new Promise<Socket | Error>(resolve => {
			connectWithin(connectTimeout, splitAddress(target), resolve);
		});
		if (endpoint instanceof Error) {
			// The peer logs the attempt.
			refuse(peer, await policy.isCutOff() ? status.unavailable : status.endpointUnreachable);
			return;
		}

		guardSocket(endpoint, {limitsResponses: false});
		if (peer.destroyed) {
			endpoint.destroy();
			return;
		}

		peer.write(`HTTP/1.1 ${status.opened}${endOfHead}`);
		endpoint.write(head);
		join(peer, endpoint);
	}

	return {
		open(request, head) {
			const peer = request.socket;
			// Errors are followed by the close of the socket, which ends the tunnel.
			peer.on('error', () => undefined);
			const target = as<Address>(request.url ?? '');
			if (!policy.isPeer(peer.remoteAddress ?? '') || !policy.isEndpoint(target)) {
				refuse(peer, status.forbidden);
				return false;
			}

			if (open.size >= maximumTunnels) {
				refuse(peer, status.unavailable);
				return false;
			}

			open.add(peer);
			peer.once('close', () => {
				open.delete(peer);
			});
			peer.setNoDelay(true);
			void connectThrough(peer, target, head);
			return true;
		},
		count: () => open.size,
	};
}

/** Reads one byte, or an empty array if none has arrived. */
function readByte(socket: Socket): Uint8Array {
	return z.instanceof(Uint8Array).nullable().parse(socket.read(1)) ?? new Uint8Array();
}

type TunnelCallback = (error: Error | undefined, socket: Socket | undefined) => void;

/** Asks for a tunnel over a connection to the gateway. */
function requestTunnel(socket: Socket, {gateway, endpoint}: {readonly gateway: Address; readonly endpoint: Address}, callback: TunnelCallback): void {
	let received = '';
	const finish = (error: Error | undefined) => {
		clearTimeout(timer);
		socket.off('error', onError);
		socket.off('close', onClose);
		socket.off('readable', onReadable);
		if (error) {
			socket.on('error', () => undefined);
			socket.destroy();
			callback(error, undefined);
		} else {
			callback(undefined, socket);
		}
	};

	const timer = setTimeout(() => {
		finish(tunnelError(`the gateway ${gateway} did not open a tunnel within ${tunnelTimeoutMs} ms`, true));
	}, tunnelTimeoutMs);
	const onError = (error: Error) => {
		finish(tunnelError(`the connection to the gateway ${gateway} broke: ${error.message}`, true));
	};

	const onClose = () => {
		finish(tunnelError(`the gateway ${gateway} closed the connection`, true));
	};

	const onReadable = () => {
		// One byte at a time, so that nothing of the endpoint is taken.
		for (let byte = readByte(socket); byte.length > 0; byte = readByte(socket)) {
			received += Buffer.from(byte).toString('latin1');
			if (received.endsWith(endOfHead) || received.length > maximumHeadBytes) {
				const [, code = ''] = received.split(' ');
				finish(code === '200' ? undefined : tunnelError(`the gateway ${gateway} answered ${code} for ${endpoint}`, code !== '502'));
				return;
			}
		}
	};

	socket.once('error', onError);
	socket.once('close', onClose);
	socket.on('readable', onReadable);
	socket.write(`CONNECT ${endpoint} HTTP/1.1\r\nHost: ${endpoint}${endOfHead}`);
}

/** Opens a tunnel to an endpoint. Calls back once, with a socket on which only the endpoint's bytes follow. */
export function openTunnel(gateway: Address, endpoint: Address, callback: TunnelCallback): void {
	connectWithin(connectTimeout, splitAddress(gateway), result => {
		if (result instanceof Error) {
			callback(tunnelError(`the gateway ${gateway} cannot be reached: ${result.message}`, true), undefined);
		} else {
			requestTunnel(result, {gateway, endpoint}, callback);
		}
	});
}
