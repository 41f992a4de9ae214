/**
Stand-in of the platform: objects with versions, conditional updates and watches, the instance list,
counted calls, and switches for outage, slowness and lost answers.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {z} from 'zod';
import {
	answer, handle, readJsonBody, readTextBody, serve, type StandIn,
} from './server.js';

const objectsPath = '/v1/objects/';
const maximumValueBytes = 1_000_000;

const faultsBody = z.object({
	down: z.boolean().optional(),
	delayMs: z.number().optional(),
	/** Number of the next writes that take effect without an answer. */
	loseAnswers: z.number().optional(),
	/** Refuses objects whose names begin like this. */
	refusePrefix: z.string().optional(),
	/** Calls a second above which the platform refuses more. */
	callsPerSecond: z.number().positive().optional(),
});

const listingBody = z.object({
	id: z.string(),
	role: z.enum(['entry', 'engine', 'service']),
	dataCentre: z.string(),
	address: z.string(),
	state: z.enum(['live', 'leaving', 'gone']),
});

type Stored = {version: number; value: unknown; revision: number};

export type PlatformCounts = {reads: number; writes: number; conflicts: number; watches: number; listings: number};

export type PlatformStandIn = StandIn & {
	readonly counts: () => PlatformCounts;
	readonly setFaults: (faults: z.input<typeof faultsBody>) => void;
	readonly list: (entry: z.input<typeof listingBody>) => void;
	readonly object: (name: string) => Stored | undefined;
	readonly put: (name: string, value: unknown) => number;
};

export type PlatformStandInOptions = {
	readonly port?: number;
	/** Time by which the instance list lags behind, in ms. */
	readonly listLagMs?: number;
};

/** Starts a platform with no objects. */
export async function startPlatform(options: PlatformStandInOptions = {}): Promise<PlatformStandIn> {
	const objects = new Map<string, Stored>();
	const lowest = new Map<string, number>();
	const listing = new Map<string, z.output<typeof listingBody>>();
	const counts: PlatformCounts = {
		reads: 0, writes: 0, conflicts: 0, watches: 0, listings: 0,
	};
	let faults: z.output<typeof faultsBody> = {};
	let revision = 0;
	let countedSecond = 0;
	let callsInSecond = 0;
	const waiting: Array<() => void> = [];

	function put(name: string, value: unknown): number {
		revision++;
		const version = (objects.get(name)?.version ?? lowest.get(name) ?? 0) + 1;
		objects.set(name, {version, value, revision});
		for (const wake of waiting.splice(0)) {
			wake();
		}

		return version;
	}

	function latest(prefix: string): number {
		let highest = 0;
		for (const [name, object] of objects) {
			if (name.startsWith(prefix)) {
				highest = Math.max(highest, object.revision);
			}
		}

		return highest;
	}

	async function change(wait: number): Promise<void> {
		await Promise.race([
			new Promise<void>(resolve => {
				waiting.push(resolve);
			}),
			delay(wait),
		]);
	}

	/** Counts a call in the current second. */
	function isOverRate(): boolean {
		const second = Math.floor(Date.now() / 1000);
		callsInSecond = second === countedSecond ? callsInSecond + 1 : 1;
		countedSecond = second;
		return faults.callsPerSecond !== undefined && callsInSecond > faults.callsPerSecond;
	}

	/** Whether the platform serves a request now; an outage answers nothing useful. */
	async function admit(name: string): Promise<boolean> {
		if (faults.delayMs) {
			await delay(faults.delayMs);
		}

		const isRefused = faults.refusePrefix !== undefined && name.startsWith(faults.refusePrefix);
		return faults.down !== true && !isRefused && !isOverRate();
	}

	function learn(entry: z.output<typeof listingBody>): void {
		const apply = () => {
			if (entry.state === 'gone') {
				listing.delete(entry.id);
			} else {
				listing.set(entry.id, entry);
			}
		};

		if (options.listLagMs) {
			setTimeout(apply, options.listLagMs).unref();
		} else {
			apply();
		}
	}

	const standIn = await serve(options.port ?? 0, app => {
		app.get(`${objectsPath}*`, handle(async (request, response) => {
			const name = decodeURI(request.path.slice(objectsPath.length));
			counts.reads++;
			if (!await admit(name)) {
				answer(response, 503, {message: 'outage'});
				return;
			}

			const object = objects.get(name);
			answer(response, 200, object ? {version: object.version, value: object.value} : {version: 0});
		}));
		app.put(`${objectsPath}*`, handle(async (request, response) => {
			const name = decodeURI(request.path.slice(objectsPath.length));
			const text = await readTextBody(request);
			counts.writes++;
			if (!await admit(name)) {
				answer(response, 503, {message: 'outage'});
				return;
			}

			if (text.length > maximumValueBytes) {
				answer(response, 413, {message: 'value too large'});
				return;
			}

			if (Number(request.headers['if-match']) !== (objects.get(name)?.version ?? 0)) {
				counts.conflicts++;
				answer(response, 412, {message: 'version conflict'});
				return;
			}

			const version = put(name, JSON.parse(text));
			if (faults.loseAnswers !== undefined && faults.loseAnswers > 0) {
				faults = {...faults, loseAnswers: faults.loseAnswers - 1};
				response.destroy();
				return;
			}

			answer(response, 200, {version});
		}));
		app.delete(`${objectsPath}*`, handle(async (request, response) => {
			const name = decodeURI(request.path.slice(objectsPath.length));
			counts.writes++;
			if (!await admit(name)) {
				answer(response, 503, {message: 'outage'});
				return;
			}

			const version = objects.get(name)?.version ?? 0;
			if (Number(request.headers['if-match']) !== version) {
				counts.conflicts++;
				answer(response, 412, {message: 'version conflict'});
				return;
			}

			// A name that comes back must not repeat a version.
			lowest.set(name, version);
			objects.delete(name);
			answer(response, 200, {version});
		}));
		app.get('/v1/watch', handle(async (request, response) => {
			const query = new URLSearchParams(request.search ?? '');
			const prefix = query.get('prefix') ?? '';
			const since = Number(query.get('since'));
			const until = Date.now() + Number(query.get('wait'));
			counts.watches++;
			while (latest(prefix) <= since && Date.now() < until && !response.destroyed && faults.down !== true) {
				await change(until - Date.now());
			}

			if (await admit(prefix)) {
				answer(response, 200, {revision: latest(prefix)});
			} else {
				answer(response, 503, {message: 'outage'});
			}
		}));
		app.get('/v1/instances', handle(async (_request, response) => {
			counts.listings++;
			if (await admit('instances')) {
				answer(response, 200, [...listing.values()]);
			} else {
				answer(response, 503, {message: 'outage'});
			}
		}));
		app.post('/control/faults', handle(async (request, response) => {
			faults = faultsBody.parse(await readJsonBody(request));
			answer(response, 200, faults);
		}));
		app.post('/control/instances', handle(async (request, response) => {
			learn(listingBody.parse(await readJsonBody(request)));
			answer(response, 200, {});
		}));
		app.get('/control/counts', handle(async (_request, response) => {
			answer(response, 200, counts);
		}));
	});

	return {
		...standIn,
		counts: () => ({...counts}),
		setFaults(next) {
			faults = next;
			for (const wake of waiting.splice(0)) {
				wake();
			}
		},
		list: learn,
		object: name => objects.get(name),
		put,
	};
}
