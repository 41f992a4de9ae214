/**
Prompts: the conversation that is sent to an engine, and its estimated size.
*/
import {type Message, type Request} from './call.js';
import {as, type Tokens} from './id.js';
import {type Program} from './program.js';

/** Average number of characters per prompt token. */
const charactersPerToken = 4;

/** Conversation to send to an engine: the history of the program and the new messages; empty for service calls. */
export function promptOf(program: Program, request: Request): readonly Message[] {
	if (request.kind !== 'model') {
		return [];
	}

	const messages: Message[] = [];
	for (const turn of program.history) {
		if (turn.request.kind === 'model' && turn.answer.kind === 'message') {
			messages.push(...turn.request.messages, {role: 'assistant', content: turn.answer.tokens.join('')});
		}
	}

	return [...messages, ...request.messages];
}

/** Estimated size of a prompt, in tokens. */
export function countTokens(prompt: readonly Message[]): Tokens {
	const characters = prompt.reduce((sum, message) => sum + message.content.length, 0);
	return as<Tokens>(Math.ceil(characters / charactersPerToken));
}
