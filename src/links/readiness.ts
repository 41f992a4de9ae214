/**
Readiness checks of a balancer: 200 while new callers may come, otherwise 503, on any path.
*/
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';

export type ReadinessOptions = {
	readonly host: string;
	readonly port: number;
	readonly isReady: () => boolean;
};

/** Serves the checks. Resolves once the port is bound. */
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
