/**
Stand-in for an engine: streams events with increasing ids, echoes the attempt, proves that it ran a request, and lists itself in
the store.
*/
import {once} from 'node:events';
import {createServer} from 'node:http';

const heartbeatMs = 1200;

/**
Starts an engine. `options` may hold `eventMs`, the time between two events; `version`, that of its software; and `isUnframed`, whether
its streams have neither a length nor chunks. The data of each event names the version that made it. An engine that leaves says so in
its entry and in its answers.
*/
export async function startEngine({host, store, id, service, zone, stride, onRun, options = {}}) {
	const state = {
		eventMs: 40, version: 'v1', isLeaving: false, ...options,
	};
	let bornAt = Date.now();
	let sequence = 0;

	async function stream(request, response) {
		const [, most = 0] = (request.headers['token-count'] ?? '').split(',').map(Number);
		const last = Math.max(1, Math.floor(most / stride));
		const first = Number(request.headers['last-event-id'] ?? 0) + 1;
		if (state.isUnframed) {
			response.useChunkedEncodingByDefault = false;
			response.shouldKeepAlive = false;
		}

		response.writeHead(200, {
			'content-type': 'text/event-stream', 'attempt-id': request.headers['attempt-id'], 'server-seal': `seal.${id}`, 'weight-versions': '1', ...(state.isLeaving && {'server-leaving': '1'}),
		});
		for (let event = first; event <= last && !response.destroyed; event++) {
			await new Promise(resolve => {
				setTimeout(resolve, state.eventMs);
			});
			response.write(`id: ${event}\ndata: ${state.version} ${event}/${last}\n\n`);
		}

		response.end();
	}

	async function handle(request, response) {
		request.resume();
		await once(request, 'end');
		const {'attempt-id': attempt, 'expect-instance': expected} = request.headers;
		if (expected !== undefined && expected !== id) {
			response.writeHead(421, {'content-length': 0, 'instance-id': id});
			response.end();
			return;
		}

		if (attempt === undefined) {
			response.writeHead(400, {'content-length': 0, 'not-executed': '1'});
			response.end();
			return;
		}

		onRun({
			engine: id, attempt, method: request.method, path: request.url, at: Date.now(),
		});
		await stream(request, response);
	}

	const sockets = new Set();
	let server;

	async function listen(port) {
		server = createServer((request, response) => {
			handle(request, response).catch(() => {
				response.destroy();
			});
		});
		server.on('connection', socket => {
			sockets.add(socket);
			socket.once('close', () => {
				sockets.delete(socket);
			});
		});
		server.keepAliveTimeout = 20_000;
		server.listen(port, host);
		await once(server, 'listening');
		return server.address().port;
	}

	const port = await listen(0);
	const address = `${host}:${port}`;
	let timer;
	let reportedAt;

	/** The entry that it writes to the store. */
	function entry() {
		return {
			Service: service, Address: address, Zone: zone, Version: state.version, Slots: 24, State: state.isLeaving ? 'draining' : 'ready', ColdLeftMs: 0,
			Sequence: sequence, born: bornAt,
		};
	}

	function report() {
		sequence++;
		reportedAt = Date.now();
		store.put('servers', id, entry());
	}

	function startReports() {
		timer = setInterval(report, heartbeatMs);
	}

	function crash() {
		clearInterval(timer);
		server.close();
		for (const socket of sockets) {
			socket.resetAndDestroy();
		}
	}

	report();
	startReports();
	return {
		id, address, state, crash, entry, reportedAt: () => reportedAt,
		leave() {
			state.isLeaving = true;
			report();
		},
		/** Starts again under the same id and address, and reports that to the store if it answers. */
		async restart(version) {
			state.version = version;
			bornAt = Date.now();
			sequence = 0;
			await listen(port);
			report();
			startReports();
		},
		close: crash,
	};
}
