/**
HTTP server for operators of an entry instance: health, metrics, state dump, explanation of calls and
the drain command. It listens on a separate address that callers cannot reach.
*/
import {type Server} from 'node:http';
import {parseProgramId} from '../contracts/id.js';
import {type Instance} from '../machines/instance.js';
import {type Metrics} from './metrics.js';
import {openOperatorServer} from './operator-server.js';
import {sendFailure, sendJson} from './reply.js';

export type OperatorServerOptions = {
	readonly instance: Instance;
	readonly metrics: Metrics;
	readonly host: string;
	readonly port: number;
	/** Called when an operator sends the drain command, which starts the graceful shutdown. */
	readonly onDrain: () => void;
};

/** Starts the server for operators. Resolves once the port is bound. */
export async function serveOperators(options: OperatorServerOptions): Promise<Server> {
	const {instance} = options;
	return openOperatorServer({
		...options,
		id: instance.id,
		dump: instance.dump,
		addRoutes(app) {
			app.get('/health/live', (_request, response) => {
				sendJson(response, 200, {live: true});
			});
			app.get('/health/ready', (_request, response) => {
				const ready = instance.isReady();
				sendJson(response, ready ? 200 : 503, {ready, generation: instance.configuration().generation});
			});
			app.get('/explain/:program', (request, response) => {
				parseProgramId(request.params.program ?? '').match(program => {
					sendJson(response, 200, {instance: instance.id, events: instance.explain(program)});
				}, reason => {
					sendFailure(response, reason);
				});
			});
			app.post('/drain', (_request, response) => {
				sendJson(response, 202, {draining: true});
				options.onDrain();
			});
		},
	});
}
