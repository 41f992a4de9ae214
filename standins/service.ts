/**
Stand-in of a plain service. Every execution is written to a log that tests count, and switches make
it hang, answer late, lose its answer or leave.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {z} from 'zod';
import {
	answer, handle, readJsonBody, readTextBody, serve, type StandIn,
} from './server.js';

const faultsBody = z.object({
	delayMs: z.number().optional(),
	/** Requests are executed and never answered. */
	hang: z.boolean().optional(),
	/** Number of the next requests that are executed and whose answer is lost. */
	loseAnswers: z.number().optional(),
	leaving: z.boolean().optional(),
});

export type ServiceFaults = z.input<typeof faultsBody>;

/** One request that the service carried out. */
export type Execution = {
	readonly service: string;
	readonly key: string;
	readonly attempt: string;
	readonly program: string;
	readonly method: string;
	readonly path: string;
	readonly body: string;
};

export type ServiceStandIn = StandIn & {
	readonly executions: () => readonly Execution[];
	readonly setFaults: (faults: ServiceFaults) => void;
};

export type ServiceStandInOptions = {
	readonly id: string;
	readonly port?: number;
};

/** Starts a service that accepts any path. */
export async function startService(options: ServiceStandInOptions): Promise<ServiceStandIn> {
	const executions: Execution[] = [];
	let faults: z.output<typeof faultsBody> = {};

	const standIn = await serve(options.port ?? 0, app => {
		app.get('/health', handle(async (_request, response) => {
			answer(response, 200, {}, faults.leaving ? {'x-leaving': 'true'} : {});
		}));
		app.post('/control/faults', handle(async (request, response) => {
			faults = faultsBody.parse(await readJsonBody(request));
			answer(response, 200, faults);
		}));
		app.get('/control/executions', handle(async (_request, response) => {
			answer(response, 200, executions);
		}));
		app.all('/*', handle(async (request, response) => {
			const body = await readTextBody(request);
			if (faults.leaving) {
				answer(response, 503, {message: 'leaving'}, {'x-leaving': 'true', 'retry-after': '1'});
				return;
			}

			const execution: Execution = {
				service: options.id,
				key: String(request.headers['idempotency-key'] ?? ''),
				attempt: String(request.headers['x-attempt'] ?? ''),
				program: String(request.headers['x-program'] ?? ''),
				method: request.method ?? '',
				path: `${request.path}${request.search ?? ''}`,
				body,
			};
			executions.push(execution);
			if (faults.hang) {
				return;
			}

			if (faults.loseAnswers !== undefined && faults.loseAnswers > 0) {
				faults = {...faults, loseAnswers: faults.loseAnswers - 1};
				response.destroy();
				return;
			}

			if (faults.delayMs) {
				await delay(faults.delayMs);
			}

			answer(response, 200, {service: options.id, path: execution.path, executed: executions.length});
		}));
	});

	return {
		...standIn,
		executions: () => executions,
		setFaults(next) {
			faults = next;
		},
	};
}
