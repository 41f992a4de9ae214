/**
Stand-in for an engine that gives a part of its answers no length; these end with their channel, or are reset after half
of the body.
*/
import {randomBytes} from 'node:crypto';
import {once} from 'node:events';
import {createServer} from 'node:net';
import {freePort, newIp} from '../lib/deployment.js';

let engineCount = 0;

/** Length and parts of a request at the start of the text; undefined if it is not complete. */
function parseRequest(text) {
	const end = text.indexOf('\r\n\r\n');
	const head = text.slice(0, end);
	const headers = Object.fromEntries(head.split('\r\n').slice(1).map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
	const length = end + 4 + Number(headers['content-length'] ?? 0);
	return end === -1 || text.length < length ? undefined : {headers, length};
}

export async function startUnframedEngine({store, zone, part, isReset, onAnswer}) {
	const ip = newIp();
	const port = await freePort(ip);
	engineCount++;
	const id = `i-${engineCount.toString(16).padStart(4, '0')}`;
	const sockets = new Set();
	let answers = 0;

	function answer(socket, {headers}) {
		const attempt = headers['attempt-id'];
		if (headers['expect-instance'] !== undefined && headers['expect-instance'] !== id) {
			socket.write(`HTTP/1.1 421 Misdirected Request\r\nInstance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`);
			return;
		}

		answers++;
		const seal = `${id}.${randomBytes(6).toString('hex')}`;
		const body = `done ${attempt} `.repeat(30);
		const isUnframed = Math.floor(answers * part) > Math.floor((answers - 1) * part);
		onAnswer({
			id, attempt, seal, body, isUnframed,
		});
		const head = `HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\nServer-Seal: ${seal}\r\n`;
		if (!isUnframed) {
			socket.write(`${head}Content-Length: ${body.length}\r\n\r\n${body}`);
			return;
		}

		if (isReset) {
			socket.write(`${head}\r\n${body.slice(0, body.length / 2)}`);
			socket.resetAndDestroy();
		} else {
			socket.end(`${head}\r\n${body}`);
		}
	}

	const server = createServer({noDelay: true}, socket => {
		let text = '';
		sockets.add(socket);
		socket.setEncoding('latin1');
		socket.on('error', () => undefined);
		socket.on('close', () => {
			sockets.delete(socket);
		});
		socket.on('data', chunk => {
			text += chunk;
			for (let request = parseRequest(text); request && !socket.destroyed; request = parseRequest(text)) {
				text = text.slice(request.length);
				answer(socket, request);
			}
		});
	});
	server.listen(port, ip);
	await once(server, 'listening');
	store.put('servers', id, {
		Service: 'app', Address: `${ip}:${port}`, Zone: zone, Version: 'v1', Slots: 6, State: 'ready', ColdLeftMs: 0, Stage: 'both', Models: [], Sequence: 1, born: Date.now(),
	});
	return {
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}
