/**
HTTP server shared by the stand-ins: polka on a loopback port, with helpers for JSON requests and responses.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import polka, {type Router, type RoutedRequest} from 'polka';

export const loopback = '127.0.0.1';

export type StandIn = {
	/** Host and port. */
	readonly address: string;
	readonly port: number;
	readonly server: Server;
	/** Closes the server and all its connections. */
	readonly close: () => Promise<void>;
};

/** Reads a JSON body. An empty body counts as an empty object. Rejects if it is not JSON. */
export async function readJsonBody(request: IncomingMessage): Promise<unknown> {
	const text = await readTextBody(request);
	return text === '' ? {} : JSON.parse(text);
}

/** Reads a body of any length as text. */
export async function readTextBody(request: IncomingMessage): Promise<string> {
	const parts: Uint8Array[] = [];
	for await (const part of request) {
		parts.push(Buffer.isBuffer(part) ? part : Buffer.from(String(part)));
	}

	return Buffer.concat(parts).toString('utf8');
}

/** Sends a JSON response, unless the connection is closed. */
export function answer(response: ServerResponse, status: number, body: unknown, headers: Record<string, string> = {}): void {
	if (response.destroyed) {
		return;
	}

	response.writeHead(status, {'content-type': 'application/json', ...headers});
	response.end(JSON.stringify(body));
}

/** Wraps an asynchronous handler so that a rejection is answered with status 500. */
export function asyncHandler(handler: (request: RoutedRequest, response: ServerResponse) => Promise<void>) {
	return (request: RoutedRequest, response: ServerResponse) => {
		void handler(request, response).catch((error: unknown) => {
			answer(response, 500, {message: String(error)});
		});
	};
}

/** Starts a server on a loopback port with the routes that `defineRoutes` adds; port zero takes a free one. */
export async function startServer(port: number, defineRoutes: (app: Router) => void): Promise<StandIn> {
	const server = createServer();
	const app = polka({
		server,
		onNoMatch(_request, response) {
			answer(response, 404, {message: 'no such path'});
		},
	});
	defineRoutes(app);
	app.listen(port, loopback);
	await once(server, 'listening');
	const boundAddress = server.address() ?? undefined;
	const actualPort = typeof boundAddress === 'object' ? boundAddress.port : port;
	return {
		address: `${loopback}:${actualPort}`,
		port: actualPort,
		server,
		async close() {
			const closed = once(server, 'close');
			server.close();
			server.closeAllConnections();
			await closed;
		},
	};
}
