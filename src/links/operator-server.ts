/**
HTTP server for operators, common to all processes: metrics and a state dump. It listens on a separate
address that callers cannot reach.
*/
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import polka, {type Router} from 'polka';
import {describeError, failure} from '../contracts/failure.js';
import {sendFailure, sendJson} from './reply.js';

export type OperatorListener = {
	/** Name of this process in failures. */
	readonly id: string;
	readonly host: string;
	readonly port: number;
	readonly metrics: {readonly text: () => Promise<string>};
	readonly dump: () => unknown;
	/** Adds the routes that only this process serves. */
	readonly addRoutes?: (app: Router) => void;
};

/** Starts the server for operators. Resolves once the port is bound. */
export async function openOperatorServer(listener: OperatorListener): Promise<Server> {
	const server = createServer();
	const app = polka({
		server,
		onNoMatch(_request, response) {
			sendFailure(response, failure('not-found', 'There is no resource at this path', {step: 'validate', peer: 'operator'}));
		},
	});
	app.get('/metrics', (_request, response) => {
		listener.metrics.text().then(text => {
			response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
			response.end(text);
		}, (error: unknown) => {
			sendFailure(response, failure('internal', describeError(error), {step: 'validate', peer: listener.id}));
		});
	});
	app.get('/dump', (_request, response) => {
		sendJson(response, 200, listener.dump());
	});
	listener.addRoutes?.(app);
	app.listen(listener.port, listener.host);
	await once(server, 'listening');
	return server;
}
