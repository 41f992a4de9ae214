/**
Shared parts of the stand-ins: a polka server on a loopback port with JSON requests and replies.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import polka, {type Router, type Routed} from 'polka';

export const loopback = '127.0.0.1';

export type StandIn = {
	readonly address: string;
	readonly port: number;
	readonly server: Server;
	readonly close: () => Promise<void>;
};

/** Reads a JSON body; an empty one is an empty object. */
export async function readJsonBody(request: IncomingMessage): Promise<unknown> {
	const text = await readTextBody(request);
	return text === '' ? {} : JSON.parse(text);
}

/** Reads a body as text. */
export async function readTextBody(request: IncomingMessage): Promise<string> {
	const parts: Uint8Array[] = [];
	for await (const part of request) {
		parts.push(Buffer.isBuffer(part) ? part : Buffer.from(String(part)));
	}

	return Buffer.concat(parts).toString('utf8');
}

/** Answers with JSON. */
export function answer(response: ServerResponse, status: number, body: unknown, headers: Record<string, string> = {}): void {
	if (response.destroyed) {
		return;
	}

	response.writeHead(status, {'content-type': 'application/json', ...headers});
	response.end(JSON.stringify(body));
}

/** Wraps an asynchronous handler; a fault of the stand-in itself is answered with status 500. */
export function handle(handler: (request: Routed, response: ServerResponse) => Promise<void>) {
	return (request: Routed, response: ServerResponse) => {
		void handler(request, response).catch((error: unknown) => {
			answer(response, 500, {message: String(error)});
		});
	};
}

/** Serves the routes that `define` adds on a loopback port; port zero takes a free one. */
export async function serve(port: number, define: (app: Router) => void): Promise<StandIn> {
	const server = createServer();
	const app = polka({
		server,
		onNoMatch(_request, response) {
			answer(response, 404, {message: 'no such path'});
		},
	});
	define(app);
	app.listen(port, loopback);
	await once(server, 'listening');
	const bound = server.address() ?? undefined;
	const actual = typeof bound === 'object' ? bound.port : port;
	return {
		address: `${loopback}:${actual}`,
		port: actual,
		server,
		async close() {
			const closed = once(server, 'close');
			server.close();
			server.closeAllConnections();
			await closed;
		},
	};
}
