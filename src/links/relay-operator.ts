/**
Link to operators of a relaying instance: metrics and a state dump, on an address that callers do not reach.
*/
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import polka from 'polka';
import {describeError, failure} from '../contracts/failure.js';
import {type RelayInstance} from '../machines/relay-instance.js';
import {sendFailure, sendJson} from './reply.js';
import {type RelayMetrics} from './relay-metrics.js';

export type RelayOperatorOptions = {
	readonly instance: Pick<RelayInstance, 'dump'>;
	readonly metrics: RelayMetrics;
	readonly host: string;
	readonly port: number;
};

/** Serves operators. Resolves once the port is bound. */
export async function serveRelayOperators(options: RelayOperatorOptions): Promise<Server> {
	const server = createServer();
	const app = polka({
		server,
		onNoMatch(_request, response) {
			sendFailure(response, failure('not-found', 'There is nothing at this path', {step: 'validate', peer: 'operator'}));
		},
	});
	app.get('/metrics', (_request, response) => {
		options.metrics.text().then(text => {
			response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
			response.end(text);
		}, (error: unknown) => {
			sendFailure(response, failure('internal', describeError(error), {step: 'validate', peer: 'operator'}));
		});
	});
	app.get('/dump', (_request, response) => {
		sendJson(response, 200, options.instance.dump());
	});
	app.listen(options.port, options.host);
	await once(server, 'listening');
	return server;
}
