/**
Stand-in for an engine: registers in the store, answers streams of events and plain requests, and counts what it ran.
*/
import {once} from 'node:events';
import {createServer} from 'node:http';
import {freePort, newIp, sleep} from './deployment.js';

/** Tokens in an event. */
export const stride = 3;

let engineCount = 0;

/** `onRun` is called with each request that the engine begins to work on. */
export async function startEngine({store, service, zone, version = 'v1', slots = 64, eventMs = 10, workMs = 50, onRun = () => undefined, crashesOn = () => false, downMs = 3000}) {
	const host = newIp();
	const port = await freePort(host);
	engineCount++;
	const id = `i-${engineCount.toString(16).padStart(4, '0')}`;
	let isClosed = false;
	let restart;

	async function stream(request, response, maximum) {
		const from = Number(request.headers['last-event-id'] ?? 0);
		response.writeHead(200, {'content-type': 'text/event-stream', 'attempt-id': request.headers['attempt-id'], 'server-seal': `seal.${id}`});
		const count = Math.floor(maximum / stride);
		for (let number = from + 1; number <= count && !response.destroyed; number++) {
			response.write(`id: ${number}\ndata: event ${number} of ${request.headers['attempt-id']}\n\n`);
			await sleep(eventMs);
		}

		response.end();
	}

	async function handle(request, response) {
		const attempt = request.headers['attempt-id'];
		const expected = request.headers['expect-instance'];
		request.resume();
		await once(request, 'end');
		if (expected !== undefined && expected !== id) {
			response.writeHead(421, {'instance-id': id, 'content-length': 0, ...(attempt && {'attempt-id': attempt})});
			response.end();
			return;
		}

		onRun({
			id, service, zone, attempt, path: request.url, method: request.method,
		});
		if (crashesOn(request)) {
			crash();
			return;
		}

		const maximum = Number(request.headers['token-count']?.split(',')[1] ?? 0);
		if (maximum > 0) {
			await stream(request, response, maximum);
			return;
		}

		await sleep(workMs);
		const body = `done ${attempt}`;
		response.writeHead(200, {'content-length': body.length, 'attempt-id': attempt, 'server-seal': `seal.${id}`});
		response.end(body);
	}

	const server = createServer((request, response) => {
		handle(request, response).catch(() => {
			response.destroy();
		});
	});

	async function open() {
		server.keepAliveTimeout = 15_000;
		server.listen(port, host);
		await once(server, 'listening');
		store.put('servers', id, {
			Service: service, Address: `${host}:${port}`, Zone: zone, Version: version, Slots: slots, State: 'ready', ColdLeftMs: 0, Stage: 'both', Models: [], Sequence: 1, born: Date.now(),
		});
	}

	function close() {
		server.closeAllConnections();
		server.close();
	}

	/** Ends with all its work, and starts again after a while with nothing of before. */
	function crash() {
		close();
		restart = setTimeout(async () => {
			if (!isClosed) {
				await open();
			}
		}, downMs);
	}

	await open();
	return {
		id,
		close() {
			isClosed = true;
			clearTimeout(restart);
			close();
		},
	};
}
