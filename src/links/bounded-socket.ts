/**
Limits the bytes that an endpoint may send for one request. Headers, interim (1xx) responses and framing count like
bodies, so that a faulty endpoint that keeps sending does not use up memory and CPU time until the request times out.
*/
import {type Socket} from 'node:net';
import {buildConnector} from 'undici';

/** Maximum size of a response, enough for 100,000 tokens in events of 80 bytes each. */
export const maximumResponseBytes = 8 * 1024 * 1024;

/** Destroys the socket once it has received more than `maximumResponseBytes` since it last sent data. */
export function limitResponseSize(socket: Socket): void {
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

/** Creates undici's connector, with the limit on response sizes added. */
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
