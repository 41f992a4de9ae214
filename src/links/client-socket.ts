/**
Sockets of clients whose requests are not read to their end: reading stops at once, and the response still reaches the client.
*/
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';

/** Time for a client to read the last response of its connection, whose further bytes are not read. */
const closingTimeMs = 500;

/** Ends a connection, and closes it once the client has had time to read the response. */
export function closeSoon(socket: Socket): void {
	socket.end();
	setTimeout(() => {
		socket.destroy();
	}, closingTimeMs);
}

/** Stops reading from the connection of a request. Node.js would resume the socket whenever it has passed a chunk on. */
export function stopReading(request: IncomingMessage): void {
	request._read = () => undefined;
	request.socket.pause();
}

/** Reads on after `stopReading`. */
export function continueReading(request: IncomingMessage): void {
	Reflect.deleteProperty(request, '_read');
	request.socket.resume();
}

/**
Drops requests that the client has sent ahead. One read may hold hundreds, and Node.js keeps the objects of each of them until the
connection has closed, which is after the reads of all other connections in the same round of the loop.
*/
export function dropFurtherRequests(socket: Socket): void {
	const {parser} = socket as Socket & {readonly parser?: {onIncoming: () => number}};
	if (parser) {
		parser.onIncoming = () => 0;
	}
}

/** Closes a connection after the response, without reading what the client still sends. */
export function closeAfterResponse(request: IncomingMessage, response: ServerResponse): void {
	const {socket} = request;
	stopReading(request);
	dropFurtherRequests(socket);
	response.shouldKeepAlive = false;
	// Closing at once would reset the connection, as bytes were not read, and the client might not see the response.
	socket.destroySoon = () => {
		closeSoon(socket);
	};
}
