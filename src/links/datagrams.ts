/**
Short messages between instances over UDP: requests with a reply, and one-way messages. A request whose
message or reply is lost is sent again, so handling a message twice must have the same effect as handling it once.
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
import {type MessageKind, type ProcessLoad} from './process-load.js';

/** Content of a datagram, encoded as JSON. */
type Packet
	= | {readonly kind: 'request'; readonly number: number; readonly message: RelayMessage}
		| {readonly kind: 'reply'; readonly number: number; readonly reply: RelayReply}
		| {readonly kind: 'post'; readonly message: RelayMessage};

export type Datagrams = {
	/** Sends a request until it gets a reply, at most `options.tries` times. Resolves to undefined if none arrives. */
	readonly request: (address: Address, message: RelayMessage, options: MessageOptions) => Promise<RelayReply | undefined>;
	/** Sends a message without a reply, once. */
	readonly post: (address: Address, message: RelayMessage) => void;
	/** When a reply last arrived from the address, in time or not, as milliseconds of `performance.now()`. */
	readonly repliedAt: (address: Address) => Milliseconds | undefined;
};

/** Maximum number of addresses whose last reply is remembered. */
const maximumRepliers = 4096;

export type DatagramsOptions = {
	readonly host: string;
	readonly port: number;
	readonly onMessage: (message: RelayMessage) => Promise<RelayReply>;
	readonly onError: (reason: string) => void;
	/** Is told of each datagram. */
	readonly load?: Pick<ProcessLoad, 'recordReceived' | 'recordSent'> | undefined;
	readonly signal: AbortSignal;
};

function kindOf(packet: Packet): MessageKind {
	switch (packet.kind) {
		case 'request':
		case 'post': {
			return packet.message.kind;
		}

		case 'reply': {
			return `${packet.reply.kind}-reply`;
		}
	}
}

/** Opens the socket. Resolves once the port is bound; the socket closes when the signal aborts. */
export async function openDatagrams(options: DatagramsOptions): Promise<Datagrams> {
	const socket = createSocket('udp4');
	const pendingRequests = new Map<number, (reply: RelayReply) => void>();
	const lastReplies = new Map<Address, Milliseconds>();
	let lastRequestNumber = 0;

	function recordReply(from: Address): void {
		lastReplies.delete(from);
		lastReplies.set(from, as<Milliseconds>(performance.now()));
		const [oldest] = lastReplies.keys();
		if (lastReplies.size > maximumRepliers && oldest !== undefined) {
			lastReplies.delete(oldest);
		}
	}

	function send(address: Address, packet: Packet): void {
		if (options.signal.aborted) {
			return;
		}

		const {host, port} = splitAddress(address);
		const bytes = Buffer.from(JSON.stringify(packet));
		options.load?.recordSent(kindOf(packet), bytes.length);
		socket.send(bytes, port, host, error => {
			if (error) {
				options.onError(`sending a datagram to ${address} failed: ${describeError(error)}`);
			}
		});
	}

	async function handlePacket(packet: Packet, from: Address): Promise<void> {
		switch (packet.kind) {
			case 'request': {
				send(from, {kind: 'reply', number: packet.number, reply: await options.onMessage(packet.message)});
				return;
			}

			case 'reply': {
				recordReply(from);
				pendingRequests.get(packet.number)?.(packet.reply);
				return;
			}

			case 'post': {
				await options.onMessage(packet.message);
			}
		}
	}

	async function requestOnce(address: Address, message: RelayMessage, timeout: Milliseconds): Promise<RelayReply | undefined> {
		const number = ++lastRequestNumber;
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				pendingRequests.delete(number);
				resolve(undefined);
			}, timeout);
			pendingRequests.set(number, reply => {
				clearTimeout(timer);
				pendingRequests.delete(number);
				resolve(reply);
			});
			send(address, {kind: 'request', number, message});
		});
	}

	socket.on('message', (bytes, from) => {
		const startedAt = performance.now();
		try {
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Peers run the same program.
			const packet = JSON.parse(bytes.toString('utf8')) as Packet;
			handlePacket(packet, as<Address>(`${from.address}:${from.port}`)).catch((error: unknown) => {
				options.onError(`handling a datagram from ${from.address}:${from.port} failed: ${describeError(error)}`);
			});
			options.load?.recordReceived(kindOf(packet), bytes.length, performance.now() - startedAt);
		} catch (error) {
			options.onError(`datagram from ${from.address} is not valid JSON: ${describeError(error)}`);
		}
	});
	socket.on('error', error => {
		options.onError(`the socket at ${options.host}:${options.port} failed: ${describeError(error)}`);
	});
	socket.bind(options.port, options.host);
	await once(socket, 'listening');
	options.signal.addEventListener('abort', () => {
		socket.close();
	}, {once: true});
	return {
		async request(address, message, {timeout, attempts}) {
			for (let attempt = 0; attempt < attempts && !options.signal.aborted; attempt++) {
				const reply = await requestOnce(address, message, timeout);
				if (reply) {
					return reply;
				}
			}

			return undefined;
		},
		post(address, message) {
			send(address, {kind: 'post', message});
		},
		repliedAt: address => lastReplies.get(address),
	};
}
