/**
Forwards: calls of this instance's callers that run at another instance. A connection to a frozen
process stays open, so each forward also ends when the view says that the other instance is dead.
*/
import {type CallEvent} from '../contracts/call.js';
import {failure} from '../contracts/failure.js';
import {type InstanceId} from '../contracts/id.js';
import {type Member} from './membership.js';
import {type Peers, type StreamRequest} from './peers.js';

type Forward = {readonly peer: InstanceId; readonly controller: AbortController};

export type ForwardedCalls = {
	/** Events of a call from its home. Ends with a refusal of code `peer-unreachable` when the home dies. */
	readonly follow: (peer: Member, request: StreamRequest, signal: AbortSignal) => AsyncGenerator<CallEvent, void, undefined>;
	/** Ends the forwards to instances that are dead by now. */
	readonly abortToDead: () => void;
};

export type ForwardedCallsOptions = {
	readonly peers: Peers;
	readonly members: () => readonly Member[];
};

/** Creates an empty set of forwards. */
export function createForwardedCalls(options: ForwardedCallsOptions): ForwardedCalls {
	const active = new Set<Forward>();

	async function * follow(peer: Member, request: StreamRequest, signal: AbortSignal): AsyncGenerator<CallEvent, void, undefined> {
		const forward: Forward = {peer: peer.id, controller: new AbortController()};
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
