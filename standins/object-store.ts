/**
Stand-in for the platform's object store: objects by kind and name with revisions, conditional writes, paged lists and
long-poll watches, and faults that tests inject.
*/
import {type ServerResponse} from 'node:http';
import {type RoutedRequest} from 'polka';
import {z} from 'zod';
import {
	answer, asyncHandler, readJsonBody, startServer, type StandIn,
} from './server.js';

/** Largest number of objects in one page of a list. */
const pageSize = 5;

type StoredObject = {
	readonly Metadata: {readonly Name: string; readonly Revision: number; readonly Created: number; readonly Finalizers: readonly string[]; readonly Deleting: boolean};
	readonly Spec: unknown;
	readonly Status: unknown;
};

type Change = {readonly kind: string; readonly revision: number; readonly Object: StoredObject; readonly Deleted: boolean};

export type ObjectStoreFaults = {
	/** Status with which every request is refused. */
	readonly refuseWith?: 429 | 503;
	/** Whether writes take effect but their connection is closed without a response. */
	readonly loseAnswers?: boolean;
	/** Whether watches are refused with status 410 because the history of changes is gone. */
	readonly isHistoryLost?: boolean;
	/** Revision that stale lists show; objects that changed after it are missing from them. */
	readonly staleAt?: number;
	/** Delay of each response, in ms. */
	readonly delayMs?: number;
};

export type ObjectStoreStandIn = StandIn & {
	/** Writes the spec of an object, regardless of faults. Returns its revision. */
	readonly put: (kind: string, name: string, spec: unknown) => number;
	readonly remove: (kind: string, name: string) => void;
	readonly object: (kind: string, name: string) => StoredObject | undefined;
	/** Replaces all faults in force. */
	readonly setFaults: (faults: ObjectStoreFaults) => void;
	/** Number of requests received so far. */
	readonly calls: () => number;
};

const writeBody = z.object({
	Metadata: z.object({Name: z.string(), Revision: z.number().optional()}),
	Spec: z.unknown().optional(),
	Status: z.unknown().optional(),
});

