/**
Stand-in for a service that accepts any request. It records every execution, so that tests can count them, and can be
made to hang, respond late, lose responses or announce a shutdown.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {z} from 'zod';
import {
	answer, asyncHandler, readJsonBody, readTextBody, startServer, type StandIn,
} from './server.js';

const faultsBody = z.object({
	/** Delay of every response, in ms. */
	delayMs: z.number().optional(),
	/** Requests are executed and never answered. */
	hang: z.boolean().optional(),
	/** Number of upcoming requests that are executed but whose connection is closed without a response. */
	loseAnswers: z.number().optional(),
	/** Announces a shutdown: requests are refused with status 503 and an `x-leaving` header, and not executed. */
	leaving: z.boolean().optional(),
});

export type ServiceFaults = z.input<typeof faultsBody>;

/** A request that the service executed. */
export type Execution = {
	/** Id of the service. */
	readonly service: string;
	/** Idempotency key, empty if the request had none. */
	readonly key: string;
	/** Attempt id, empty if the request had none. */
	readonly attempt: string;
	readonly program: string;
	readonly method: string;
	readonly path: string;
	readonly body: string;
};

export type ServiceStandIn = StandIn & {
	readonly executions: () => readonly Execution[];
	/** Replaces all faults in force. */
	readonly setFaults: (faults: ServiceFaults) => void;
};

export type ServiceStandInOptions = {
	readonly id: string;
	readonly port?: number;
};

/** Starts a service on a loopback port; port zero, the default, takes a free one. */
export async function startService(options: ServiceStandInOptions): Promise<ServiceStandIn> {
	const executions: Execution[] = [];
	let faults: z.output<typeof faultsBody> = {};

	const standIn = await startServer(options.port ?? 0, app => {
		app.get('/health', asyncHandler(async (_request, response) => {
			answer(response, 200, {}, faults.leaving ? {'x-leaving': 'true'} : {});
		}));
		app.post('/control/faults', asyncHandler(async (request, response) => {
			faults = faultsBody.parse(await readJsonBody(request));
			answer(response, 200, faults);
		}));
		app.get('/control/executions', asyncHandler(async (_request, response) => {
			answer(response, 200, executions);
		}));
		app.all('/*', asyncHandler(async (request, response) => {
			const body = await readTextBody(request);
			if (faults.leaving) {
				answer(response, 503, {message: 'leaving'}, {'x-leaving': 'true', 'retry-after': '1', 'x-attempt': String(request.headers['x-attempt'] ?? '')});
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
