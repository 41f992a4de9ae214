/**
The turn of a relayed request on a route that keeps turns: its body, the record of the events that are relayed, and what
happens at the end of its stream.
*/
import {type Milliseconds} from '../contracts/id.js';
import {type RelayRoute} from '../contracts/relay.js';
import {type Refusal, type RelayRequest, type StreamEvent} from '../contracts/relay-request.js';
import {type WorkspaceName} from '../contracts/workspace.js';
import {type KeptTurns, type OpenedTurn, type TurnResumption} from './kept-turns.js';

/** A turn that was opened. */
export type RelayTurn = {
	/** The body that endpoints receive. */
	readonly body: Uint8Array;
	/** Records an event that the caller is sent. */
	readonly record: (event: StreamEvent) => void;
	/** Resolves to whether the end of the response may be sent. */
	readonly keep: (timeLeft: Milliseconds) => Promise<boolean>;
	/** Ends the turn; what the caller has received of one that was not kept is stored if the route lets it resume the stream. */
	readonly end: () => void;
};

export type TurnOpening
	= | {readonly kind: 'opened'; readonly turn: RelayTurn}
		| {readonly kind: 'refused'; readonly refusal: Refusal};

export type RelayTurnsOptions = {
	readonly turns: KeptTurns;
	/** Data of an encoded event; undefined if it has none. */
	readonly dataOf: (event: Uint8Array) => Uint8Array | undefined;
};

/** What a request was admitted with: the workspace, if there are any, the time for which its caller waits, and a signal that aborts when it ends. */
export type AdmittedTurn = {readonly workspace: WorkspaceName | undefined; readonly timeLeft: Milliseconds; readonly signal: AbortSignal};

export type RelayTurns = {
	/** Opens the turn of a request. */
	readonly open: (request: RelayRequest, route: RelayRoute, admitted: AdmittedTurn) => Promise<TurnOpening>;
};

const notResumable: TurnOpening = {kind: 'refused', refusal: {kind: 'not-resumable'}};

/** Creates the turns of an instance's relay. */
export function createRelayTurns({turns, dataOf}: RelayTurnsOptions): RelayTurns {
	function startTurn({body, received, recorder}: Extract<OpenedTurn, {kind: 'opened'}>, route: RelayRoute): RelayTurn {
		let lastEvent: number | undefined;
		let isKept = false;
		return {
			body,
			record({id, bytes}) {
				// An endpoint may send events again that the caller received before it named an earlier one.
				if (received && id <= received.lastEvent) {
					return;
				}

				lastEvent = id;
				const data = dataOf(bytes);
				if (data) {
					recorder.event(data);
				}
			},
			async keep(timeLeft) {
				isKept = await recorder.keep(timeLeft);
				return isKept;
			},
			end() {
				if (!isKept && lastEvent !== undefined && route.repetition === 'resumable') {
					recorder.breakOff(lastEvent);
				}

				recorder.close();
			},
		};
	}

	return {
		async open(request, route, {workspace, timeLeft, signal}) {
			const {attempt, previousTurn: previous, body: input, lastEvent, firstAttempt} = request;
			if (lastEvent !== undefined && firstAttempt === undefined) {
				return notResumable;
			}

			const resumption: TurnResumption | undefined = lastEvent === undefined || firstAttempt === undefined ? undefined : {firstAttempt, lastEvent};
			const opened = await turns.open({
				attempt, previous, workspace, program: request.program?.id, input, retention: route.retention, timeLeft, signal, resumption,
			});
			switch (opened.kind) {
				case 'opened': {
					const turn = startTurn(opened, route);
					if (resumption && !opened.received) {
						turn.end();
						return notResumable;
					}

					return {kind: 'opened', turn};
				}

				case 'unknown-turn':
				case 'too-long': {
					return {kind: 'refused', refusal: {kind: opened.kind}};
				}

				case 'unavailable': {
					return {kind: 'refused', refusal: {kind: 'not-run', retryAfter: opened.retryAfter}};
				}
			}
		},
	};
}
