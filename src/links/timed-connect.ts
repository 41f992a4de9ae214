/**
Connections with a time limit. When the event loop was late, a connection that was established meanwhile is found after the timers
have run, so the limit takes effect only after the loop has looked for it once more.
*/
import {connect as connectSocket, type Socket} from 'node:net';
import {type Milliseconds} from '../contracts/id.js';

/** Connects to a host. Calls back once, with the socket or with the reason why there is none. */
export function connectWithin(limit: Milliseconds, target: {readonly host: string; readonly port: number}, callback: (result: Socket | Error) => void): void {
	const socket = connectSocket({...target, noDelay: true});
	const timer = setTimeout(() => {
		setImmediate(() => {
			if (socket.connecting) {
				socket.destroy(new Error(`no connection within ${limit} ms`));
			}
		});
	}, limit);
	const fail = (error: Error) => {
		clearTimeout(timer);
		callback(error);
	};

	socket.once('error', fail);
	socket.once('connect', () => {
		clearTimeout(timer);
		socket.off('error', fail);
		callback(socket);
	});
}
