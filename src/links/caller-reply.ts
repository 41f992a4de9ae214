/**
Response bodies of the API for callers: programs as JSON, and calls as chat completions, either in one body or as
server-sent events.
*/
import {type ServerResponse} from 'node:http';
import {type CallEvent} from '../contracts/call.js';
import {type ProgramId} from '../contracts/id.js';
import {type Outcome} from '../contracts/outcome.js';
import {type ProgramReply} from '../zones/peers.js';
import {
	errorBody, openEventStream, sendFailure, sendJson, sendOutcome,
} from './reply.js';

/** Sends the reply of a program's home. */
export function sendProgramReply(response: ServerResponse, reply: ProgramReply, status: number): void {
	switch (reply.kind) {
		case 'view': {
			const {view} = reply;
			sendJson(response, status, {
				id: view.id,
				parent: view.parent,
				status: view.status,
				turns: view.turns,
				budget: {tokens: view.budget.tokens, calls: view.budget.calls, duration_ms: view.budget.duration},
				spent: view.spent,
				reserved: view.reserved,
				expires_at_ms: view.expiresAt,
			});
			return;
		}

		case 'history': {
			sendJson(response, status, {turns: reply.turns});
			return;
		}

		case 'failed': {
			sendFailure(response, reply.failure);
		}
	}
}

/** Reads the events of a call to the end and returns the last one. */
export async function finalEvent(events: AsyncIterable<CallEvent>): Promise<CallEvent | undefined> {
	let last: CallEvent | undefined;
	for await (const event of events) {
		last = event;
	}

	return last;
}

/** Sends the outcome or the refusal that ended a call; sends nothing if there is none. */
export function sendFinalEvent(response: ServerResponse, event: CallEvent | undefined, send: (outcome: Outcome) => void): void {
	if (event?.kind === 'settled') {
		send(event.outcome);
	} else if (event?.kind === 'refused') {
		sendFailure(response, event.failure);
	}
}

function finishAndUsageOf(outcome: Outcome) {
	if (outcome.kind !== 'completed' || outcome.answer.kind !== 'message') {
		return undefined;
	}

	const {finish, usage} = outcome.answer;
	return {
		finish,
		usage: {
			prompt_tokens: usage.prompt,
			completion_tokens: usage.completion,
			total_tokens: usage.prompt + usage.completion,
			prompt_tokens_details: {cached_tokens: usage.cached},
		},
	};
}

/** Streams the events of a call. A call that is refused before its first event gets an error response instead of a stream. */
export async function streamCallEvents(response: ServerResponse, events: AsyncIterable<CallEvent>, signal: AbortSignal): Promise<void> {
	const iterator = events[Symbol.asyncIterator]();
	let next = await iterator.next();
	if (next.done !== true && next.value.kind === 'refused') {
		sendFailure(response, next.value.failure);
		return;
	}

	const stream = openEventStream(response, signal);
	while (next.done !== true) {
		await sendEvent(stream, next.value);
		next = await iterator.next();
	}

	stream.end();
}

async function sendEvent(stream: ReturnType<typeof openEventStream>, event: CallEvent): Promise<void> {
	switch (event.kind) {
		case 'token': {
			const data = JSON.stringify({object: 'chat.completion.chunk', choices: [{index: 0, delta: {content: event.text}, finish_reason: null}]});
			await stream.send({id: `${event.stream}.${event.index}`, data});
			return;
		}

		case 'settled': {
			const end = finishAndUsageOf(event.outcome);
			if (end) {
				await stream.send({data: JSON.stringify({object: 'chat.completion.chunk', choices: [{index: 0, delta: {}, finish_reason: end.finish}], usage: end.usage})});
				await stream.send({data: '[DONE]'});
			} else if (event.outcome.kind !== 'completed') {
				await stream.send({name: 'error', data: JSON.stringify(errorBody(event.outcome.failure))});
			}

			return;
		}

		case 'refused': {
			await stream.send({name: 'error', data: JSON.stringify(errorBody(event.failure))});
		}
	}
}

/** Sends a chat completion in one body, or the failure that the call ended with. */
export function sendCompletion(response: ServerResponse, outcome: Outcome, program: ProgramId): void {
	const end = finishAndUsageOf(outcome);
	if (!end || outcome.kind !== 'completed' || outcome.answer.kind !== 'message') {
		sendOutcome(response, outcome);
		return;
	}

	response.setHeader('hickoryfork-outcome', 'completed');
	sendJson(response, 200, {
		object: 'chat.completion',
		program,
		choices: [{index: 0, message: {role: 'assistant', content: outcome.answer.tokens.join('')}, finish_reason: end.finish}],
		usage: end.usage,
	});
}
