/**
Bound on what an endpoint may send for one request. Heads, interim answers and framing count like bodies, so that an
endpoint in trouble costs neither memory nor processor time until the time of the request is over.
*/
import {type Socket} from 'node:net';
import {buildConnector} from 'undici';

/** Largest answer, in bytes: 100,000 tokens in events of 80 bytes each. */
export const maximumResponseBytes = 8 * 1024 * 1024;

/** Destroys the connection when more comes than an answer may have, counted from the last byte that was sent. */
export function limitResponseSize(socket: Socket): void {
	let written = socket.bytesWritten;
	let readBefore = socket.bytesRead;
	socket.on('readable', () => {
		if (socket.bytesWritten !== written) {
			written = socket.bytesWritten;
			readBefore = socket.bytesRead;
		}

		if (socket.bytesRead - readBefore > maximumResponseBytes) {
			socket.destroy(new Error(`the answer exceeds ${maximumResponseBytes} bytes`));
		}
	});
}

/** Connects as undici does, with the bound on answers. */
export function createBoundedConnector(options: {readonly timeout: number}): buildConnector.connector {
	const connect = buildConnector(options);
	return (target, callback) => {
		connect(target, (...result) => {
			const [, socket] = result;
			if (socket) {
				limitResponseSize(socket);
			}

			callback(...result);
		});
	};
}
