/**
Consumer: sends one request over a connection of its own, and notes what arrives and how the connection ends.
*/
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';

/** Takes the frames off a chunked body, as far as it has come. */
function dechunk(text) {
	let body = '';
	let rest = text;
	for (;;) {
		const match = /^(?<size>[\da-f]+)\r\n/iv.exec(rest);
		const size = Number.parseInt(match?.groups?.size ?? '', 16);
		if (Number.isNaN(size)) {
			return {body, isComplete: false};
		}

		const start = match[0].length;
		if (size === 0) {
			return {body, isComplete: rest.length >= start + 2};
		}

		body += rest.slice(start, start + size);
		rest = rest.slice(start + size + 2);
	}
}

/** Reads a response as HTTP/1.1 defines it. `isEnded` tells that the connection was closed, and not reset. */
export function readResponse(text, isEnded) {
	const end = text.indexOf('\r\n\r\n');
	if (end === -1) {
		return {
			status: 0, head: text, body: '', isComplete: false, framing: 'none',
		};
	}

	const head = text.slice(0, end);
	const rest = text.slice(end + 4);
	const status = Number(head.split(' ')[1]);
	const length = /^content-length: *(?<length>\d+)/imv.exec(head)?.groups?.length;
	if (/^transfer-encoding: *chunked/imv.test(head)) {
		return {
			status, head, framing: 'chunks', ...dechunk(rest),
		};
	}

	if (length !== undefined) {
		return {
			status, head, framing: 'length', body: rest, isComplete: rest.length >= Number(length),
		};
	}

	return {
		status, head, framing: 'connection', body: rest, isComplete: isEnded,
	};
}

/** Ids of the whole events of a stream. */
export const eventsOf = body => [...body.matchAll(/^id: (?<id>\d+)\n.*\n\n/gmv)].map(match => Number(match.groups.id));

/**
Sends a request once its connection is open and `start` has resolved; `onData` is called with the text so far. Resolves when its response
is complete or its connection has ended.
*/
export async function send({host, port, method = 'POST', path, headers, body = '', start, onData = () => undefined, timeoutMs = 15_000}) {
	const startedAt = Date.now();
	const ending = await new Promise(resolve => {
		let text = '';
		const socket = connect({host, port});
		const finish = end => {
			clearTimeout(timer);
			socket.destroy();
			resolve({text, end});
		};

		const timer = setTimeout(() => {
			finish('timeout');
		}, timeoutMs);
		const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('');
		socket.once('connect', async () => {
			await start;
			socket.write(`${method} ${path} HTTP/1.1\r\n${lines}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`);
		});
		socket.on('data', bytes => {
			text += bytes.toString('latin1');
			onData(text);
			if (readResponse(text, false).isComplete) {
				finish('open');
			}
		});
		socket.on('end', () => {
			finish('closed');
		});
		socket.on('error', error => {
			finish(error.code === 'ECONNRESET' ? 'reset' : error.code);
		});
	});
	return {
		...readResponse(ending.text, ending.end === 'closed'), end: ending.end, took: Date.now() - startedAt,
	};
}
