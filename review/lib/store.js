/**
Stand-in for the platform's store: objects by kind and name, conditional writes, lists and long-poll watches, as the
protocol page tells them.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {freePort, newIp} from './deployment.js';

async function readJson(request) {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	return chunks.length > 0 ? JSON.parse(Buffer.concat(chunks).toString('utf8')) : undefined;
}

function answer(response, status, body) {
	const text = JSON.stringify(body);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	response.end(text);
}

export async function startStore() {
	const host = newIp();
	const port = await freePort(host);
	const objects = new Map();
	const history = [];
	const waiting = new Set();
	let revision = 1;

	const keyOf = (kind, name) => `${kind}/${name}`;

	function record(kind, object) {
		history.push({kind, revision: object.Metadata.Revision, event: {Object: object, Deleted: false}});
		for (const wake of waiting) {
			wake();
		}
	}

	function save(kind, name, change) {
		const current = objects.get(keyOf(kind, name));
		revision++;
		const object = {
			Metadata: {
				Name: name, Revision: revision, Created: current?.Metadata.Created ?? revision, Finalizers: [], Deleting: false,
			},
			Spec: 'Spec' in change ? change.Spec : current?.Spec ?? null,
			Status: 'Status' in change ? change.Status : current?.Status ?? null,
		};
		objects.set(keyOf(kind, name), object);
		record(kind, object);
		return object;
	}

	function list(kind) {
		return [...objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object);
	}

	async function watch(kind, since, waitMs, response) {
		const events = () => history.filter(entry => entry.kind === kind && entry.revision > since).map(entry => entry.event);
		if (events().length === 0 && waitMs > 0) {
			await new Promise(resolve => {
				const done = () => {
					if (events().length > 0 || Date.now() >= end || response.destroyed) {
						clearTimeout(timer);
						waiting.delete(done);
						resolve();
					}
				};

				const end = Date.now() + waitMs - 1;
				const timer = setTimeout(done, waitMs);
				waiting.add(done);
				response.once('close', done);
			});
		}

		answer(response, 200, {events: events(), CurrentRev: revision});
	}

	async function read(kind, name, query, response) {
		const since = query.get('Watch');
		if (name !== undefined) {
			const object = objects.get(keyOf(kind, name));
			answer(response, object ? 200 : 404, object ?? {});
		} else if (since === null) {
			answer(response, 200, {items: list(kind), HasMore: false, CurrentRev: revision});
		} else {
			await watch(kind, Number(since), Number(query.get('WaitMs') ?? 0), response);
		}
	}

	function create(kind, {Metadata: {Name: name}, Spec: spec = null}, response) {
		const current = objects.get(keyOf(kind, name));
		answer(response, current ? 409 : 200, current ?? save(kind, name, {Spec: spec}));
	}

	function replace({kind, name, part}, body, response) {
		const current = objects.get(keyOf(kind, name));
		const condition = body.Metadata?.Revision;
		if (!current) {
			answer(response, 404, {});
		} else if (condition !== undefined && condition !== current.Metadata.Revision) {
			answer(response, 409, current);
		} else {
			answer(response, 200, save(kind, name, part === 'status' ? {Status: body.Status} : {Spec: body.Spec}));
		}
	}

	async function handle(request, response) {
		const {pathname, searchParams} = new URL(request.url, 'http://store');
		const [kind, encodedName, part] = pathname.replace('/api/objects/', '').split('/');
		const name = encodedName === undefined ? undefined : decodeURIComponent(encodedName);
		const body = await readJson(request);
		switch (request.method) {
			case 'GET': {
				await read(kind, name, searchParams, response);
				return;
			}

			case 'POST': {
				create(kind, body, response);
				return;
			}

			case 'PUT': {
				replace({kind, name, part}, body, response);
				return;
			}

			default: {
				answer(response, 405, {});
			}
		}
	}

	const server = createServer((request, response) => {
		handle(request, response).catch(() => {
			response.destroy();
		});
	});
	server.keepAliveTimeout = 60_000;
	server.listen(port, host);
	await once(server, 'listening');
	return {
		address: `${host}:${port}`,
		put: (kind, name, spec) => save(kind, name, {Spec: spec}),
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
}
