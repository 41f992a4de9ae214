/**
Calls of this instance's callers that are forwarded to another instance. The connection to a frozen
process stays open, so a forwarded call also ends when the membership view lists the other instance as dead.
*/
import {type CallEvent} from '../contracts/call.js';
import {failure} from '../contracts/failure.js';
import {type InstanceId} from '../contracts/id.js';
import {type Member} from './membership.js';
import {type Peers, type StreamRequest} from './peers.js';

type ForwardedCall = {readonly peer: InstanceId; readonly controller: AbortController};

export type ForwardedCalls = {
	/** Events of a call from its home. Ends with a refusal of code `peer-unreachable` when the peer is declared dead. */
	readonly follow: (peer: Member, request: StreamRequest, signal: AbortSignal) => AsyncGenerator<CallEvent, void, undefined>;
	/** Aborts the calls forwarded to instances that are now considered dead. */
	readonly abortToDead: () => void;
};

export type ForwardedCallsOptions = {
	readonly peers: Peers;
	readonly members: () => readonly Member[];
};

/** Creates an empty set of forwarded calls. */
export function createForwardedCalls(options: ForwardedCallsOptions): ForwardedCalls {
	const active = new Set<ForwardedCall>();

	async function * follow(peer: Member, request: StreamRequest, signal: AbortSignal): AsyncGenerator<CallEvent, void, undefined> {
		const forward: ForwardedCall = {peer: peer.id, controller: new AbortController()};
		active.add(forward);
		try {
			yield * options.peers.stream(peer, request, AbortSignal.any([signal, forward.controller.signal]));
		} finally {
			active.delete(forward);
		}

		if (forward.controller.signal.aborted) {
			yield {
				kind: 'refused',
				failure: failure('peer-unreachable', `${peer.id} was declared dead during the call`, {step: 'forward', peer: peer.id, execution: 'unknown'}),
			};
		}
	}

	return {
		follow,
		abortToDead() {
			const alive = new Set(options.members().filter(member => member.status !== 'dead').map(member => member.id));
			for (const forward of active) {
				if (!alive.has(forward.peer)) {
					forward.controller.abort(new Error(`${forward.peer} is dead`));
				}
			}
		},
	};
}
