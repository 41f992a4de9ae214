/**
Sockets to endpoints that may be faulty. The bytes that an endpoint may send for one request are limited: headers, interim
(1xx) responses and framing count like bodies, so that an endpoint that keeps sending does not use up memory and CPU
time until the request times out.

A response with neither a length nor chunks is complete when its connection ends, unless the connection was reset. So a
socket guarded here emits `end` only if the endpoint closed it; if it was reset, it fails with an error instead. Whoever
reads from such a socket may therefore take its end as the end of the response.
*/
import {type Socket} from 'node:net';
import {buildConnector} from 'undici';

/** Maximum size of a response, enough for 100,000 tokens in events of 80 bytes each. */
export const maximumResponseBytes = 8 * 1024 * 1024;

/** Destroys the socket once it has received more than `maximumResponseBytes` since it last sent data. */
function limitResponseSize(socket: Socket): void {
	let written = socket.bytesWritten;
	let readAtLastWrite = socket.bytesRead;
	socket.on('readable', () => {
		if (socket.bytesWritten !== written) {
			written = socket.bytesWritten;
			readAtLastWrite = socket.bytesRead;
		}

		if (socket.bytesRead - readAtLastWrite > maximumResponseBytes) {
			socket.destroy(new Error(`the response exceeds ${maximumResponseBytes} bytes`));
		}
	});
}

/** Code of the error of a connection that the other side reset, once undici no longer takes it for the end of a response. */
const resetCode = 'ERR_CONNECTION_RESET';

/** Undici completes a response without a length when its connection is reset, which it recognises by the error's code. */
function breakOffOnReset(socket: Socket): void {
	socket.prependListener('error', (error: NodeJS.ErrnoException) => {
		if (error.code === 'ECONNRESET') {
			error.code = resetCode;
		}
	});
}

/**
Fails the socket instead of ending it if it was reset. When a reset arrives together with the last bytes, the event loop
reports the end of the stream and no error. The kernel knows no peer of a reset connection any more, but still knows that
of a closed one. Node.js caches the peer's address, so that it must not be read before the end.
*/
function failOnReset(socket: Socket): void {
	const emit = socket.emit.bind(socket) as (event: string | symbol, ...parameters: unknown[]) => boolean;
	socket.emit = (event: string | symbol, ...parameters: unknown[]) => {
		if (event !== 'end' || socket.remoteAddress !== undefined) {
			return emit(event, ...parameters);
		}

		socket.destroy(Object.assign(new Error('the connection was reset'), {code: resetCode}));
		return false;
	};
}

/** Prepares a connected socket for an endpoint, before undici gets it or a tunnel passes it on. */
export function guardSocket(socket: Socket, {limitsResponses = true} = {}): void {
	if (limitsResponses) {
		limitResponseSize(socket);
	}

	breakOffOnReset(socket);
	failOnReset(socket);
}

/** Creates undici's connector, with guarded sockets. */
export function createBoundedConnector(options: {readonly timeout: number}): buildConnector.connector {
	const connect = buildConnector(options);
	return (target, callback) => {
		connect(target, (...result) => {
			const [, socket] = result;
			if (socket) {
				guardSocket(socket);
			}

			callback(...result);
		});
	};
}
