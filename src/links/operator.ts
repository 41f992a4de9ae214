/**
Link to operators: health, metrics, state dump, explanation of calls and the order to drain. Served on
an address of its own, which callers do not reach.
*/
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import polka from 'polka';
import {describeError, failure} from '../contracts/failure.js';
import {parseProgramId} from '../contracts/id.js';
import {type Instance} from '../machines/instance.js';
import {type Metrics} from './metrics.js';
import {sendFailure, sendJson} from './reply.js';

export type OperatorServerOptions = {
	readonly instance: Instance;
	readonly metrics: Metrics;
	readonly host: string;
	readonly port: number;
	/** Starts the planned stop. */
	readonly onDrain: () => void;
};

/** Serves operators. Resolves once the port is bound. */
export async function serveOperators(options: OperatorServerOptions): Promise<Server> {
	const {instance} = options;
	const server = createServer();
	const app = polka({
		server,
		onNoMatch(_request, response) {
			sendFailure(response, failure('not-found', 'There is nothing at this path', {step: 'validate', peer: 'operator'}));
		},
	});
	app.get('/health/live', (_request, response) => {
		sendJson(response, 200, {live: true});
	});
	app.get('/health/ready', (_request, response) => {
		const ready = instance.isReady();
		sendJson(response, ready ? 200 : 503, {ready, generation: instance.configuration().generation});
	});
	app.get('/metrics', (_request, response) => {
		void options.metrics.text().then(text => {
			response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
			response.end(text);
		}, (error: unknown) => {
			sendFailure(response, failure('internal', describeError(error), {step: 'validate', peer: instance.id}));
		});
	});
	app.get('/dump', (_request, response) => {
		sendJson(response, 200, instance.dump());
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
	app.listen(options.port, options.host);
	await once(server, 'listening');
	return server;
}
