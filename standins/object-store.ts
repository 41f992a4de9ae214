/**
Stand-in for the platform's object store: objects by kind and name, revisions, conditional writes, lists in
pages and watches, with faults that tests set.
*/
import {type ServerResponse} from 'node:http';
import {type Routed} from 'polka';
import {z} from 'zod';
import {
	answer, handle, readJsonBody, serve, type StandIn,
} from './server.js';

/** Objects in one page of a list. */
const pageSize = 5;

type Stored = {
	readonly Metadata: {readonly Name: string; readonly Revision: number; readonly Created: number; readonly Finalizers: readonly string[]; readonly Deleting: boolean};
	readonly Spec: unknown;
	readonly Status: unknown;
};

type Change = {readonly kind: string; readonly revision: number; readonly Object: Stored; readonly Deleted: boolean};

export type ObjectStoreFaults = {
	/** Status that refuses every call. */
	readonly refuseWith?: 429 | 503;
	/** Share of writes that are done and not answered; 1 for all. */
	readonly loseAnswers?: boolean;
	/** Whether the history is gone. */
	readonly isHistoryLost?: boolean;
	/** Delay of each answer, in ms. */
	readonly delayMs?: number;
};

export type ObjectStoreStandIn = StandIn & {
	readonly put: (kind: string, name: string, spec: unknown) => number;
	readonly remove: (kind: string, name: string) => void;
	readonly object: (kind: string, name: string) => Stored | undefined;
	readonly setFaults: (faults: ObjectStoreFaults) => void;
	readonly calls: () => number;
};

const writeBody = z.object({
	Metadata: z.object({Name: z.string(), Revision: z.number().optional()}),
	Spec: z.unknown().optional(),
	Status: z.unknown().optional(),
});

/** Starts a store on a loopback port; port zero takes a free one. */
export async function startObjectStore(port = 0): Promise<ObjectStoreStandIn> {
	const objects = new Map<string, Stored>();
	const history: Change[] = [];
	const waiting = new Set<() => void>();
	let revision = 1;
	let faults: ObjectStoreFaults = {};
	let calls = 0;

	function record(kind: string, object: Stored, isDeleted: boolean): void {
		history.push({
			kind, revision, Object: object, Deleted: isDeleted,
		});
		for (const wake of waiting) {
			wake();
		}
	}

	function write(kind: string, name: string, parts: {readonly Spec?: unknown; readonly Status?: unknown}): Stored {
		const key = `${kind}/${name}`;
		const known = objects.get(key);
		revision++;
		const object: Stored = {
			Metadata: {
				Name: name, Revision: revision, Created: known?.Metadata.Created ?? revision, Finalizers: [], Deleting: false,
			},
			Spec: 'Spec' in parts ? parts.Spec : known?.Spec,
			Status: 'Status' in parts ? parts.Status : known?.Status,
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

	async function isRefused(response: ServerResponse): Promise<boolean> {
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

	/** Answers a write, unless its answer is to be lost. */
	function acknowledge(response: ServerResponse, status: number, body: unknown): void {
		if (faults.loseAnswers) {
			response.destroy();
		} else {
			answer(response, status, body);
		}
	}

	function list(kind: string, after: string, response: ServerResponse): void {
		const names = [...objects.keys()].filter(key => key.startsWith(`${kind}/`)).map(key => key.slice(kind.length + 1)).filter(name => name > after).toSorted();
		const page = names.slice(0, pageSize);
		answer(response, 200, {items: page.map(name => objects.get(`${kind}/${name}`)), HasMore: names.length > page.length, CurrentRev: revision});
	}

	async function watch(kind: string, since: number, waitMs: number, response: ServerResponse): Promise<void> {
		if (faults.isHistoryLost) {
			answer(response, 410, {Error: 'gone'});
			return;
		}

		const news = () => history.filter(change => change.kind === kind && change.revision > since);
		if (news().length === 0) {
			await new Promise<void>(resolve => {
				const wake = () => {
					if (news().length > 0) {
						finish();
					}
				};

				const finish = () => {
					clearTimeout(timer);
					waiting.delete(wake);
					resolve();
				};

				const timer = setTimeout(finish, waitMs);
				waiting.add(wake);
			});
		}

		answer(response, 200, {events: news().map(({Object: object, Deleted}) => ({Object: object, Deleted})), CurrentRev: revision});
	}

	async function read(request: Routed, response: ServerResponse): Promise<void> {
		if (await isRefused(response)) {
			return;
		}

		const query = new URLSearchParams(request.search ?? '');
		const kind = request.params.kind ?? '';
		const since = query.get('Watch');
		if (since === null) {
			list(kind, query.get('after') ?? '', response);
		} else {
			await watch(kind, Number(since), Number(query.get('WaitMs') ?? 0), response);
		}
	}

	async function readOne(request: Routed, response: ServerResponse): Promise<void> {
		if (await isRefused(response)) {
			return;
		}

		const object = objects.get(`${request.params.kind}/${request.params.name}`);
		answer(response, object ? 200 : 404, object ?? {Error: 'no such object'});
	}

	async function create(request: Routed, response: ServerResponse): Promise<void> {
		const body = writeBody.parse(await readJsonBody(request));
		if (await isRefused(response)) {
			return;
		}

		const known = objects.get(`${request.params.kind}/${body.Metadata.Name}`);
		if (known) {
			answer(response, 409, known);
			return;
		}

		acknowledge(response, 201, write(request.params.kind ?? '', body.Metadata.Name, {Spec: body.Spec}));
	}

	async function replace(request: Routed, response: ServerResponse, part: 'Spec' | 'Status'): Promise<void> {
		const body = writeBody.parse(await readJsonBody(request));
		if (await isRefused(response)) {
			return;
		}

		const {kind = '', name = ''} = request.params;
		const known = objects.get(`${kind}/${name}`);
		if (!known) {
			answer(response, 404, {Error: 'no such object'});
			return;
		}

		if (body.Metadata.Revision !== undefined && body.Metadata.Revision !== known.Metadata.Revision) {
			answer(response, 409, known);
			return;
		}

		acknowledge(response, 200, write(kind, name, {[part]: body[part]}));
	}

	const standIn = await serve(port, app => {
		app.get('/api/objects/:kind', handle(read));
		app.get('/api/objects/:kind/:name', handle(readOne));
		app.post('/api/objects/:kind', handle(create));
		app.put('/api/objects/:kind/:name', handle(async (request, response) => replace(request, response, 'Spec')));
		app.put('/api/objects/:kind/:name/status', handle(async (request, response) => replace(request, response, 'Status')));
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
