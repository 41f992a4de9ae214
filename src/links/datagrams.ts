/**
Short messages between instances in UDP datagrams, each with a reply. A lost message or reply is made up
for by sending again; receivers take repeated messages as they take the first.
*/
import {Buffer} from 'node:buffer';
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {describeError} from '../contracts/failure.js';
import {
	as, type Address, type Milliseconds, splitAddress,
} from '../contracts/id.js';
import {
	type MessageOptions, type RelayMessage, type RelayReply,
} from '../zones/relay-peers.js';

/** What one datagram carries. */
type Packet
	= | {readonly kind: 'request'; readonly number: number; readonly message: RelayMessage}
		| {readonly kind: 'reply'; readonly number: number; readonly reply: RelayReply}
		| {readonly kind: 'post'; readonly message: RelayMessage};

export type Datagrams = {
	readonly request: (address: Address, message: RelayMessage, options: MessageOptions) => Promise<RelayReply | undefined>;
	readonly post: (address: Address, message: RelayMessage) => void;
};

export type DatagramsOptions = {
	readonly host: string;
	readonly port: number;
	readonly onMessage: (message: RelayMessage) => Promise<RelayReply>;
	readonly onError: (reason: string) => void;
	readonly signal: AbortSignal;
};

/** Opens the socket. Resolves once the port is bound; the socket closes when the signal aborts. */
export async function openDatagrams(options: DatagramsOptions): Promise<Datagrams> {
	const socket = createSocket('udp4');
	const waiting = new Map<number, (reply: RelayReply) => void>();
	let lastNumber = 0;

	function send(address: Address, packet: Packet): void {
		if (options.signal.aborted) {
			return;
		}

		const {host, port} = splitAddress(address);
		socket.send(Buffer.from(JSON.stringify(packet)), port, host, error => {
			if (error) {
				options.onError(`datagram to ${address}: ${describeError(error)}`);
			}
		});
	}

	async function receive(packet: Packet, from: Address): Promise<void> {
		switch (packet.kind) {
			case 'request': {
				send(from, {kind: 'reply', number: packet.number, reply: await options.onMessage(packet.message)});
				return;
			}

			case 'reply': {
				waiting.get(packet.number)?.(packet.reply);
				return;
			}

			case 'post': {
				await options.onMessage(packet.message);
			}
		}
	}

	async function askOnce(address: Address, message: RelayMessage, timeout: Milliseconds): Promise<RelayReply | undefined> {
		const number = ++lastNumber;
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				waiting.delete(number);
				resolve(undefined);
			}, timeout);
			waiting.set(number, reply => {
				clearTimeout(timer);
				waiting.delete(number);
				resolve(reply);
			});
			send(address, {kind: 'request', number, message});
		});
	}

	socket.on('message', (bytes, from) => {
		try {
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Peers run the same program.
			const packet = JSON.parse(bytes.toString('utf8')) as Packet;
			receive(packet, as<Address>(`${from.address}:${from.port}`)).catch((error: unknown) => {
				options.onError(describeError(error));
			});
		} catch (error) {
			options.onError(`datagram from ${from.address} is not JSON: ${describeError(error)}`);
		}
	});
	socket.on('error', error => {
		options.onError(describeError(error));
	});
	socket.bind(options.port, options.host);
	await once(socket, 'listening');
	options.signal.addEventListener('abort', () => {
		socket.close();
	}, {once: true});
	return {
		async request(address, message, {timeout, tries}) {
			for (let attempt = 0; attempt < tries && !options.signal.aborted; attempt++) {
				const reply = await askOnce(address, message, timeout);
				if (reply) {
					return reply;
				}
			}

			return undefined;
		},
		post(address, message) {
			send(address, {kind: 'post', message});
		},
	};
}
