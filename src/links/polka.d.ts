/**
Types for the part of polka 0.5 that the links use; the published types are for a later release.
*/
declare module 'polka' {
	import {type IncomingMessage, type Server, type ServerResponse} from 'node:http';

	/** A request after routing. */
	export type RoutedRequest = IncomingMessage & {
		readonly params: Readonly<Record<string, string>>;
		readonly path: string;
		/** Query string with its question mark; polka 0.5 sets it to null if there is none. */
		readonly search: string | undefined;
	};

	export type Handler = (request: RoutedRequest, response: ServerResponse) => void;

	export type Router = {
		readonly get: (pattern: string, handler: Handler) => Router;
		readonly post: (pattern: string, handler: Handler) => Router;
		readonly put: (pattern: string, handler: Handler) => Router;
		readonly delete: (pattern: string, handler: Handler) => Router;
		readonly all: (pattern: string, handler: Handler) => Router;
		readonly listen: (port: number, host: string) => Router;
		/** Routes a request; for servers that do not pass every request on. */
		readonly handler: (request: IncomingMessage, response: ServerResponse) => void;
	};

	export type Options = {
		readonly server: Server;
		readonly onNoMatch: Handler;
	};

	export default function polka(options: Options): Router;
}