/** Starts an empty store on a loopback port; port zero, the default, takes a free one. */
export async function startObjectStore(port = 0): Promise<ObjectStoreStandIn> {
	const objects = new Map<string, StoredObject>();
	const history: Change[] = [];
	const wakeCallbacks = new Set<() => void>();
	let revision = 1;
	let faults: ObjectStoreFaults = {};
	let calls = 0;

	function record(kind: string, object: StoredObject, isDeleted: boolean): void {
		history.push({
			kind, revision, Object: object, Deleted: isDeleted,
		});
		for (const wake of wakeCallbacks) {
			wake();
		}
	}

	function write(kind: string, name: string, parts: {readonly Spec?: unknown; readonly Status?: unknown}): StoredObject {
		const key = `${kind}/${name}`;
		const existing = objects.get(key);
		revision++;
		const object: StoredObject = {
			Metadata: {
				Name: name, Revision: revision, Created: existing?.Metadata.Created ?? revision, Finalizers: [], Deleting: false,
			},
			Spec: 'Spec' in parts ? parts.Spec : existing?.Spec,
			Status: 'Status' in parts ? parts.Status : existing?.Status,
		};
		objects.set(key, object);
		record(kind, object, false);
		return object;
	}

	function remove(kind: string, name: string): void {
		const object = objects.get(`${kind}/${name}`);
		if (object) {
			revision++;
			objects.delete(`${kind}/${name}`);
			record(kind, object, true);
		}
	}

	async function sleep(ms: number): Promise<void> {
		await new Promise<void>(resolve => {
			setTimeout(resolve, ms);
		});
	}

	/** Counts a request and applies the faults to it. Resolves to true if the request was refused and answered. */
	async function applyFaults(response: ServerResponse): Promise<boolean> {
		calls++;
		if (faults.delayMs !== undefined) {
			await sleep(faults.delayMs);
		}

		if (faults.refuseWith === undefined) {
			return false;
		}

		answer(response, faults.refuseWith, {Error: 'refused'});
		return true;
	}

	/** Answers a write, or closes the connection if responses are to be lost. */
	function acknowledge(response: ServerResponse, status: number, body: unknown): void {
		if (faults.loseAnswers) {
			response.destroy();
		} else {
			answer(response, status, body);
		}
	}

	function list(kind: string, {after, at}: {readonly after: string; readonly at: number}, response: ServerResponse): void {
		const visible = [...objects].filter(([key, {Metadata}]) => key.startsWith(`${kind}/`) && Metadata.Revision <= at);
		const names = visible.map(([key]) => key.slice(kind.length + 1)).filter(name => name > after).toSorted();
		const page = names.slice(0, pageSize);
		answer(response, 200, {items: page.map(name => objects.get(`${kind}/${name}`)), HasMore: names.length > page.length, CurrentRev: at});
	}

	/** Answers with the changes after a revision as soon as there are any, at the latest when the wait is over. */
	async function watch(kind: string, since: number, waitMs: number, response: ServerResponse): Promise<void> {
		if (faults.isHistoryLost) {
			answer(response, 410, {Error: 'gone'});
			return;
		}

		const newChanges = () => history.filter(change => change.kind === kind && change.revision > since);
		if (newChanges().length === 0) {
			await new Promise<void>(resolve => {
				const wake = () => {
					if (newChanges().length > 0) {
						finish();
					}
				};

				const finish = () => {
					clearTimeout(timer);
					wakeCallbacks.delete(wake);
					resolve();
				};

				const timer = setTimeout(finish, waitMs);
				wakeCallbacks.add(wake);
				response.once('close', finish);
			});
		}

		answer(response, 200, {events: newChanges().map(({Object: object, Deleted}) => ({Object: object, Deleted})), CurrentRev: revision});
	}

	async function read(request: RoutedRequest, response: ServerResponse): Promise<void> {
		if (await applyFaults(response)) {
			return;
		}

		const query = new URLSearchParams(request.search ?? '');
		const kind = request.params.kind ?? '';
		const since = query.get('Watch');
		if (since === null) {
			const at = query.get('Serializable') === '1' ? faults.staleAt ?? revision : revision;
			list(kind, {after: query.get('after') ?? '', at}, response);
		} else {
			await watch(kind, Number(since), Number(query.get('WaitMs') ?? 0), response);
		}
	}

	async function readOne(request: RoutedRequest, response: ServerResponse): Promise<void> {
		if (await applyFaults(response)) {
			return;
		}

		const object = objects.get(`${request.params.kind}/${request.params.name}`);
		answer(response, object ? 200 : 404, object ?? {Error: 'no such object'});
	}

	async function create(request: RoutedRequest, response: ServerResponse): Promise<void> {
		const body = writeBody.parse(await readJsonBody(request));
		if (await applyFaults(response)) {
			return;
		}

		const existing = objects.get(`${request.params.kind}/${body.Metadata.Name}`);
		if (existing) {
			answer(response, 409, existing);
			return;
		}

		acknowledge(response, 201, write(request.params.kind ?? '', body.Metadata.Name, {Spec: body.Spec}));
	}

	async function replace(request: RoutedRequest, response: ServerResponse, part: 'Spec' | 'Status'): Promise<void> {
		const body = writeBody.parse(await readJsonBody(request));
		if (await applyFaults(response)) {
			return;
		}

		const {kind = '', name = ''} = request.params;
		const existing = objects.get(`${kind}/${name}`);
		if (!existing) {
			answer(response, 404, {Error: 'no such object'});
			return;
		}

		if (body.Metadata.Revision !== undefined && body.Metadata.Revision !== existing.Metadata.Revision) {
			answer(response, 409, existing);
			return;
		}

		acknowledge(response, 200, write(kind, name, {[part]: body[part]}));
	}

	const standIn = await startServer(port, app => {
		app.get('/api/objects/:kind', asyncHandler(read));
		app.get('/api/objects/:kind/:name', asyncHandler(readOne));
		app.post('/api/objects/:kind', asyncHandler(create));
		app.put('/api/objects/:kind/:name', asyncHandler(async (request, response) => replace(request, response, 'Spec')));
		app.put('/api/objects/:kind/:name/status', asyncHandler(async (request, response) => replace(request, response, 'Status')));
	});
	return {
		...standIn,
		put: (kind, name, spec) => write(kind, name, {Spec: spec}).Metadata.Revision,
		remove,
		object: (kind, name) => objects.get(`${kind}/${name}`),
		setFaults(next) {
			faults = next;
		},
		calls: () => calls,
	};
}
