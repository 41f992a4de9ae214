/**
Stand-in for the platform: versioned objects with conditional writes and long-poll watches, the instance list, request
counters, and injected faults: outages, delays, rate limits and lost responses.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {z} from 'zod';
import {
	answer, asyncHandler, readJsonBody, readTextBody, startServer, type StandIn,
} from './server.js';

const objectsPath = '/v1/objects/';
const maximumValueBytes = 1_000_000;

const faultsBody = z.object({
	/** Refuses every request. */
	down: z.boolean().optional(),
	/** Delay of every request, in ms. */
	delayMs: z.number().optional(),
	/** Number of upcoming writes that take effect but whose connection is closed without a response. */
	loseAnswers: z.number().optional(),
	/** Refuses requests for objects whose names start with this. */
	refusePrefix: z.string().optional(),
	/** Rate limit for requests per second; requests above it are refused. */
	callsPerSecond: z.number().positive().optional(),
});

const instanceBody = z.object({
	id: z.string(),
	role: z.enum(['entry', 'engine', 'service']),
	dataCentre: z.string(),
	address: z.string(),
	state: z.enum(['live', 'leaving', 'gone']),
});

/** `version` counts the writes of the object, `revision` is the store-wide count of writes when it was last written. */
type StoredObject = {version: number; value: unknown; revision: number};

export type PlatformCounts = {reads: number; writes: number; conflicts: number; watches: number; listings: number};

export type PlatformStandIn = StandIn & {
	readonly counts: () => PlatformCounts;
	/** Replaces all faults in force and wakes the watches, which answer at once during an outage. */
	readonly setFaults: (faults: z.input<typeof faultsBody>) => void;
	/** Adds, updates or removes an instance of the instance list. */
	readonly list: (entry: z.input<typeof instanceBody>) => void;
	readonly object: (name: string) => StoredObject | undefined;
	/** Writes an object, regardless of faults and its version. Returns the new version. */
	readonly put: (name: string, value: unknown) => number;
};

export type PlatformStandInOptions = {
	readonly port?: number;
	/** Delay with which changes appear in the instance list, in ms. */
	readonly listLagMs?: number;
};

/** Starts a platform without objects on a loopback port; port zero, the default, takes a free one. */
export async function startPlatform(options: PlatformStandInOptions = {}): Promise<PlatformStandIn> {
	const objects = new Map<string, StoredObject>();
	const deletedVersions = new Map<string, number>();
	const instanceList = new Map<string, z.output<typeof instanceBody>>();
	const counts: PlatformCounts = {
		reads: 0, writes: 0, conflicts: 0, watches: 0, listings: 0,
	};
	let faults: z.output<typeof faultsBody> = {};
	let revision = 0;
	let countedSecond = 0;
	let callsInSecond = 0;
	const wakeCallbacks: Array<() => void> = [];

	function put(name: string, value: unknown): number {
		revision++;
		const version = (objects.get(name)?.version ?? deletedVersions.get(name) ?? 0) + 1;
		objects.set(name, {version, value, revision});
		for (const wake of wakeCallbacks.splice(0)) {
			wake();
		}

		return version;
	}

	function latestRevision(prefix: string): number {
		let highest = 0;
		for (const [name, object] of objects) {
			if (name.startsWith(prefix)) {
				highest = Math.max(highest, object.revision);
			}
		}

		return highest;
	}

	/** Waits until an object is written or the faults are replaced, at most for the given time in ms. */
	async function change(maximumMs: number): Promise<void> {
		await Promise.race([
			new Promise<void>(resolve => {
				wakeCallbacks.push(resolve);
			}),
			delay(maximumMs),
		]);
	}

	/** Counts a request in the current second. Returns whether it exceeds the rate limit. */
	function exceedsRateLimit(): boolean {
		const second = Math.floor(Date.now() / 1000);
		callsInSecond = second === countedSecond ? callsInSecond + 1 : 1;
		countedSecond = second;
		return faults.callsPerSecond !== undefined && callsInSecond > faults.callsPerSecond;
	}

	/** Applies delays and refusals to a request. Resolves to false if it is to be answered with status 503. */
	async function admit(name: string): Promise<boolean> {
		if (faults.delayMs) {
			await delay(faults.delayMs);
		}

		const isRefused = faults.refusePrefix !== undefined && name.startsWith(faults.refusePrefix);
		return faults.down !== true && !isRefused && !exceedsRateLimit();
	}

	function updateInstance(entry: z.output<typeof instanceBody>): void {
		const apply = () => {
			if (entry.state === 'gone') {
				instanceList.delete(entry.id);
			} else {
				instanceList.set(entry.id, entry);
			}
		};

		if (options.listLagMs) {
			setTimeout(apply, options.listLagMs).unref();
		} else {
			apply();
		}
	}

	const standIn = await startServer(options.port ?? 0, app => {
		app.get(`${objectsPath}*`, asyncHandler(async (request, response) => {
			const name = decodeURI(request.path.slice(objectsPath.length));
			counts.reads++;
			if (!await admit(name)) {
				answer(response, 503, {message: 'outage'});
				return;
			}

			const object = objects.get(name);
			answer(response, 200, object ? {version: object.version, value: object.value} : {version: 0});
		}));
		app.put(`${objectsPath}*`, asyncHandler(async (request, response) => {
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
		app.delete(`${objectsPath}*`, asyncHandler(async (request, response) => {
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

			// An object that is created again continues with the next version, so that no version of a name repeats.
			deletedVersions.set(name, version);
			objects.delete(name);
			answer(response, 200, {version});
		}));
		app.get('/v1/watch', asyncHandler(async (request, response) => {
			const query = new URLSearchParams(request.search ?? '');
			const prefix = query.get('prefix') ?? '';
			const since = Number(query.get('since'));
			const deadline = Date.now() + Number(query.get('wait'));
			counts.watches++;
			while (latestRevision(prefix) <= since && Date.now() < deadline && !response.destroyed && faults.down !== true) {
				await change(deadline - Date.now());
			}

			if (await admit(prefix)) {
				answer(response, 200, {revision: latestRevision(prefix)});
			} else {
				answer(response, 503, {message: 'outage'});
			}
		}));
		app.get('/v1/instances', asyncHandler(async (_request, response) => {
			counts.listings++;
			if (await admit('instances')) {
				answer(response, 200, [...instanceList.values()]);
			} else {
				answer(response, 503, {message: 'outage'});
			}
		}));
		app.post('/control/faults', asyncHandler(async (request, response) => {
			faults = faultsBody.parse(await readJsonBody(request));
			answer(response, 200, faults);
		}));
		app.post('/control/instances', asyncHandler(async (request, response) => {
			updateInstance(instanceBody.parse(await readJsonBody(request)));
			answer(response, 200, {});
		}));
		app.get('/control/counts', asyncHandler(async (_request, response) => {
			answer(response, 200, counts);
		}));
	});

	return {
		...standIn,
		counts: () => ({...counts}),
		setFaults(next) {
			faults = next;
			for (const wake of wakeCallbacks.splice(0)) {
				wake();
			}
		},
		list: updateInstance,
		object: name => objects.get(name),
		put,
	};
}
