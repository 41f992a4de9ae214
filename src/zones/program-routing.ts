/**
Routing of requests about programs: sends a request to the owner of the program's home shard, which is
this instance or a peer, and retries when the shard has moved to another owner.
*/
import {type CallEvent, type Position} from '../contracts/call.js';
import {type Clock} from '../contracts/clock.js';
import {type Failure, failure} from '../contracts/failure.js';
import {
	as, type Home, homeOf, type InstanceId, type Milliseconds,
} from '../contracts/id.js';
import {type DataCentre} from './data-centre.js';
import {type ForwardedCalls} from './forwarded-calls.js';
import {
	type Peers, type ProgramReply, type ProgramRequest, type StreamRequest,
} from './peers.js';
import {type Shard} from './shard.js';

/** Time for which a request about a program is retried while its home moves. */
const routingTimeoutMs = 10_000;

/** Time for which a stream that follows an earlier call is retried while the home moves. */
const followTimeoutMs = 60_000;

const routingRetryMs = 100;

export type ProgramRouting = {
	/** Sends a request about a program to its home, at this instance or a peer. */
	readonly program: (request: ProgramRequest) => Promise<ProgramReply>;
	/** Events of a call; the stream continues when the program's home moves to another owner. */
	readonly stream: (request: StreamRequest, signal: AbortSignal) => AsyncGenerator<CallEvent, void, undefined>;
	/** Answers as the owner of the home shard. Fails with `not-owner` if this instance is not the owner. */
	readonly answerProgram: (request: ProgramRequest) => Promise<ProgramReply>;
	readonly answerStream: (request: StreamRequest, signal: AbortSignal) => AsyncGenerator<CallEvent, void, undefined>;
};

export type ProgramRoutingOptions = {
	readonly id: InstanceId;
	readonly dataCentre: DataCentre;
	readonly forwardedCalls: ForwardedCalls;
	readonly peers: Peers;
	readonly clock: Clock;
};

function isHomeMoving(reason: Failure): boolean {
	return reason.code === 'not-owner' || reason.code === 'leaving' || reason.code === 'peer-unreachable';
}

function homeOfRequest(request: ProgramRequest): Home {
	return request.kind === 'open' ? request.home : homeOf(request.program);
}

function homeOfStream(request: StreamRequest): Home {
	return homeOf(request.kind === 'call' ? request.call.program : request.target.program);
}

/** Whether a refusal comes from an owner that has opened the shard's ledger, and so knows of every earlier attempt. */
function isFromLedger(reason: Failure): boolean {
	return !isHomeMoving(reason) && reason.step !== 'recover';
}

/** After a lost connection, only the ledger shows that a call did not run; other refusals leave that unknown. */
function withUnknownExecution(event: CallEvent): CallEvent {
	if (event.kind !== 'refused' || isFromLedger(event.failure)) {
		return event;
	}

	return {kind: 'refused', failure: {...event.failure, execution: 'unknown'}};
}

function at(request: StreamRequest, position: Position): StreamRequest {
	return {...request, position};
}

/** Creates the routing of program requests for an instance. */
export function createProgramRouting(options: ProgramRoutingOptions): ProgramRouting {
	const {dataCentre, forwardedCalls, peers, clock} = options;

	function unreachable(home: Home): Failure {
		return failure('peer-unreachable', `No instance of data centre "${home.dataCentre}" can be reached`, {
			step: 'forward', peer: home.dataCentre, retryAfter: as<Milliseconds>(routingTimeoutMs),
		});
	}

	async function sendToOwner(request: ProgramRequest): Promise<ProgramReply> {
		const home = homeOfRequest(request);
		const owner = dataCentre.owner(home);
		if (!owner) {
			return {kind: 'failed', failure: unreachable(home)};
		}

		return owner.id === options.id ? answerProgram(request) : peers.program(owner, request);
	}

	async function program(request: ProgramRequest): Promise<ProgramReply> {
		const deadline = clock.now() + routingTimeoutMs;
		for (;;) {
			const reply = await sendToOwner(request);
			const isFinal = clock.now() >= deadline || !dataCentre.owner(homeOfRequest(request));
			if (reply.kind !== 'failed' || !isHomeMoving(reply.failure) || isFinal) {
				return reply;
			}

			await clock.sleep(as<Milliseconds>(routingRetryMs));
		}
	}

	async function answerProgram(request: ProgramRequest): Promise<ProgramReply> {
		const opened = await dataCentre.shard(homeOfRequest(request));
		return opened.isErr() ? {kind: 'failed', failure: opened.error} : answerFrom(opened.value, request);
	}

	async function answerFrom(shard: Shard, request: ProgramRequest): Promise<ProgramReply> {
		const fail = (reason: Failure): ProgramReply => ({kind: 'failed', failure: reason});
		switch (request.kind) {
			case 'open': {
				const opened = await shard.open(request.opening);
				return opened.match<ProgramReply>(view => ({kind: 'view', view}), fail);
			}

			case 'end': {
				const ending = await shard.end(request.program, request.customer, request.closing);
				return ending.match<ProgramReply>(view => ({kind: 'view', view}), fail);
			}

			case 'view': {
				return shard.view(request.program, request.customer).match<ProgramReply>(view => ({kind: 'view', view}), fail);
			}

			case 'history': {
				return shard.history(request.program, request.customer).match<ProgramReply>(turns => ({kind: 'history', turns}), fail);
			}
		}
	}

	async function * answerStream(request: StreamRequest, signal: AbortSignal): AsyncGenerator<CallEvent, void, undefined> {
		const opened = await dataCentre.shard(homeOfStream(request));
		if (opened.isErr()) {
			yield {kind: 'refused', failure: opened.error};
			return;
		}

		yield * request.kind === 'call'
			? opened.value.call(request.call, request.position, signal)
			: opened.value.follow(request.target, request.position, signal);
	}

	/** Events of a call from its home's owner; undefined when there is none. Ends with a refusal if the owner is declared dead. */
	function streamFromHome(request: StreamRequest, signal: AbortSignal): AsyncIterable<CallEvent> | undefined {
		const owner = dataCentre.owner(homeOfStream(request));
		if (!owner) {
			return undefined;
		}

		return owner.id === options.id ? answerStream(request, signal) : forwardedCalls.follow(owner, request, signal);
	}

	async function * stream(request: StreamRequest, signal: AbortSignal): AsyncGenerator<CallEvent, void, undefined> {
		const deadline = clock.now() + (request.kind === 'call' ? request.call.timeout : followTimeoutMs);
		let {position} = request;
		let mayHaveRun = false;
		while (!signal.aborted) {
			const source = streamFromHome(at(request, position), signal);
			if (!source) {
				yield {kind: 'refused', failure: {...unreachable(homeOfStream(request)), execution: mayHaveRun ? 'unknown' : 'not-run'}};
				return;
			}

			let moving: Failure | undefined;
			for await (const event of source) {
				if (event.kind === 'refused' && isHomeMoving(event.failure) && clock.now() < deadline) {
					moving = event.failure;
					break;
				}

				yield mayHaveRun ? withUnknownExecution(event) : event;
				if (event.kind === 'token') {
					position = {stream: event.stream, index: event.index + 1};
				}
			}

			if (!moving) {
				return;
			}

			mayHaveRun ||= moving.execution !== 'not-run';

			await clock.sleep(as<Milliseconds>(routingRetryMs), signal);
		}
	}

	return {
		program, stream, answerProgram, answerStream,
	};
}
