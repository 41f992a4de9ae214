/**
Stand-in for the platform's metadata store: objects with revisions, conditional writes, lists and long-poll watches.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';

const pageSize = 500;

async function readBody(request) {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	return chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString('utf8'));
}

function answer(response, status, body) {
	const bytes = Buffer.from(JSON.stringify(body));
	response.writeHead(status, {'content-type': 'application/json', 'content-length': bytes.length});
	response.end(bytes);
}

/** Starts an empty store at a port of the host. */
export async function startStore(host) {
	const objects = new Map();
	const history = [];
	const waiting = new Set();
	let revision = 1;
	let isDown = false;

	function write(kind, name, parts, isDeleted = false) {
		const key = `${kind}/${name}`;
		const existing = objects.get(key);
		revision++;
		const object = {
			Metadata: {
				Name: name, Revision: revision, Created: existing?.Metadata.Created ?? revision, Finalizers: [], Deleting: false,
			},
			Spec: parts.Spec ?? existing?.Spec,
			Status: parts.Status ?? existing?.Status ?? null,
		};
		if (isDeleted) {
			objects.delete(key);
		} else {
			objects.set(key, object);
		}

		history.push({
			kind, revision, Object: object, Deleted: isDeleted,
		});
		for (const wake of waiting) {
			wake();
		}

		return object;
	}

	async function watch(response, {kind, since, waitMs}) {
		const changes = () => history.filter(change => change.kind === kind && change.revision > since);
		if (changes().length === 0) {
			await new Promise(resolve => {
				const timer = setTimeout(() => {
					finish();
				}, waitMs);
				const finish = () => {
					clearTimeout(timer);
					waiting.delete(wake);
					resolve();
				};

				const wake = () => {
					if (changes().length > 0) {
						finish();
					}
				};

				waiting.add(wake);
				response.once('close', finish);
			});
		}

		if (isDown) {
			return;
		}

		answer(response, 200, {events: changes().map(({Object: object, Deleted}) => ({Object: object, Deleted})), CurrentRev: revision});
	}

	function list(response, {kind, after}) {
		const all = [...objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object)
			.filter(object => object.Metadata.Name > after)
			.toSorted((left, right) => left.Metadata.Name < right.Metadata.Name ? -1 : 1);
		answer(response, 200, {items: all.slice(0, pageSize), HasMore: all.length > pageSize, CurrentRev: revision});
	}

	async function read(response, {kind, name, query}) {
		if (name !== undefined) {
			const existing = objects.get(`${kind}/${name}`);
			answer(response, existing ? 200 : 404, existing ?? {});
		} else if (query.has('Watch')) {
			await watch(response, {kind, since: Number(query.get('Watch')), waitMs: Number(query.get('WaitMs') ?? 0)});
		} else {
			list(response, {kind, after: query.get('after') ?? ''});
		}
	}

	function create(response, kind, body) {
		const known = objects.get(`${kind}/${body.Metadata.Name}`);
		answer(response, known ? 409 : 201, known ?? write(kind, body.Metadata.Name, {Spec: body.Spec}));
	}

	function change(response, {kind, name, part, method, body}) {
		const existing = objects.get(`${kind}/${name}`);
		const expected = body.Metadata?.Revision;
		if (!existing) {
			answer(response, 404, {});
		} else if (expected !== undefined && expected !== existing.Metadata.Revision) {
			answer(response, 409, existing);
		} else if (method === 'PUT') {
			answer(response, 200, write(kind, name, part === 'status' ? {Status: body.Status} : {Spec: body.Spec}));
		} else {
			answer(response, 200, write(kind, name, {}, true));
		}
	}

	async function handle(request, response) {
		const {pathname, searchParams: query} = new URL(request.url, 'http://store');
		const [kind = '', name, part] = pathname.split('/').slice(3).map(text => decodeURIComponent(text));
		const {method} = request;
		if (method === 'GET') {
			await read(response, {kind, name, query});
			return;
		}

		const body = await readBody(request);
		if (method === 'POST') {
			create(response, kind, body);
		} else {
			change(response, {
				kind, name, part, method, body,
			});
		}
	}

	const server = createServer((request, response) => {
		if (isDown) {
			// The channel stays silent; its client gives up.
			request.resume();
			return;
		}

		handle(request, response).catch(() => {
			response.destroy();
		});
	});
	server.listen(0, host);
	await once(server, 'listening');
	return {
		address: `${host}:${server.address().port}`,
		/** Writes an object; without effect while the store is down. */
		put(kind, name, spec) {
			if (!isDown) {
				write(kind, name, {Spec: spec});
			}
		},
		/** Makes the store silent, or lets it answer again. */
		setDown(next) {
			isDown = next;
		},
		remove: (kind, name) => write(kind, name, {}, true),
		object: (kind, name) => objects.get(`${kind}/${name}`),
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
}
