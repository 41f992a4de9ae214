/**
Readiness check for a load balancer: on any path, 200 while this instance accepts new callers, otherwise 503.
*/
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';

export type ReadinessOptions = {
	readonly host: string;
	readonly port: number;
	readonly isReady: () => boolean;
};

/** Starts the readiness server. Resolves once the port is bound. */
export async function serveReadiness(options: ReadinessOptions): Promise<Server> {
	const server = createServer((_request, response) => {
		const isReady = options.isReady();
		response.writeHead(isReady ? 200 : 503, {'content-length': 0});
		response.end();
	});
	server.listen(options.port, options.host);
	await once(server, 'listening');
	return server;
}
